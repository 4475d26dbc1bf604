package grants

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"

	schedulerv1 "auburnstep.example/auburnstep/internal/rpc/schedulerv1"
	"auburnstep.example/auburnstep/internal/rpc/schedulerv1/schedulerv1connect"
)

// oneGroup is a directory of a single group.
type oneGroup struct {
	epoch atomic.Uint64
}

func (*oneGroup) Fresh() bool            { return true }
func (*oneGroup) Groups(string) []string { return []string{"pool/0"} }
func (*oneGroup) AllGroups() []string    { return []string{"pool/0"} }
func (d *oneGroup) Holder(string) (string, uint64, bool) {
	return "address", d.epoch.Load(), true
}

// silent is a scheduler whose instance is cut off: calls end with their context.
type silent struct {
	schedulerv1connect.SchedulerClient
}

func (silent) Acquire(ctx context.Context, _ *connect.Request[schedulerv1.AcquireRequest]) (*connect.Response[schedulerv1.AcquireResponse], error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (silent) Renew(ctx context.Context, _ *connect.Request[schedulerv1.RenewRequest]) (*connect.Response[schedulerv1.RenewResponse], error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against waits for a scheduler that is cut off after another one has
// taken over: neither requests nor the report of grants in use, for which the
// new one waits, may be held up by the timeout of a call to the old one.
func TestCallsEndWithEpoch(t *testing.T) {
	for _, test := range []struct {
		name    string
		call    func(*Client, *holding) error
		timeout time.Duration
	}{
		{"acquire", func(c *Client, h *holding) error {
			_, err := c.ask(context.Background(), "address", 1, h.group, &schedulerv1.Request{})
			return err
		}, callTimeout},
		{"renew", func(_ *Client, h *holding) error {
			_, err := h.send(&schedulerv1.RenewRequest{})
			return err
		}, time.Second},
	} {
		for _, takeover := range []time.Duration{0, 300 * time.Millisecond} {
			t.Run(test.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := &oneGroup{}
					d.epoch.Store(1)
					c := New("e1", d, func(string) schedulerv1connect.SchedulerClient { return silent{} }, tally.NoopScope)
					h := newHolding(c, "pool/0") // without its renewal
					c.groups[h.group] = h
					h.follow()
					start, want := time.Now(), test.timeout
					if takeover > 0 {
						want = takeover
						time.AfterFunc(takeover, func() {
							d.epoch.Store(2)
							h.follow()
						})
					}
					qt.Check(t, test.call(c, h), qt.IsNotNil)
					qt.Check(t, time.Since(start), qt.Equals, want)
					h.term(3) // ends the contexts of earlier epochs
				})
			})
		}
	}
}

// Guards against calls that are ended although their scheduler is the present
// one.
func TestTermOfEpoch(t *testing.T) {
	h := newHolding(nil, "pool/0")
	first := h.term(1)
	qt.Check(t, h.term(1).Err(), qt.IsNil)
	second := h.term(3)
	qt.Check(t, first.Err(), qt.IsNotNil)
	qt.Check(t, h.term(2).Err(), qt.IsNil)
	qt.Check(t, h.term(3), qt.Equals, second)
	qt.Check(t, second.Err(), qt.IsNil)
}
