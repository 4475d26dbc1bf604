package fakeengine

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// FaultKind is the name of a fault.
type FaultKind string

// The kinds of fault. FaultClear deactivates all active faults.
const (
	// FaultSlow multiplies the duration of batch steps, prefill and plain calls by
	// Factor.
	FaultSlow FaultKind = "slow"
	// FaultCrash ends the process, or, without Config.Exit, closes the listener and
	// resets all connections.
	FaultCrash FaultKind = "crash"
	// FaultFreeze stops all work and all responses. Connections stay open.
	FaultFreeze FaultKind = "freeze"
	// FaultSilent stops all data, in both directions, on the connections that are
	// open now. New connections work.
	FaultSilent FaultKind = "silent"
	// FaultLate delays the response to a request by Delay.
	FaultLate FaultKind = "late"
	// FaultCrossed puts the id and text of another request into a response.
	FaultCrossed FaultKind = "crossed"
	// FaultTruncated ends a response halfway: a stream ends cleanly, without an
	// error, and any other response ends with an aborted connection.
	FaultTruncated FaultKind = "truncated"
	// FaultReset closes the connection of a request halfway through the response.
	FaultReset FaultKind = "reset"
	// FaultOverload rejects a request with the verdict not-run.
	FaultOverload FaultKind = "overload"
	// FaultDeadly crashes the endpoint, as FaultCrash does, when it begins to answer a request
	// whose prompt, or whose target or body at a plain service, contains Text. The head of a
	// stream is sent before, or its first Head bytes.
	FaultDeadly FaultKind = "deadly"
	FaultClear  FaultKind = "clear"
)

// Fault describes one fault. Probability and Count select the requests to which a
// fault of single requests applies. With zero values it applies to all requests.
type Fault struct {
	Kind        FaultKind
	Factor      float64
	Delay       time.Duration
	Probability float64
	Count       int
	Text        string
	// Head is the number of bytes of a stream's head that are sent, 0 for the whole head.
	Head int
	// After is the delay before the fault takes effect.
	After time.Duration
}

// UnmarshalText parses the form kind[,key=value...].
func (f *Fault) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), ",")
	*f = Fault{Kind: FaultKind(strings.TrimSpace(parts[0]))}
	for _, part := range parts[1:] {
		key, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		var err error
		switch key {
		case "factor":
			f.Factor, err = strconv.ParseFloat(value, 64)
		case "delay":
			f.Delay, err = time.ParseDuration(value)
		case "probability":
			f.Probability, err = strconv.ParseFloat(value, 64)
		case "count":
			f.Count, err = strconv.Atoi(value)
		case "head":
			f.Head, err = strconv.Atoi(value)
		case "text":
			f.Text = value
		case "after":
			f.After, err = time.ParseDuration(value)
		default:
			return Error.New("fault %s has no key %q; allowed: factor, delay, probability, count, text, head, after", f.Kind, key)
		}
		if err != nil {
			return Error.New("fault %s: %s: %w", f.Kind, key, err)
		}
	}
	return f.validate()
}

func (f *Fault) validate() error {
	switch f.Kind {
	case FaultSlow:
		if f.Factor <= 0 {
			return Error.New("fault slow needs a factor above 0")
		}
	case FaultLate:
		if f.Delay <= 0 {
			return Error.New("fault late needs a delay above 0")
		}
	case FaultDeadly:
		if f.Text == "" {
			return Error.New("fault deadly needs a text")
		}
		if f.Head < 0 {
			return Error.New("fault deadly cannot send %d bytes of a head", f.Head)
		}
	case FaultCrash, FaultFreeze, FaultSilent, FaultCrossed, FaultTruncated, FaultReset, FaultOverload, FaultClear:
	default:
		return Error.New("fault %q is unknown", f.Kind)
	}
	return nil
}

// faults holds the active faults, except for crash and silent, which take effect
// once.
type faults struct {
	mu     sync.Mutex
	random *rand.Rand
	active map[FaultKind]*Fault
	// thawed is closed while FaultFreeze is not active.
	thawed chan struct{}
}

func newFaults(seed uint64) *faults {
	thawed := make(chan struct{})
	close(thawed)
	return &faults{random: rand.New(rand.NewPCG(seed, 0)), active: make(map[FaultKind]*Fault), thawed: thawed}
}

func (f *faults) set(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, frozen := f.active[FaultFreeze]
	switch {
	case fault.Kind == FaultClear:
		if frozen {
			close(f.thawed)
		}
		clear(f.active)
		return
	case fault.Kind == FaultFreeze && !frozen:
		f.thawed = make(chan struct{})
	}
	f.active[fault.Kind] = &fault
}

// trigger reports whether the fault of the given kind applies to the current
// request. If it does, trigger counts the request against Fault.Count.
func (f *faults) trigger(kind FaultKind) (Fault, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fault, ok := f.active[kind]
	if !ok || fault.Probability > 0 && f.random.Float64() >= fault.Probability {
		return Fault{}, false
	}
	if fault.Count > 0 {
		if fault.Count--; fault.Count == 0 {
			delete(f.active, kind)
		}
	}
	return *fault, true
}

// slowdown returns the factor by which FaultSlow lengthens work, or 1.
func (f *faults) slowdown() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fault, ok := f.active[FaultSlow]; ok {
		return fault.Factor
	}
	return 1
}

// waitThawed blocks while FaultFreeze is active. It returns false if stop is
// closed first.
func (f *faults) waitThawed(stop <-chan struct{}) bool {
	f.mu.Lock()
	thawed := f.thawed
	f.mu.Unlock()
	select {
	case <-thawed:
		return true
	default:
	}
	select {
	case <-thawed:
		return true
	case <-stop:
		return false
	}
}
