package fakeengine

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

// FaultKind names a fault.
type FaultKind string

// The faults. FaultClear removes all of them.
const (
	// FaultSlow makes steps and plain calls longer by Factor.
	FaultSlow FaultKind = "slow"
	// FaultCrash ends the process, or resets the listener and all connections.
	FaultCrash FaultKind = "crash"
	// FaultFreeze stops all work and all answers; connections stay open.
	FaultFreeze FaultKind = "freeze"
	// FaultSilent makes the connections that are open now deliver nothing more
	// in either direction. New connections work.
	FaultSilent FaultKind = "silent"
	// FaultLate delays the answer to a request by Delay.
	FaultLate FaultKind = "late"
	// FaultCrossed puts another request's id and text into an answer.
	FaultCrossed FaultKind = "crossed"
	// FaultTruncated ends an answer half way without an error.
	FaultTruncated FaultKind = "truncated"
	// FaultReset closes the connection of a request half way.
	FaultReset FaultKind = "reset"
	// FaultOverload refuses a request as not-run.
	FaultOverload FaultKind = "overload"
	FaultClear    FaultKind = "clear"
)

// Fault is one fault. Probability and Count choose the requests that a fault of
// single requests hits; zero values hit all of them.
type Fault struct {
	Kind        FaultKind
	Factor      float64
	Delay       time.Duration
	Probability float64
	Count       int
	// After delays the start of the fault.
	After time.Duration
}

// UnmarshalText reads the form kind[,key=value...].
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
		case "after":
			f.After, err = time.ParseDuration(value)
		default:
			return Error.New("fault %s has no key %q; allowed: factor, delay, probability, count, after", f.Kind, key)
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
	case FaultCrash, FaultFreeze, FaultSilent, FaultCrossed, FaultTruncated, FaultReset, FaultOverload, FaultClear:
	default:
		return Error.New("fault %q is unknown", f.Kind)
	}
	return nil
}

// faults holds the faults in force.
type faults struct {
	mu     sync.Mutex
	random *rand.Rand
	active map[FaultKind]*Fault
	// thawed is closed while nothing is frozen.
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

// draw reports whether a fault hits the present request.
func (f *faults) draw(kind FaultKind) (Fault, bool) {
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

// slowdown returns the factor by which work is longer.
func (f *faults) slowdown() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fault, ok := f.active[FaultSlow]; ok {
		return fault.Factor
	}
	return 1
}

// waitThawed blocks while the stand-in is frozen. It is false when stop closed first.
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
