package kernel

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// probe is a service that logs its lifecycle. Start fails with startErr if it is
// set; Stop takes drainTime unless it is interrupted.
type probe struct {
	Base
	name      string
	log       *[]string
	startErr  error
	drainTime time.Duration
}

func (p *probe) Provision(*Kernel) error { *p.log = append(*p.log, "provision "+p.name); return nil }
func (p *probe) Validate() error         { *p.log = append(*p.log, "validate "+p.name); return nil }

func (p *probe) Start(ctx context.Context) error {
	if p.startErr != nil {
		return p.startErr
	}
	<-ctx.Done()
	return nil
}

func (p *probe) Stop(ctx context.Context) error {
	select {
	case <-time.After(p.drainTime):
		*p.log = append(*p.log, "stopped "+p.name)
	case <-ctx.Done():
		*p.log = append(*p.log, "killed "+p.name)
	}
	return nil
}

// TestLifecycle guards against services that start before all services are
// validated, or that stop before the services that use them.
func TestLifecycle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log []string
		k := New()
		qt.Assert(t, k.Register("a", &probe{name: "a", log: &log}), qt.IsNil)
		qt.Assert(t, k.Register("b", &probe{name: "b", log: &log, drainTime: time.Minute}), qt.IsNil)
		stop := make(chan struct{})
		close(stop)
		qt.Assert(t, k.Run(stop, nil), qt.IsNil)
		qt.Check(t, log, qt.DeepEquals, []string{
			"provision a", "provision b", "validate a", "validate b", "stopped b", "stopped a",
		})
	})
}

// TestKillInterruptsDrain guards against a kill, such as a second signal, that
// waits until the graceful stop has finished.
func TestKillInterruptsDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log []string
		k := New()
		qt.Assert(t, k.Register("a", &probe{name: "a", log: &log, drainTime: time.Hour}), qt.IsNil)
		stop, kill := make(chan struct{}), make(chan struct{})
		close(stop)
		time.AfterFunc(time.Second, func() { close(kill) })
		begin := time.Now()
		qt.Assert(t, k.Run(stop, kill), qt.IsNil)
		qt.Check(t, time.Since(begin), qt.Equals, time.Second)
	})
}

// TestFailedServiceStopsProcess guards against a process that keeps running after
// one of its services has failed.
func TestFailedServiceStopsProcess(t *testing.T) {
	var log []string
	k := New()
	failure := errors.New("disk is full")
	qt.Assert(t, k.Register("a", &probe{name: "a", log: &log}), qt.IsNil)
	qt.Assert(t, k.Register("b", &probe{name: "b", log: &log, startErr: failure}), qt.IsNil)
	qt.Check(t, k.Run(nil, nil), qt.ErrorIs, failure)
}

// TestLookup guards against a lookup that returns a service for a wrong name or a
// wrong type, and against two services with one name.
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
