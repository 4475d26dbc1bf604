package daemon

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"auburnstep.example/auburnstep/internal/control/feed"
	"auburnstep.example/auburnstep/internal/placement"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/schedulerhost"
	"auburnstep.example/auburnstep/internal/settings"
)

// view gives the entry, the scheduler host and the grant client their part of
// the feed.
type view struct {
	feed *feed.Client
	// self describes this instance in each poll.
	self     *controlv1.EntryInfo
	draining *atomic.Bool
}

// info returns the description of this instance for a poll of the feed.
func (v *view) info() *controlv1.EntryInfo {
	return &controlv1.EntryInfo{
		Instance: v.self.Instance, Address: v.self.Address, PeerAddress: v.self.PeerAddress,
		FailureDomain: v.self.FailureDomain, Weight: v.self.Weight, Draining: v.draining.Load(),
		SettingsVersion: v.feed.View().Version,
	}
}

// Fresh implements entry.View.
func (v *view) Fresh() bool { return v.feed.View().Fresh(time.Now()) }

// Index implements entry.View and schedulerhost.Source.
func (v *view) Index() *settings.Index { return v.feed.View().Index }

// Instances implements entry.View.
func (v *view) Instances() []*controlv1.EntryInfo { return v.feed.View().Entries }

// Reports implements entry.View.
func (v *view) Reports() []*controlv1.GroupReport { return v.feed.View().Groups }

// Entries implements schedulerhost.Source.
func (v *view) Entries() []string {
	entries := v.feed.View().Entries
	out := make([]string, len(entries))
	for i, e := range entries {
		out[i] = e.Instance
	}
	return out
}

// Leases implements schedulerhost.Source.
func (v *view) Leases() []schedulerhost.Lease {
	held := v.feed.Held()
	out := make([]schedulerhost.Lease, 0, len(held))
	for group, l := range held {
		if group == settings.PlacementGroup {
			continue
		}
		out = append(out, schedulerhost.Lease{Group: group, Epoch: l.Epoch, Until: l.Until})
	}
	return out
}

// Lease implements schedulerhost.Source.
func (v *view) Lease(group string) (schedulerhost.Lease, bool) {
	epoch, until := v.feed.Holds(group)
	return schedulerhost.Lease{Group: group, Epoch: epoch, Until: until}, epoch != 0
}

// placementLease returns the lease of model placement.
func (v *view) placementLease() (placement.Lease, bool) {
	epoch, until := v.feed.Holds(settings.PlacementGroup)
	return placement.Lease{Epoch: epoch, Until: until}, epoch != 0
}

// Groups implements grants.Directory and placement.Directory.
func (v *view) Groups(service string) []string {
	s, ok := v.Index().Service(service)
	if !ok {
		return nil
	}
	out := make([]string, max(s.Groups, 1))
	for i := range out {
		out[i] = service + "/" + strconv.Itoa(i)
	}
	return out
}

// AllGroups implements grants.Directory.
func (v *view) AllGroups() []string {
	assignments := v.feed.View().Assignments
	out := make([]string, 0, len(assignments))
	for _, a := range assignments {
		if a.Group != settings.PlacementGroup {
			out = append(out, a.Group)
		}
	}
	return out
}

// Holder implements grants.Directory.
func (v *view) Holder(group string) (string, uint64, bool) {
	a := v.feed.View().Assignment(group)
	if a == nil || a.Address == "" {
		return "", 0, false
	}
	return a.Address, a.Epoch, true
}

// records adapts the booking client of the feed to the entry.
type records struct{ client *feed.Bookings }

// Begin implements entry.Bookings.
func (r records) Begin(ctx context.Context, b *controlv1.BeginBooking) (*controlv1.BookingResponse, error) {
	return r.client.Begin(ctx, b.Key, b.BodyHash, b.AttemptId)
}

// Finish implements entry.Bookings.
func (r records) Finish(ctx context.Context, f *controlv1.FinishBooking) error {
	_, err := r.client.Finish(ctx, f.Key, f.AttemptId, f.Outcome)
	return err
}

// Release implements entry.Bookings. The client repeats it until it is acknowledged.
func (r records) Release(_ context.Context, b *controlv1.ReleaseBooking) error {
	r.client.Release(b.Key, b.AttemptId)
	return nil
}
