package control

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/control/state"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// bootstrap forms the cluster when an initial member starts with an empty data
// directory. The first voters are decided by one member only, the bootstrap
// member: the initial member whose address sorts first. Once all initial members
// respond that they have never been part of a cluster, it records their IDs as
// the first voters. The other initial members adopt this decision as long as
// nothing else has been committed. After that they start without a membership
// and receive the log from the leader.
//
// A bootstrap member that lost its disk cannot form a second cluster: everything
// that was accepted in the first cluster is stored by a majority, so at least one
// other member responds that it is part of a cluster. A cluster of one member has
// no such protection. A member that was removed takes no part in this: its cluster exists,
// although the initial members may all have been replaced.
func (m *Member) bootstrap(ctx context.Context, log Log, r consensus.Restored) (consensus.Restored, error) {
	initial := slices.Sorted(slices.Values(m.options.InitialMembers))
	empty := r.Snapshot.Index == 0 && len(r.Entries) == 0 && r.HardState == consensus.HardState{}
	if !empty || m.rejoining || !slices.Contains(initial, m.options.Address) {
		return r, nil
	}
	wait := m.waitForFirstVoters
	if initial[0] == m.options.Address {
		wait = m.waitForInitialMembers
	}
	voters, err := wait(ctx, initial)
	if err != nil || voters == nil {
		return r, err
	}
	s := state.New()
	var ids []uint64
	for _, v := range voters {
		ids = append(ids, v.Id)
		s.Apply(1, &controlv1.Command{Command: &controlv1.Command_Member{Member: v}})
	}
	r = consensus.Bootstrap(ids...)
	r.Snapshot.Data = s.Snapshot()
	if err := log.SaveSnapshot(r.Snapshot); err != nil {
		return r, m.reportStorageError(err)
	}
	if err := log.Save(&r.HardState, nil); err != nil {
		return r, m.reportStorageError(err)
	}
	m.options.Events.Emit(eventClusterFormed, event.F("members", len(ids)))
	return r, nil
}

// waitForFirstVoters waits until another initial member reports the first voters, and
// returns them. It returns nil if the cluster has already committed entries after
// the bootstrap entry; this member then joins through the leader.
func (m *Member) waitForFirstVoters(ctx context.Context, initial []string) ([]*controlv1.MemberAddress, error) {
	for {
		for _, address := range m.otherAddresses(initial) {
			s, err := m.requestStatus(ctx, address)
			switch {
			case err != nil || s.GetTerm() == 0:
			case s.GetCommit() > 1 && s.GetLeaderAddress() != "":
				return nil, nil
			case s.GetCommit() == 1 && listsMember(s, m.id()):
				return memberAddresses(s), nil
			}
		}
		if err := kernel.Sleep(ctx, m.options.Tick); err != nil {
			return nil, err
		}
	}
}

// otherAddresses returns the addresses of the initial members and of the peers, without that of
// this member.
func (m *Member) otherAddresses(initial []string) []string {
	out := slices.Concat(initial, m.options.Peers)
	slices.Sort(out)
	return slices.DeleteFunc(slices.Compact(out), func(a string) bool { return a == m.options.Address })
}

// listsMember reports whether a status response lists the member with the given ID.
func listsMember(s *controlv1.StatusResponse, id uint64) bool {
	return slices.ContainsFunc(s.GetMembers(), func(m *controlv1.MemberStatus) bool { return m.Id == id })
}

// memberAddresses converts the members of a status response to their replicated form.
func memberAddresses(s *controlv1.StatusResponse) []*controlv1.MemberAddress {
	var out []*controlv1.MemberAddress
	for _, m := range s.GetMembers() {
		out = append(out, &controlv1.MemberAddress{Id: m.Id, Address: m.Address, Instance: m.Instance})
	}
	return out
}

// waitForInitialMembers waits until all initial members have responded, and returns
// them. It returns nil if the cluster exists already.
func (m *Member) waitForInitialMembers(ctx context.Context, initial []string) ([]*controlv1.MemberAddress, error) {
	warned := false
	for {
		voters, exists := m.queryInitialMembers(ctx, initial)
		if exists {
			return nil, nil
		}
		if len(voters) == len(initial) {
			return voters, nil
		}
		if !warned {
			warned = true
			m.options.Events.Emit(eventFormationWaiting, event.F("answered", len(voters)), event.F("needed", len(initial)))
		}
		if err := kernel.Sleep(ctx, joinInterval); err != nil {
			return nil, err
		}
	}
}

// queryInitialMembers requests the status of all initial members and of the peers. It returns the
// initial members that responded, or exists if any of them all has been part of a cluster: the
// other initial members of an old cluster may have been replaced.
func (m *Member) queryInitialMembers(ctx context.Context, initial []string) (responded []*controlv1.MemberAddress, exists bool) {
	if slices.Contains(initial, m.options.Address) {
		responded = append(responded, &controlv1.MemberAddress{Id: m.id(), Address: m.options.Address, Instance: m.options.Instance})
	}
	for _, address := range m.otherAddresses(initial) {
		s, err := m.requestStatus(ctx, address)
		if err != nil {
			continue
		}
		if s.GetTerm() != 0 || s.GetCommit() != 0 || len(s.GetMembers()) != 1 {
			return nil, true
		}
		if s.Members[0].Id == 0 || !slices.Contains(initial, address) {
			continue // The member has not generated its ID yet, or does not form the cluster.
		}
		responded = append(responded, &controlv1.MemberAddress{Id: s.Members[0].Id, Address: address, Instance: s.Members[0].Instance})
	}
	return responded, false
}

// requestStatus requests the status of the member at an address.
func (m *Member) requestStatus(ctx context.Context, address string) (*controlv1.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultCallTimeout)
	defer cancel()
	return m.options.Network.Status(ctx, address)
}

// joinLoop asks the leader to add this member as long as it is not part of the
// membership, and to update the replicated address when it differs from the
// member's own. It also asks when no member has sent anything for unheardTimeout: the
// member may have been removed, and a learner is not told, because it does not campaign.
func (m *Member) joinLoop(ctx context.Context) error {
	announced, reported := false, ""
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
			recorded := own.GetAddress() == m.options.Address && own.GetInstance() == m.options.Instance
			if recorded && (s.Role == consensus.Leader || !m.isUnheard()) {
				continue
			}
		} else if !announced {
			announced = true
			m.options.Events.Emit(eventJoining, event.F("member", s.ID))
		}
		err := m.join(ctx)
		if err != nil && ctx.Err() == nil && err.Error() != reported {
			reported = err.Error()
			m.options.Events.Emit(eventJoinFailed, event.F("member", s.ID), event.F("error", err))
		}
	}
}

// isUnheard reports whether no member has sent anything for unheardTimeout.
func (m *Member) isUnheard() bool {
	return m.now().Sub(m.tickZero)-time.Duration(m.lastMessage.Load()) >= unheardTimeout
}

// join finds the leader through the known members and sends it the address of this member.
// If there is no leader, or the cluster is not formed yet, joinLoop tries again later.
func (m *Member) join(ctx context.Context) error {
	own := &controlv1.MemberRequest{Id: m.id(), Address: m.options.Address, Instance: m.options.Instance}
	if _, ok := m.lease(); ok {
		_, err := m.addMember(ctx, own)
		return err
	}
	leader := m.findLeader(ctx)
	if leader == nil {
		return errNoLeader()
	}
	call, cancel := context.WithTimeout(ctx, joinCallTimeout)
	defer cancel()
	_, err := m.options.Network.Member(call, leader.GetLeaderAddress(), own)
	if connect.CodeOf(err) == connect.CodeNotFound {
		m.learnRemoval(ctx, leader)
	}
	return err
}

// findLeader asks all known members at the same time, because one that is down may not respond,
// and returns the status of one that knows the leader of the latest term; nil if there is none.
func (m *Member) findLeader(ctx context.Context) *controlv1.StatusResponse {
	ctx, cancel := context.WithTimeout(ctx, joinStatusTimeout)
	defer cancel()
	addresses := m.knownAddresses()
	statuses := make(chan *controlv1.StatusResponse, len(addresses))
	for _, address := range addresses {
		go func() {
			s, err := m.options.Network.Status(ctx, address)
			if err != nil || s.GetLeaderAddress() == "" {
				s = nil
			}
			statuses <- s
		}()
	}
	var latest *controlv1.StatusResponse
	for range addresses {
		if s := <-statuses; s != nil && (latest == nil || s.GetTerm() > latest.GetTerm()) {
			latest = s
		}
	}
	return latest
}

// learnRemoval tells the consensus node what the leader has responded: that this member
// was removed. An error means that the node has ended; joinLoop asks again.
func (m *Member) learnRemoval(ctx context.Context, s *controlv1.StatusResponse) {
	for _, other := range s.GetMembers() {
		if other.Leader {
			_ = m.do(ctx, func(n *consensus.Node) error {
				return n.Step(consensus.Message{Type: consensus.MsgRemoved, From: other.Id, To: m.id()})
			})
		}
	}
}

// knownAddresses returns the addresses of other members without duplicates: the
// leader first, then the replicated members, those known before the last reset, the initial
// members and the peers.
func (m *Member) knownAddresses() []string {
	var out []string
	add := func(a string) {
		if a != "" && a != m.options.Address && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	add(m.leaderAddress())
	for _, other := range m.replicatedMembers() {
		add(other.Address)
	}
	for _, a := range slices.Concat(m.formerPeers, m.options.InitialMembers, m.options.Peers) {
		add(a)
	}
	return out
}
