// Package daemon runs an instance: it parses the flags, then creates and registers
// the services.
package daemon

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"auburnstep.example/auburnstep/internal/entry"
	"auburnstep.example/auburnstep/internal/settings"
)

// Config holds the process settings of one instance. All other settings are in the
// settings tree, which operators can change while the instance runs.
type Config struct {
	Instance      string `required:"" env:"AUBURNSTEP_INSTANCE" help:"Name of the instance, unique in the cluster."`
	FailureDomain string `required:"" env:"AUBURNSTEP_FAILURE_DOMAIN" help:"Failure domain of the instance."`
	Cluster       string `default:"auburnstep" env:"AUBURNSTEP_CLUSTER" help:"Name of the cluster; instances of another one are refused."`

	Listen        string `default:"127.0.0.1:8080" env:"AUBURNSTEP_LISTEN" help:"IP address and port for callers and endpoints."`
	Advertise     string `env:"AUBURNSTEP_ADVERTISE" help:"Address that callers are told; the listen address by default."`
	PeerListen    string `default:"127.0.0.1:8081" env:"AUBURNSTEP_PEER_LISTEN" help:"IP address and port for other instances and operators."`
	PeerAdvertise string `env:"AUBURNSTEP_PEER_ADVERTISE" help:"Address that other instances are told; the peer listen address by default."`
	MetricsListen string `env:"AUBURNSTEP_METRICS_LISTEN" help:"IP address and port for GET /metrics and /healthz; none by default."`
	Weight        uint32 `default:"1" env:"AUBURNSTEP_WEIGHT" help:"Share of callers relative to other instances, 1 to 1000."`

	Data           string   `env:"AUBURNSTEP_DATA" help:"Data folder. With it the instance is a control member."`
	InitialMembers []string `env:"AUBURNSTEP_INITIAL_MEMBERS" help:"Peer addresses of the members that form a new cluster."`
	Peers          []string `env:"AUBURNSTEP_PEERS" help:"Peer addresses of control members; the initial members by default."`

	PeerTokens     []string `name:"peer-token" env:"AUBURNSTEP_PEER_TOKENS" help:"Token between instances; the first is sent, all are accepted."`
	OperatorTokens []string `name:"operator-token" env:"AUBURNSTEP_OPERATOR_TOKENS" help:"Token of operators; all are accepted."`
	EndpointTokens []string `name:"endpoint-token" env:"AUBURNSTEP_ENDPOINT_TOKENS" help:"Token of endpoints; without one, only loopback may announce."`

	OrderTokens []string `name:"order-token" env:"AUBURNSTEP_ORDER_TOKENS" help:"Token of orders to engines that check them; the first is sent, the next after a refusal."`

	TLSCert       string `name:"tls-cert" env:"AUBURNSTEP_TLS_CERT" help:"PEM certificate for mutual TLS between instances."`
	TLSKey        string `name:"tls-key" env:"AUBURNSTEP_TLS_KEY" help:"PEM key for mutual TLS between instances."`
	TLSCA         string `name:"tls-ca" env:"AUBURNSTEP_TLS_CA" help:"PEM certificate authorities of instances."`
	CallerTLSCert string `name:"caller-tls-cert" env:"AUBURNSTEP_CALLER_TLS_CERT" help:"PEM certificate towards callers and endpoints."`
	CallerTLSKey  string `name:"caller-tls-key" env:"AUBURNSTEP_CALLER_TLS_KEY" help:"PEM key towards callers and endpoints."`
	// Connections to endpoints use plain text unless EndpointTLSCA is set.
	EndpointTLSCA   string `name:"endpoint-tls-ca" env:"AUBURNSTEP_ENDPOINT_TLS_CA" help:"PEM certificate authorities of endpoints. With it all requests to endpoints use TLS."`
	EndpointTLSCert string `name:"endpoint-tls-cert" env:"AUBURNSTEP_ENDPOINT_TLS_CERT" help:"PEM client certificate towards endpoints."`
	EndpointTLSKey  string `name:"endpoint-tls-key" env:"AUBURNSTEP_ENDPOINT_TLS_KEY" help:"PEM key of the client certificate towards endpoints."`

	BodyMemory  string `default:"256MiB" env:"AUBURNSTEP_BODY_MEMORY" help:"Memory for request bodies and collected answers in flight, 128MiB to 64GiB."`
	MemoryLimit string `env:"AUBURNSTEP_MEMORY_LIMIT" help:"Memory of the process, at least twice --body-memory, which is the default."`
	MaxRequests int64  `default:"4096" env:"AUBURNSTEP_MAX_REQUESTS" help:"Requests of callers in flight, 16 to 1000000."`

	LogLevel  string        `default:"info" env:"AUBURNSTEP_LOG_LEVEL" help:"Lowest level that is logged: debug, info, warning or error."`
	DrainWait time.Duration `default:"12s" env:"AUBURNSTEP_DRAIN_WAIT" help:"Time between leaving the list of entries and closing the listener, 0s to 10m. Callers keep the list for 10 s."`
}

// FlagError is returned for a process setting whose value is not allowed.
type FlagError struct {
	Flag    string
	Value   string
	Allowed string
}

// Error implements error. It returns a single line.
func (e *FlagError) Error() string {
	return fmt.Sprintf("--%s is %q; allowed is %s", e.Flag, e.Value, e.Allowed)
}

const (
	// minRequests ensures that at least two requests are reserved for each tier, whose
	// reserved part is an eighth.
	minRequests   = 16
	maxRequests   = 1_000_000
	maxBodyMemory = 64 << 30 // bytes
	// bodyMemoryParts is the memory limit in parts of the memory for bodies, and maxMemoryLimit
	// its largest value in bytes.
	bodyMemoryParts = 2
	maxMemoryLimit  = 1 << 40
)

// maxWeight limits --weight so that sums of weights stay small.
const maxWeight = 1000

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// Check sets defaults and returns a FlagError for the first setting whose value is
// not allowed.
func (c *Config) Check() error {
	for _, name := range []struct{ flag, value string }{
		{"instance", c.Instance}, {"failure-domain", c.FailureDomain}, {"cluster", c.Cluster},
	} {
		if !namePattern.MatchString(name.value) {
			return &FlagError{name.flag, name.value, "a name of 1 to 63 letters, digits, dots, underscores or hyphens"}
		}
	}
	c.setDefaults()
	if err := c.checkAddresses(); err != nil {
		return err
	}
	if c.Weight < 1 || c.Weight > maxWeight {
		return &FlagError{"weight", strconv.Itoa(int(c.Weight)), "1 to " + strconv.Itoa(maxWeight)}
	}
	if c.DrainWait < 0 || c.DrainWait > 10*time.Minute {
		return &FlagError{"drain-wait", c.DrainWait.String(), "0s to 10m"}
	}
	if _, err := c.bodyMemoryBytes(); err != nil {
		return err
	}
	if _, err := c.memoryLimitBytes(); err != nil {
		return err
	}
	if c.MaxRequests < minRequests || c.MaxRequests > maxRequests {
		return &FlagError{"max-requests", strconv.FormatInt(c.MaxRequests, 10), "16 to 1000000"}
	}
	if _, err := c.logLevel(); err != nil {
		return &FlagError{"log-level", c.LogLevel, "debug, info, warning or error"}
	}
	return c.checkFiles()
}

func (c *Config) setDefaults() {
	if c.Advertise == "" {
		c.Advertise = c.Listen
	}
	if c.PeerAdvertise == "" {
		c.PeerAdvertise = c.PeerListen
	}
	if len(c.Peers) == 0 {
		c.Peers = c.InitialMembers
	}
	if len(c.Peers) == 0 && c.Data != "" {
		// Without peers, the instance forms a cluster of its own.
		c.Peers, c.InitialMembers = []string{c.PeerAdvertise}, []string{c.PeerAdvertise}
	}
}

func (c *Config) checkAddresses() error {
	listenAddresses := []struct{ flag, value string }{{"listen", c.Listen}, {"peer-listen", c.PeerListen}}
	if c.MetricsListen != "" {
		listenAddresses = append(listenAddresses, struct{ flag, value string }{"metrics-listen", c.MetricsListen})
	}
	for _, a := range listenAddresses {
		if !isAddress(a.value, true) {
			return &FlagError{a.flag, a.value, "an IP address and a port, such as 10.0.0.7:8080"}
		}
	}
	dialAddresses := []struct{ flag, value string }{{"advertise", c.Advertise}, {"peer-advertise", c.PeerAdvertise}}
	for _, p := range c.Peers {
		dialAddresses = append(dialAddresses, struct{ flag, value string }{"peers", p})
	}
	for _, p := range c.InitialMembers {
		dialAddresses = append(dialAddresses, struct{ flag, value string }{"initial-members", p})
	}
	for _, a := range dialAddresses {
		if !isAddress(a.value, false) {
			return &FlagError{a.flag, a.value, "an IP address other than 0.0.0.0 and a port other than 0"}
		}
	}
	if len(c.Peers) == 0 {
		return &FlagError{"peers", "", "at least one address, unless --data is given"}
	}
	return nil
}

// isAddress reports whether s is ip:port. An address to listen on may have an empty
// or unspecified IP and port 0; an address that others connect to may not.
func isAddress(s string, forListen bool) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	if forListen {
		return ip != nil || host == ""
	}
	return ip != nil && !ip.IsUnspecified() && n > 0
}

// checkFiles checks the TLS files and the data directory. A TLS flag also needs the
// flag in requires; otherwise FlagError.Allowed is the text in allowed.
func (c *Config) checkFiles() error {
	pairs := []struct{ flag, value, requires, allowed string }{
		{"tls-cert", c.TLSCert, c.TLSKey, "set together with --tls-key and --tls-ca"},
		{"tls-key", c.TLSKey, c.TLSCA, "set together with --tls-cert and --tls-ca"},
		{"tls-ca", c.TLSCA, c.TLSCert, "set together with --tls-cert and --tls-key"},
		{"caller-tls-cert", c.CallerTLSCert, c.CallerTLSKey, "set together with --caller-tls-key"},
		{"caller-tls-key", c.CallerTLSKey, c.CallerTLSCert, "set together with --caller-tls-cert"},
		{"endpoint-tls-ca", c.EndpointTLSCA, c.EndpointTLSCA, ""},
		{"endpoint-tls-cert", c.EndpointTLSCert, c.EndpointTLSKey, "set together with --endpoint-tls-key and --endpoint-tls-ca"},
		{"endpoint-tls-cert", c.EndpointTLSCert, c.EndpointTLSCA, "set together with --endpoint-tls-key and --endpoint-tls-ca"},
		{"endpoint-tls-key", c.EndpointTLSKey, c.EndpointTLSCert, "set together with --endpoint-tls-cert and --endpoint-tls-ca"},
	}
	for _, p := range pairs {
		if p.value == "" {
			continue
		}
		if p.requires == "" {
			return &FlagError{p.flag, p.value, p.allowed}
		}
		if _, err := os.Stat(p.value); err != nil {
			return &FlagError{p.flag, p.value, "a file that can be read"}
		}
	}
	if c.Data != "" {
		if info, err := os.Stat(c.Data); err == nil && !info.IsDir() {
			return &FlagError{"data", c.Data, "a directory"}
		}
	}
	return nil
}

// bodyMemoryBytes returns --body-memory in bytes.
func (c *Config) bodyMemoryBytes() (int64, error) {
	n, err := settings.ParseSize(c.BodyMemory)
	if err != nil || n < entry.MinBodyMemory || n > maxBodyMemory {
		return 0, &FlagError{"body-memory", c.BodyMemory, "128MiB to 64GiB, with a unit"}
	}
	return n, nil
}

// memoryLimitBytes returns --memory-limit in bytes.
func (c *Config) memoryLimitBytes() (int64, error) {
	bodies, err := c.bodyMemoryBytes()
	if err != nil {
		return 0, err
	}
	least := bodies * bodyMemoryParts
	if c.MemoryLimit == "" {
		return least, nil
	}
	n, err := settings.ParseSize(c.MemoryLimit)
	if err != nil || n < least || n > maxMemoryLimit {
		return 0, &FlagError{"memory-limit", c.MemoryLimit, fmt.Sprintf("%dMiB, which is twice --body-memory, to 1TiB, with a unit", least>>20)}
	}
	return n, nil
}

// logLevel returns --log-level as a level of logrus.
func (c *Config) logLevel() (logrus.Level, error) {
	l, err := logrus.ParseLevel(c.LogLevel)
	if err != nil || l > logrus.DebugLevel || l < logrus.ErrorLevel {
		return 0, &FlagError{"log-level", c.LogLevel, "debug, info, warning or error"}
	}
	return l, nil
}
