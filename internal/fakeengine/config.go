package fakeengine

import (
	"time"

	"github.com/zeebo/errs"

	"auburnstep.example/auburnstep/internal/endpointapi"
)

// Error is the class of errors of this package.
var Error = errs.Class("fakeengine")

// How the engine treats an order with an old fencing number: it rejects the
// order, or carries it out without regard to the number.
const (
	FencingRefuse = "refuse"
	FencingIgnore = "ignore"
)

// Config configures a fake endpoint. Kong reads the struct tags.
type Config struct {
	Listen        string        `help:"Address to listen on." default:"127.0.0.1:0" env:"AUBURNSTEP_FAKE_LISTEN"`
	Advertise     string        `help:"Address to announce; the listen address by default." env:"AUBURNSTEP_FAKE_ADVERTISE"`
	ID            string        `help:"Endpoint id; the advertised address by default." env:"AUBURNSTEP_FAKE_ID"`
	Kind          string        `help:"Kind of endpoint: engine or plain." enum:"engine,plain" default:"engine" env:"AUBURNSTEP_FAKE_KIND"`
	Service       string        `help:"Service that the endpoint belongs to." default:"auburn-pool" env:"AUBURNSTEP_FAKE_SERVICE"`
	FailureDomain string        `help:"Failure domain of the instance." default:"local" env:"AUBURNSTEP_FAKE_FAILURE_DOMAIN"`
	Announce      []string      `help:"Entry addresses to announce to." env:"AUBURNSTEP_FAKE_ANNOUNCE"`
	AnnounceToken string        `help:"Bearer token of announcements; none if empty." env:"AUBURNSTEP_FAKE_ANNOUNCE_TOKEN"`
	Lease         time.Duration `help:"Lease of an announcement." default:"3s" env:"AUBURNSTEP_FAKE_LEASE"`
	LeaveGrace    time.Duration `help:"Shortest time from the announcement of leaving to the exit." default:"2s" env:"AUBURNSTEP_FAKE_LEAVE_GRACE"`

	Models   []string `help:"Models that are loaded; any model is served if empty." env:"AUBURNSTEP_FAKE_MODELS"`
	Adapters []string `help:"Adapters that are loaded." env:"AUBURNSTEP_FAKE_ADAPTERS"`

	Slots           int           `help:"Requests run at once." default:"16" env:"AUBURNSTEP_FAKE_SLOTS"`
	QueueMax        int           `help:"Requests waiting for a slot; more are refused as not-run." default:"256" env:"AUBURNSTEP_FAKE_QUEUE_MAX"`
	TokensPerSecond float64       `help:"Tokens per second of one request alone; 0 is unpaced." default:"50" env:"AUBURNSTEP_FAKE_TOKENS_PER_SECOND"`
	BatchSlowdown   float64       `help:"Part by which a step is longer with all slots in use." default:"0.25" env:"AUBURNSTEP_FAKE_BATCH_SLOWDOWN"`
	PrefillRate     float64       `help:"Prompt tokens per second that are not in the cache; 0 is unpaced." default:"8000" env:"AUBURNSTEP_FAKE_PREFILL_RATE"`
	LoadLag         time.Duration `help:"Age of load reports." default:"500ms" env:"AUBURNSTEP_FAKE_LOAD_LAG"`

	CacheBlocks   int           `help:"Size of the prefix cache in blocks of 16 tokens." default:"4096" env:"AUBURNSTEP_FAKE_CACHE_BLOCKS"`
	CacheEventLag time.Duration `help:"Age of cache events when they are published." default:"300ms" env:"AUBURNSTEP_FAKE_CACHE_EVENT_LAG"`
	CacheEventGap int           `help:"Every n-th cache event is lost; 0 loses none." default:"0" env:"AUBURNSTEP_FAKE_CACHE_EVENT_GAP"`

	Fencing    string `help:"Orders with an old fencing number: refuse or ignore the number." enum:"refuse,ignore" default:"refuse" env:"AUBURNSTEP_FAKE_FENCING"`
	OrderToken string `help:"Bearer token that orders must carry; none if empty." env:"AUBURNSTEP_FAKE_ORDER_TOKEN"`

	LoadTime time.Duration `help:"Time that loading a model takes." default:"0s" env:"AUBURNSTEP_FAKE_LOAD_TIME"`
	// ModelLoads counts the model loads of all fake endpoints that share it. If it
	// is nil, loads are not counted.
	ModelLoads *LoadTracker `kong:"-"`

	PlainDelay time.Duration `help:"Time that one plain call takes." default:"5ms" env:"AUBURNSTEP_FAKE_PLAIN_DELAY"`

	Faults []Fault `help:"Faults at the start, as kind[,key=value...], e.g. slow,factor=4 or crash,after=10s. Separated by ';'." sep:";" name:"fault" env:"AUBURNSTEP_FAKE_FAULT"`
	Seed   uint64  `help:"Seed of the choice of requests that a fault hits." default:"1" env:"AUBURNSTEP_FAKE_SEED"`

	// Exit is called by FaultCrash. If it is nil, FaultCrash closes the listener
	// and resets all connections.
	Exit func() `kong:"-"`
}

// withDefaults replaces zero values by defaults. Rates, lags and delays stay at
// zero, which disables them, so that tests run without artificial waits.
func (c Config) withDefaults() Config {
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	if c.Kind == "" {
		c.Kind = endpointapi.KindEngine
	}
	if c.Service == "" {
		c.Service = "auburn-pool"
	}
	if c.FailureDomain == "" {
		c.FailureDomain = "local"
	}
	if c.Fencing == "" {
		c.Fencing = FencingRefuse
	}
	if c.Slots == 0 {
		c.Slots = 16
	}
	if c.QueueMax == 0 {
		c.QueueMax = 256
	}
	if c.Lease == 0 {
		c.Lease = 3 * time.Second
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = 4096
	}
	return c
}

// Validate reports the first invalid setting.
func (c Config) Validate() error {
	switch {
	case c.Kind != endpointapi.KindEngine && c.Kind != endpointapi.KindPlain:
		return Error.New("invalid kind %q: must be engine or plain", c.Kind)
	case c.Fencing != FencingRefuse && c.Fencing != FencingIgnore:
		return Error.New("invalid fencing %q: must be refuse or ignore", c.Fencing)
	case c.Slots < 1:
		return Error.New("invalid slots %d: must be at least 1", c.Slots)
	case c.TokensPerSecond < 0 || c.PrefillRate < 0 || c.BatchSlowdown < 0:
		return Error.New("tokens per second, prefill rate and batch slowdown must not be negative")
	}
	return nil
}
