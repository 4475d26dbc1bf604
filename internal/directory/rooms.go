package directory

import (
	"time"

	"auburnstep.example/auburnstep/internal/clock"
	"auburnstep.example/auburnstep/internal/entryweight"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/rpc/directoryv1"
)

var eventListsWeighted = event.Define(7010, "entry-lists-weighted", event.Info, "entries differ in room, or no longer do; callers get lists by weight, or random lists")

// room is the room of an entry as it was reported to a member.
type room struct{ idle, present uint32 }

// keepRoom completes the description of an entry whose room has not changed since an earlier
// poll of this member. A process that has not polled the member before has reported none.
func keepRoom(self, known *directoryv1.Entry, polledBefore bool) {
	if self.Room == 0 && polledBefore {
		self.Room, self.IdleRoom = known.GetRoom(), known.GetIdleRoom()
	}
}

// omitKnownRoom removes the room from a description if the member knows it. The member knows
// nothing in a new epoch. It may have removed the record of an entry that it has not heard of.
func (p *poller) omitKnownRoom(self *directoryv1.Entry, now time.Time) {
	if p.lost || p.view.epoch == 0 || now.Sub(p.lastResponse) > entryLease {
		p.knownRoom = room{}
	}
	if (room{self.IdleRoom, self.Room}) == p.knownRoom {
		self.Room, self.IdleRoom = 0, 0
	}
}

// AddressesFor returns the addresses of entries for a caller in a failure domain, and true, if
// entries differ in room.
func (s *Service) AddressesFor(caller, domain string) ([]string, bool) {
	return s.addressesFor(clock.Now(), caller, domain)
}

func (s *Service) addressesFor(now time.Time, caller, domain string) ([]string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateWeights(now, s.registry.Entries(now))
	if !s.weights.Weighted() {
		return nil, false
	}
	return s.weights.Addresses(now, caller, domain), true
}

// updateWeights applies the listed entries. The caller must hold s.mu.
func (s *Service) updateWeights(now time.Time, listed []*directoryv1.Entry) {
	entries := make([]entryweight.Entry, len(listed))
	for i, e := range listed {
		entries[i] = entryweight.Entry{Address: e.Address, Domain: e.FailureDomain, IdleRoom: e.IdleRoom, Room: e.Room}
	}
	if s.weights.Update(now, entries) {
		s.events.Emit(eventListsWeighted, event.F("weighted", s.weights.Weighted()), event.F("entries", len(entries)), event.F("own_domain", s.weights.Own()))
	}
}
