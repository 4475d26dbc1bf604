package directory

import (
	"time"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

const (
	// demandWindow is the time over which the rates of an entry are taken: five polls, so
	// that a lost one changes little.
	demandWindow = 2 * time.Second
	// minDemandGap is the least time between two samples of an entry. The member that
	// serves loads is polled more often than rates need.
	minDemandGap = 300 * time.Millisecond
	// missingDemandTTL is how long the rates of an entry count after its last poll. Its
	// callers go to other entries meanwhile, so the demand is overestimated rather than
	// underestimated.
	missingDemandTTL = 30 * time.Second
	// maxDemandEntries bounds the entries of which demand is kept: eight times the 300 that
	// the system is built for, at about 4 KB each.
	maxDemandEntries = 2400
	// maxDemandServices bounds the services of one entry.
	maxDemandServices = 64
)

// ServiceDemand is the demand for a service over the last seconds, summed over entries.
type ServiceDemand struct {
	// Offered and Refused are requests, and PromptTokens tokens to prefill, per second.
	Offered, Refused, PromptTokens float64
	// BusySlots is the mean number of requests at endpoints, by the requests that ended.
	BusySlots float64
	// InFlight and Waiting are the requests at endpoints and at entries now.
	InFlight, Waiting int
	// OfferedByDomain holds Offered by the failure domain of the entry.
	OfferedByDomain map[string]float64
}

// Demand is the demand at all entries.
type Demand struct {
	// Reporting is the number of live entries whose rates are known. Missing is the number
	// of entries that stopped polling this member without having drained first, and of those
	// whose rates are not known yet.
	Reporting, Missing int
	Services           map[string]ServiceDemand
}

// demandTable holds the demand that entries report. It is pure and not safe for concurrent
// use.
type demandTable struct {
	entries map[string]*entryDemand
}

type entryDemand struct {
	processStart int64
	domain       string
	draining     bool
	lastSeen     time.Time
	// latest holds the last counts by service. A poll holds only the ones that changed.
	latest  map[string]*directoryv1.ServiceDemand
	samples []demandSample
	// rates is nil until two samples exist. It outlasts a restart of the entry until the new
	// process has two samples.
	rates map[string]ServiceDemand
}

type demandSample struct {
	at     time.Time
	counts map[string]*directoryv1.ServiceDemand
}

func newDemandTable() *demandTable { return &demandTable{entries: make(map[string]*entryDemand)} }

// record records the demand in a poll. whole is set if the poll has the epoch of this start
// of the member, so that the counts that it leaves out are known.
func (t *demandTable) record(now time.Time, req *directoryv1.SyncRequest, whole bool) {
	name := req.GetSelf().GetInstance()
	e := t.entries[name]
	if name == "" || !whole || e == nil && len(req.GetDemand()) == 0 {
		return
	}
	if e == nil {
		if len(t.entries) >= maxDemandEntries {
			return
		}
		e = &entryDemand{processStart: req.GetProcessStartMs(), latest: make(map[string]*directoryv1.ServiceDemand)}
		t.entries[name] = e
	}
	if e.processStart != req.GetProcessStartMs() {
		// Counts begin at zero in each process. The clock of the entry may have stepped back,
		// so any other start counts as a later one.
		e.processStart, e.samples = req.GetProcessStartMs(), nil
		clear(e.latest)
	}
	e.domain, e.draining, e.lastSeen = req.GetSelf().GetFailureDomain(), req.GetSelf().GetDraining(), now
	for _, d := range req.GetDemand() {
		if e.latest[d.GetService()] != nil || len(e.latest) < maxDemandServices {
			e.latest[d.GetService()] = d
		}
	}
	e.addSample(now)
}

func (e *entryDemand) addSample(now time.Time) {
	counts := make(map[string]*directoryv1.ServiceDemand, len(e.latest))
	for service, d := range e.latest {
		counts[service] = d
	}
	if n := len(e.samples); n >= 2 && now.Sub(e.samples[n-2].at) < minDemandGap {
		e.samples = e.samples[:n-1]
	}
	e.samples = append(e.samples, demandSample{now, counts})
	for len(e.samples) > 2 && now.Sub(e.samples[1].at) >= demandWindow {
		e.samples = e.samples[1:]
	}
	first := e.samples[0]
	seconds := now.Sub(first.at).Seconds()
	if seconds < minDemandGap.Seconds() {
		return
	}
	e.rates = make(map[string]ServiceDemand, len(counts))
	for service, d := range counts {
		e.rates[service] = demandRates(first.counts[service], d, seconds)
	}
}

// demandRates returns the rates between two counts of one process. A service without an
// earlier count had no requests then.
func demandRates(before, d *directoryv1.ServiceDemand, seconds float64) ServiceDemand {
	perS := func(before, after uint64) float64 { return float64(after-min(before, after)) / seconds }
	return ServiceDemand{
		Offered: perS(before.GetOffered(), d.GetOffered()), Refused: perS(before.GetRefused(), d.GetRefused()),
		PromptTokens: perS(before.GetPromptTokens(), d.GetPromptTokens()), BusySlots: perS(before.GetBusyMs(), d.GetBusyMs()) / 1000,
		InFlight: int(d.GetInFlight()), Waiting: int(d.GetWaiting()),
	}
}

// sum returns the demand at all entries, and forgets the entries that have been gone for
// recordRetention.
func (t *demandTable) sum(now time.Time) Demand {
	out := Demand{Services: make(map[string]ServiceDemand)}
	for name, e := range t.entries {
		age := now.Sub(e.lastSeen)
		live := age <= entryLease
		switch {
		case age > recordRetention, !live && e.draining:
			delete(t.entries, name)
			continue
		case live && e.rates != nil:
			out.Reporting++
		default:
			out.Missing++
		}
		if age > missingDemandTTL {
			continue
		}
		for service, d := range e.rates {
			if !live {
				d.InFlight, d.Waiting = 0, 0
			}
			out.Services[service] = out.Services[service].plus(d, e.domain)
		}
	}
	return out
}

// plus returns the sum of d and the demand of an entry in a failure domain.
func (d ServiceDemand) plus(o ServiceDemand, domain string) ServiceDemand {
	d.Offered += o.Offered
	d.Refused += o.Refused
	d.PromptTokens += o.PromptTokens
	d.BusySlots += o.BusySlots
	d.InFlight += o.InFlight
	d.Waiting += o.Waiting
	if d.OfferedByDomain == nil {
		d.OfferedByDomain = make(map[string]float64)
	}
	d.OfferedByDomain[domain] += o.Offered
	return d
}

// Demand returns the demand that entries report to this member. It is empty unless they run
// with ClientOptions.Demand.
func (s *Service) Demand() Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.demand.sum(clock.Now())
}

// changedDemand returns the demand that differs from what a member knows.
func changedDemand(all []*directoryv1.ServiceDemand, known map[string]*directoryv1.ServiceDemand) (out []*directoryv1.ServiceDemand) {
	for _, d := range all {
		if k := known[d.GetService()]; k == nil || !proto.Equal(k, d) {
			out = append(out, d)
		}
	}
	return out
}

// recordDemand records that the member knows the demand.
func (p *poller) recordDemand(sent []*directoryv1.ServiceDemand) {
	if p.knownDemand == nil {
		p.knownDemand = make(map[string]*directoryv1.ServiceDemand)
	}
	for _, d := range sent {
		p.knownDemand[d.GetService()] = d
	}
}
