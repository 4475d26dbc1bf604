package kernel

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

type probe struct {
	Base
	name  string
	log   *[]string
	start error
	drain time.Duration
}

func (p *probe) Provision(*Kernel) error { *p.log = append(*p.log, "provision "+p.name); return nil }
func (p *probe) Validate() error         { *p.log = append(*p.log, "validate "+p.name); return nil }

func (p *probe) Start(ctx context.Context) error {
	if p.start != nil {
		return p.start
	}
	<-ctx.Done()
	return nil
}

func (p *probe) Stop(ctx context.Context) error {
	select {
	case <-time.After(p.drain):
		*p.log = append(*p.log, "stopped "+p.name)
	case <-ctx.Done():
		*p.log = append(*p.log, "killed "+p.name)
	}
	return nil
}

// TestLifecycle guards against services that start unvalidated or stop before
// those that use them.
func TestLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log []string
		k := New()
		qt.Assert(t, k.Register("a", &probe{name: "a", log: &log}), qt.IsNil)
		qt.Assert(t, k.Register("b", &probe{name: "b", log: &log, drain: time.Minute}), qt.IsNil)
		stop := make(chan struct{})
		close(stop)
		qt.Assert(t, k.Run(stop, nil), qt.IsNil)
		qt.Check(t, log, qt.DeepEquals, []string{
			"provision a", "provision b", "validate a", "validate b", "stopped b", "stopped a",
		})
	})
}

// TestKill guards against a second signal that waits for the drain.
func TestKill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log []string
		k := New()
		qt.Assert(t, k.Register("a", &probe{name: "a", log: &log, drain: time.Hour}), qt.IsNil)
		stop, kill := make(chan struct{}), make(chan struct{})
		close(stop)
		time.AfterFunc(time.Second, func() { close(kill) })
		begin := time.Now()
		qt.Assert(t, k.Run(stop, kill), qt.IsNil)
		qt.Check(t, time.Since(begin), qt.Equals, time.Second)
	})
}

// TestFailure guards against a process that goes on without one of its services.
func TestFailure(t *testing.T) {
	var log []string
	k := New()
	broken := errors.New("disk is full")
	qt.Assert(t, k.Register("a", &probe{name: "a", log: &log}), qt.IsNil)
	qt.Assert(t, k.Register("b", &probe{name: "b", log: &log, start: broken}), qt.IsNil)
	qt.Check(t, k.Run(nil, nil), qt.ErrorIs, broken)
}

// TestLookup guards against a service that is found under a wrong name or type.
func TestLookup(t *testing.T) {
	var log []string
	k := New()
	qt.Assert(t, k.Register("a", &probe{log: &log}), qt.IsNil)
	qt.Check(t, k.Register("a", &probe{log: &log}), qt.IsNotNil)
	_, err := Lookup[*probe](k, "a")
	qt.Check(t, err, qt.IsNil)
	_, err = Lookup[*probe](k, "b")
	qt.Check(t, err, qt.ErrorIs, ErrNotFound)
	_, err = Lookup[*Kernel](k, "a")
	qt.Check(t, err, qt.ErrorIs, ErrWrongType)
}
