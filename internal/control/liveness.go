package control

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/control/feed"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// formerLeaseWait is how long the leader waits after the last poll of an instance
// before it may assign the groups of that instance to another one. The instance
// counts its lease from the moment it sends a poll, which is before the leader
// receives it; the margin covers clocks that run at different speeds.
const formerLeaseWait = feed.GroupLease + groupLeaseMargin

// instance is what the leader knows about one instance from its polls.
type instance struct {
	info        *controlv1.EntryInfo
	incarnation uint64
	// firstSeen is when this leader received the first poll of the incarnation.
	firstSeen time.Time
	lastPoll  time.Time
	reports   map[string]*controlv1.GroupReport
	// heldEpochs has, by group, the last epoch that the incarnation reported to
	// hold.
	heldEpochs map[string]uint64
	// notHeldSince has, by group, the time since when the incarnation reports not
	// to hold the group.
	notHeldSince map[string]time.Time
}

// liveness is the leader's record of the instances that poll. It starts empty in
// each term.
type liveness struct {
	mu        sync.Mutex
	term      uint64
	termStart time.Time
	instances map[string]*instance
	// revoking has the epoch of each group that is being taken from its holder.
	// Meanwhile, responses to polls must not renew the lease of that holder.
	revoking map[string]uint64
	// assigned has the epoch and time of the assignments made in this term.
	assigned map[string]timedEpoch
	// withdrawn has the epochs that responses leave out, and since when, because
	// the holder polls but does not report to hold the group.
	withdrawn map[string]timedEpoch
	// handOvers is the state of the planned hand-overs of groups.
	handOvers handOvers

	// cachedEntries is the entry list made at cachedAt, with its version.
	cachedEntries []*controlv1.EntryInfo
	cachedVersion uint64
	cachedAt      time.Time
}

// timedEpoch is an epoch and the time at which this leader assigned or withdrew
// it.
type timedEpoch struct {
	epoch uint64
	at    time.Time
}

func newLiveness() *liveness {
	return &liveness{
		instances: make(map[string]*instance), revoking: make(map[string]uint64), assigned: make(map[string]timedEpoch), withdrawn: make(map[string]timedEpoch),
		handOvers: handOvers{abandonedAt: make(map[string]time.Time)},
	}
}

// resetForTerm clears all records if the term is newer than theirs. Callers hold
// the mutex.
func (l *liveness) resetForTerm(term uint64, now time.Time) {
	if term > l.term {
		l.term, l.termStart = term, now
		clear(l.instances)
		clear(l.revoking)
		clear(l.assigned)
		clear(l.withdrawn)
		l.handOvers = handOvers{abandonedAt: make(map[string]time.Time)}
		l.cachedEntries = nil
	}
}

// recordPoll records a poll and returns, by group, the epochs that the response
// must leave out. Both happen under one lock, so that a decision to revoke a
// group either takes the poll into account or has its epoch among those returned.
func (l *liveness) recordPoll(term uint64, now time.Time, r *controlv1.FeedRequest) map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetForTerm(term, now)
	name := r.GetSelf().GetInstance()
	if name == "" {
		return l.excludedEpochs()
	}
	inst := l.instances[name]
	if inst == nil || inst.incarnation != r.GetIncarnation() {
		inst = &instance{incarnation: r.GetIncarnation(), firstSeen: now, heldEpochs: make(map[string]uint64), notHeldSince: make(map[string]time.Time)}
		l.instances[name] = inst
	}
	inst.info, inst.lastPoll = r.GetSelf(), now
	inst.info.SettingsVersion = r.GetSettingsVersion()
	inst.reports = make(map[string]*controlv1.GroupReport, len(r.GetGroups()))
	for _, g := range r.GetGroups() {
		inst.reports[g.GetGroup()] = g
		if g.GetEpoch() != 0 {
			inst.heldEpochs[g.GetGroup()] = g.GetEpoch()
			delete(inst.notHeldSince, g.GetGroup())
			if l.withdrawn[g.GetGroup()].epoch == g.GetEpoch() {
				delete(l.withdrawn, g.GetGroup())
			}
		} else if _, ok := inst.notHeldSince[g.GetGroup()]; !ok {
			inst.notHeldSince[g.GetGroup()] = now
		}
	}
	return l.excludedEpochs()
}

// excludedEpochs returns, by group, the epochs that responses leave out: those
// being revoked and those withdrawn. Callers hold the mutex.
func (l *liveness) excludedEpochs() map[string]uint64 {
	out := maps.Clone(l.revoking)
	for group, w := range l.withdrawn {
		if _, ok := out[group]; !ok {
			out[group] = w.epoch
		}
	}
	return out
}

// warm reports whether the term has lasted long enough for every live
// instance to have polled. Callers hold the mutex.
func (l *liveness) warm(now time.Time) bool { return now.Sub(l.termStart) >= directoryWarmup }

// entries returns the live instances, sorted by name, and the version of this
// list. During the warm-up it returns no instances. The list is rebuilt at most
// once per entriesAge because hundreds of instances request it several times a
// second.
func (l *liveness) entries(now time.Time) ([]*controlv1.EntryInfo, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.warm(now) {
		return nil, feed.EntriesVersion(nil)
	}
	if l.cachedEntries != nil && now.Sub(l.cachedAt) < entriesAge {
		return l.cachedEntries, l.cachedVersion
	}
	out := l.liveEntries(now)
	for i, info := range out {
		// The settings version in force on each instance is for operators only. In
		// the feed, each settings change would send the whole list to every instance.
		out[i] = proto.CloneOf(info)
		out[i].SettingsVersion = 0
	}
	l.cachedEntries, l.cachedVersion, l.cachedAt = out, feed.EntriesVersion(out), now
	return out, l.cachedVersion
}

// applied returns the live instances, sorted by name, each with the version of
// the settings that it has applied. During the warm-up it returns nil.
func (l *liveness) applied(now time.Time) []*controlv1.EntryInfo {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.warm(now) {
		return nil
	}
	return l.liveEntries(now)
}

// liveEntries returns the live instances, sorted by name. Callers hold the mutex.
func (l *liveness) liveEntries(now time.Time) []*controlv1.EntryInfo {
	out := make([]*controlv1.EntryInfo, 0, len(l.instances))
	for _, name := range slices.Sorted(maps.Keys(l.instances)) {
		if i := l.instances[name]; i.isLive(now) {
			out = append(out, i.info)
		}
	}
	return out
}

// groupReports returns what the current holders report about their groups.
func (l *liveness) groupReports(assignments []*controlv1.Assignment) []*controlv1.GroupReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*controlv1.GroupReport
	for _, a := range assignments {
		if i := l.instances[a.Instance]; i != nil {
			if r := i.reports[a.Group]; r.GetEpoch() == a.Epoch {
				out = append(out, r)
			}
		}
	}
	return out
}

// chooseHolder returns the instance that is to hold a group next, or nil if the
// current holder keeps it or no instance can hold it. If it returns an instance,
// the group counts as being revoked until endRevocation.
func (l *liveness) chooseHolder(group string, a *controlv1.Assignment, now time.Time) *controlv1.EntryInfo {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, revoking := l.revoking[group]; revoking {
		return nil // A proposal is in flight; see endRevocation.
	}
	if a.GetInstance() == "" {
		if !l.warm(now) {
			return nil
		}
	} else if !l.replaceable(group, a, now) {
		return nil
	}
	next := l.target(group, a, now)
	if next == nil {
		next = l.rendezvousHolder(group, now)
	}
	if next != nil {
		l.revoking[group] = a.GetEpoch()
	}
	return next
}

// endRevocation ends the revocation of a group. The epoch is that of the new
// holder, or 0 if the former holder keeps the group.
func (l *liveness) endRevocation(term uint64, group string, epoch uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term != l.term {
		return // The revocation belongs to an earlier term; resetForTerm has cleared it.
	}
	delete(l.revoking, group)
	delete(l.withdrawn, group)
	if epoch != 0 {
		l.assigned[group] = timedEpoch{epoch, now}
	}
}

// replaceable reports whether the holder of a group can no longer act as holder.
// If the holder has not polled in this term, the wait counts from the start of
// the term: a former leader may have renewed the lease until then, but not later,
// because no leader responds after its own lease has ended.
func (l *liveness) replaceable(group string, a *controlv1.Assignment, now time.Time) bool {
	i := l.instances[a.Instance]
	if i == nil {
		return now.Sub(l.termStart) >= formerLeaseWait
	}
	if r := i.reports[group]; r != nil && r.GetEpoch() == 0 {
		if r.GetGivenUp() == a.Epoch {
			// This process will not act under the epoch. If the same process held
			// the epoch, the group is free. A new process may be the successor of
			// the one that held it, so the lease of that one must end first.
			return i.heldEpochs[group] == a.Epoch || now.Sub(i.firstSeen) >= formerLeaseWait
		}
		return l.withdrawFromInactive(group, a.Epoch, i, now)
	}
	return now.Sub(i.lastPoll) >= formerLeaseWait
}

// withdrawFromInactive withdraws a group from a holder that polls but does not
// report to hold the group, because it has not received its epoch or the renewal
// of its lease. It reports whether the group is free. A response in flight may
// still make the holder act, so the holder first has formerLeaseWait to report
// the epoch. After that no response names the epoch, and the group is free once
// the leases that earlier responses granted have ended.
func (l *liveness) withdrawFromInactive(group string, epoch uint64, i *instance, now time.Time) bool {
	if w, ok := l.withdrawn[group]; ok && w.epoch == epoch {
		return now.Sub(w.at) >= formerLeaseWait
	}
	recentlyAssigned := l.assigned[group].epoch == epoch && now.Sub(l.assigned[group].at) < formerLeaseWait
	if !recentlyAssigned && now.Sub(i.notHeldSince[group]) >= formerLeaseWait {
		l.withdrawn[group] = timedEpoch{epoch, now}
	}
	return false
}

// rendezvousHolder returns the eligible instance with the highest hash for a
// group. With such rendezvous hashing, few groups move when instances join or
// leave.
func (l *liveness) rendezvousHolder(group string, now time.Time) *controlv1.EntryInfo {
	var best *controlv1.EntryInfo
	var highest uint64
	for name, i := range l.instances {
		if !i.eligible(now) {
			continue
		}
		hash := rendezvousWeight(group, name)
		if best == nil || hash > highest || hash == highest && name < best.Instance {
			best, highest = i.info, hash
		}
	}
	return best
}

// rendezvousWeight is the rank of an instance for a group in rendezvous hashing.
func rendezvousWeight(group, instance string) uint64 {
	return xxhash.Sum64String(group + "\x00" + instance)
}

func (i *instance) isLive(now time.Time) bool { return now.Sub(i.lastPoll) < instanceLiveTimeout }

// eligible reports whether a group may be assigned to the instance.
func (i *instance) eligible(now time.Time) bool {
	return i.isLive(now) && !i.info.GetDraining() && i.info.GetPeerAddress() != ""
}
