package control

import (
	"context"
	"slices"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/control/state"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// found forms the cluster at its first start. Only the initial member with the
// first address in order decides on the first voters: once all initial members
// answer that they never took part in a cluster, it fixes their IDs. The others
// adopt that decision while nothing but it is committed; later they start
// without a membership and receive the log from the leader.
//
// A founder that lost its disk cannot form a second cluster: whatever was
// accepted in the first one is stored by a majority, so that at least one other
// member answers that it took part. A cluster of one member has no such guard.
func (m *Member) found(ctx context.Context, log Log, r consensus.Restored) (consensus.Restored, error) {
	initial := slices.Sorted(slices.Values(m.options.InitialMembers))
	empty := r.Snapshot.Index == 0 && len(r.Entries) == 0 && r.HardState == consensus.HardState{}
	if !empty || !slices.Contains(initial, m.options.Address) {
		return r, nil
	}
	wait := m.waitForFounder
	if initial[0] == m.options.Address {
		wait = m.waitForFounders
	}
	founders, err := wait(ctx, initial)
	if err != nil || founders == nil {
		return r, err
	}
	s := state.New()
	var ids []uint64
	for _, f := range founders {
		ids = append(ids, f.Id)
		s.Apply(1, &controlv1.Command{Command: &controlv1.Command_Member{Member: f}})
	}
	r = consensus.Bootstrap(ids...)
	r.Snapshot.Data = s.Snapshot()
	if err := log.SaveSnapshot(r.Snapshot); err != nil {
		return r, m.storageFailed(err)
	}
	if err := log.Save(&r.HardState, nil); err != nil {
		return r, m.storageFailed(err)
	}
	m.options.Events.Emit(eventFounded, event.F("members", len(ids)))
	return r, nil
}

// waitForFounder returns the first voters that another initial member knows, or
// nil if the cluster has gone on from there.
func (m *Member) waitForFounder(ctx context.Context, initial []string) ([]*controlv1.MemberAddress, error) {
	for {
		for _, address := range initial {
			if address == m.options.Address {
				continue
			}
			s, err := m.askStatus(ctx, address)
			switch {
			case err != nil || s.GetTerm() == 0:
			case s.GetCommit() > 1 && s.GetLeaderAddress() != "":
				return nil, nil
			case s.GetCommit() == 1 && listed(s, m.id()):
				return addresses(s), nil
			}
		}
		if err := kernel.Sleep(ctx, m.options.Tick); err != nil {
			return nil, err
		}
	}
}

func listed(s *controlv1.StatusResponse, id uint64) bool {
	return slices.ContainsFunc(s.GetMembers(), func(m *controlv1.MemberStatus) bool { return m.Id == id })
}

func addresses(s *controlv1.StatusResponse) []*controlv1.MemberAddress {
	var out []*controlv1.MemberAddress
	for _, m := range s.GetMembers() {
		out = append(out, &controlv1.MemberAddress{Id: m.Id, Address: m.Address, Instance: m.Instance})
	}
	return out
}

// waitForFounders returns the initial members, or nil if the cluster exists.
func (m *Member) waitForFounders(ctx context.Context, initial []string) ([]*controlv1.MemberAddress, error) {
	warned := false
	for {
		founders, exists := m.askFounders(ctx, initial)
		if exists {
			return nil, nil
		}
		if len(founders) == len(initial) {
			return founders, nil
		}
		if !warned {
			warned = true
			m.options.Events.Emit(eventFoundingWaits, event.F("answered", len(founders)), event.F("needed", len(initial)))
		}
		if err := kernel.Sleep(ctx, joinInterval); err != nil {
			return nil, err
		}
	}
}

// askFounders returns the initial members that answered, or true if one of them
// has taken part in a cluster.
func (m *Member) askFounders(ctx context.Context, initial []string) (founders []*controlv1.MemberAddress, exists bool) {
	for _, address := range initial {
		if address == m.options.Address {
			founders = append(founders, &controlv1.MemberAddress{Id: m.id(), Address: address, Instance: m.options.Instance})
			continue
		}
		s, err := m.askStatus(ctx, address)
		if err != nil {
			continue
		}
		if s.GetTerm() != 0 || s.GetCommit() != 0 || len(s.GetMembers()) != 1 {
			return nil, true
		}
		if s.Members[0].Id == 0 {
			continue // It has not drawn its ID yet.
		}
		founders = append(founders, &controlv1.MemberAddress{Id: s.Members[0].Id, Address: address, Instance: s.Members[0].Instance})
	}
	return founders, false
}

func (m *Member) askStatus(ctx context.Context, address string) (*controlv1.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultCallTimeout)
	defer cancel()
	return m.options.Network.Status(ctx, address)
}

// joinLoop asks the leader to add this member while it is in no membership, and
// tells it when the address has changed.
func (m *Member) joinLoop(ctx context.Context) error {
	announced := false
	for {
		if err := kernel.Sleep(ctx, joinInterval); err != nil {
			return nil
		}
		s := m.status.Load()
		if s.Removed {
			continue
		}
		if s.Members.Has(s.ID) {
			m.mu.RLock()
			own := m.state.Member(s.ID)
			m.mu.RUnlock()
			if own.GetAddress() == m.options.Address && own.GetInstance() == m.options.Instance {
				continue
			}
		} else if !announced {
			announced = true
			m.options.Events.Emit(eventJoining, event.F("member", s.ID))
		}
		m.join(ctx)
	}
}

// join finds the leader by any known member and sends it the own address. A
// cluster without a leader, or one that is not formed, is asked again later.
func (m *Member) join(ctx context.Context) {
	own := &controlv1.MemberRequest{Id: m.id(), Address: m.options.Address, Instance: m.options.Instance}
	if _, ok := m.lease(); ok {
		_, _ = m.addMember(ctx, own)
		return
	}
	for _, address := range m.knownAddresses() {
		s, err := m.askStatus(ctx, address)
		if err != nil || s.GetLeaderAddress() == "" {
			continue
		}
		for _, other := range s.GetMembers() {
			if other.Id == own.Id && other.Address == own.Address && other.Instance == own.Instance {
				return // Added already; the log is on its way.
			}
		}
		call, cancel := context.WithTimeout(ctx, 2*membershipWaitTimeout)
		_, err = m.options.Network.Member(call, s.GetLeaderAddress(), own)
		cancel()
		if err == nil {
			return
		}
	}
}

// knownAddresses lists the addresses of other members without repeats.
func (m *Member) knownAddresses() []string {
	var out []string
	add := func(a string) {
		if a != "" && a != m.options.Address && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	add(m.leaderAddress())
	for _, other := range m.members() {
		add(other.Address)
	}
	for _, a := range m.options.InitialMembers {
		add(a)
	}
	for _, a := range m.options.Peers {
		add(a)
	}
	return out
}
