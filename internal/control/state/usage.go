package state

import (
	"maps"
	"slices"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// MaxUsageWindows bounds the final windows whose reports are not delivered. The oldest ones
// are dropped beyond it.
const MaxUsageWindows = 48

// UsageWindow holds the final counts of a window of usage, by customer.
type UsageWindow struct {
	Window int64
	Counts map[string]uint64
}

// Usage is the state of the windows of usage.
type Usage struct {
	// Started is false until the window is known after which usage is reported.
	Started bool
	// Newest is the highest window that is final or skipped. Its counts and those of lower
	// windows never change.
	Newest int64
	// Undelivered holds the final windows that are not known to be delivered, oldest first.
	// Commands replace the slice and never write to it.
	Undelivered []UsageWindow
}

// apply records deliveries and makes a window final, unless that window or a later one is
// final already. Windows that were dropped can therefore not become final a second time with
// other counts. A command only skips if no window is known: a leader that has not learned of one
// would otherwise skip windows that are not final yet.
func (u *Usage) apply(c *controlv1.UsageWindow) {
	if len(c.GetDelivered()) > 0 {
		u.Undelivered = slices.DeleteFunc(slices.Clone(u.Undelivered), func(w UsageWindow) bool {
			return slices.Contains(c.GetDelivered(), w.Window)
		})
	}
	if u.Started && (c.GetSkip() || c.GetWindow() <= u.Newest) {
		return
	}
	u.Started, u.Newest = true, c.GetWindow()
	if c.GetSkip() {
		return
	}
	kept := u.Undelivered[max(0, len(u.Undelivered)-MaxUsageWindows+1):]
	u.Undelivered = append(slices.Clone(kept), UsageWindow{c.GetWindow(), maps.Clone(c.GetCounts())})
}

// Usage returns the windows of usage. The caller must not modify them.
func (s *State) Usage() Usage { return s.usage }

func (u *Usage) encode(e *encoder) {
	e.int(u.Newest)
	e.uint(uint64(len(u.Undelivered)))
	for _, w := range u.Undelivered {
		e.int(w.Window)
		e.uint(uint64(len(w.Counts)))
		for _, customer := range sortedKeys(w.Counts) {
			e.str(customer)
			e.uint(w.Counts[customer])
		}
	}
}

func (u *Usage) decode(d *decoder) {
	u.Started, u.Newest = true, d.int()
	for range d.count() {
		w := UsageWindow{Window: d.int(), Counts: make(map[string]uint64)}
		for range d.count() {
			customer := d.str()
			w.Counts[customer] = d.uint()
		}
		n := len(u.Undelivered)
		if n == MaxUsageWindows || w.Window > u.Newest || n > 0 && w.Window <= u.Undelivered[n-1].Window {
			d.failed, d.buf = true, nil
			return
		}
		u.Undelivered = append(u.Undelivered, w)
	}
}
