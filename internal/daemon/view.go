package daemon

import (
	"context"
	"strconv"
	"sync/atomic"

	"auburnstep.example/auburnstep/internal/control/feed"
	"auburnstep.example/auburnstep/internal/placement"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/schedulerhost"
	"auburnstep.example/auburnstep/internal/settings"
)

// feedView adapts the feed client to the interfaces through which the entry, the
// scheduler host, the grant client and model placement read the cluster's state.
type feedView struct {
	feed *feed.Client
	// self describes this instance in polls of the feed; info adds the fields that change.
	self     *controlv1.EntryInfo
	draining *atomic.Bool
}

// info returns the current description of this instance for a poll of the feed.
func (v *feedView) info() *controlv1.EntryInfo {
	return &controlv1.EntryInfo{
		Instance: v.self.Instance, Address: v.self.Address, PeerAddress: v.self.PeerAddress,
		FailureDomain: v.self.FailureDomain, Weight: v.self.Weight, Draining: v.draining.Load(),
		SettingsVersion: v.feed.View().Version,
	}
}

// Fresh implements entry.View.
func (v *feedView) Fresh() bool { return v.feed.Fresh() }

// Index implements entry.View and schedulerhost.Source.
func (v *feedView) Index() *settings.Index { return v.feed.View().Index }

// Instances implements entry.View.
func (v *feedView) Instances() []*controlv1.EntryInfo { return v.feed.View().Entries }

// Reports implements entry.View.
func (v *feedView) Reports() []*controlv1.GroupReport { return v.feed.View().Groups }

// Entries implements schedulerhost.Source.
func (v *feedView) Entries() []string {
	entries := v.feed.View().Entries
	out := make([]string, len(entries))
	for i, e := range entries {
		out[i] = e.Instance
	}
	return out
}

// Leases implements schedulerhost.Source.
func (v *feedView) Leases() []schedulerhost.Lease {
	held := v.feed.HeldLeases()
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
func (v *feedView) Lease(group string) (schedulerhost.Lease, bool) {
	epoch, until := v.feed.HeldLease(group)
	return schedulerhost.Lease{Group: group, Epoch: epoch, Until: until}, epoch != 0
}

// placementLease returns the lease of model placement and whether this instance
// holds it.
func (v *feedView) placementLease() (placement.Lease, bool) {
	epoch, until := v.feed.HeldLease(settings.PlacementGroup)
	return placement.Lease{Epoch: epoch, Until: until}, epoch != 0
}

// Groups implements grants.Directory and placement.Directory.
func (v *feedView) Groups(service string) []string {
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
func (v *feedView) AllGroups() []string {
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
func (v *feedView) Holder(group string) (string, uint64, bool) {
	a := v.feed.View().Assignment(group)
	if a == nil || a.Address == "" {
		return "", 0, false
	}
	return a.Address, a.Epoch, true
}

// bookingsAdapter implements entry.Bookings with the booking client of package feed.
type bookingsAdapter struct{ client *feed.Bookings }

// Begin implements entry.Bookings.
func (r bookingsAdapter) Begin(ctx context.Context, b *controlv1.BeginBooking) (*controlv1.BookingResponse, error) {
	return r.client.Begin(ctx, b.Key, b.BodyHash, b.AttemptId)
}

// Finish implements entry.Bookings.
func (r bookingsAdapter) Finish(ctx context.Context, f *controlv1.FinishBooking) error {
	_, err := r.client.Finish(ctx, f.Key, f.AttemptId, f.Outcome)
	return err
}

// Release implements entry.Bookings. It returns at once; the client resends the
// release until it is acknowledged.
func (r bookingsAdapter) Release(_ context.Context, b *controlv1.ReleaseBooking) error {
	r.client.Release(b.Key, b.AttemptId)
	return nil
}
