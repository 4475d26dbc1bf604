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

// holdTime is how long after its last poll an instance may still act as holder
// of a group. The instance counts its lease from sending the poll, which is
// before the leader received it; the margin covers clocks that run at different
// speeds.
const holdTime = feed.GroupLease + groupLeaseMargin

// instance is what the leader knows about an instance from its polls.
type instance struct {
	info        *controlv1.EntryInfo
	incarnation uint64
	// since is when this leader first heard of the incarnation.
	since   time.Time
	last    time.Time
	reports map[string]*controlv1.GroupReport
	// held is the last epoch that the incarnation reported to hold, by group.
	held map[string]uint64
	// idle is since when the incarnation reports not to hold a group.
	idle map[string]time.Time
}

// liveness is the leader's memory of instances. It starts empty with each term.
type liveness struct {
	mu        sync.Mutex
	term      uint64
	began     time.Time
	instances map[string]*instance
	// revoking holds the epoch of each group that is being taken from its
	// holder. Polls answered meanwhile must not renew the holder's lease.
	revoking map[string]uint64
	// assigned holds the epoch and time of the assignments of this term.
	assigned map[string]assignment
	// withdrawn holds the epochs that answers no longer name, and since when,
	// because their holder polls but does not act as such.
	withdrawn map[string]assignment
	// moves are the planned hand-overs of groups.
	moves moves

	// listed is the entry list made at listedAt.
	listed        []*controlv1.EntryInfo
	listedVersion uint64
	listedAt      time.Time
}

// assignment is an epoch that this leader gave out or withdrew.
type assignment struct {
	epoch uint64
	at    time.Time
}

func newLiveness() *liveness {
	return &liveness{
		instances: make(map[string]*instance), revoking: make(map[string]uint64), assigned: make(map[string]assignment), withdrawn: make(map[string]assignment),
		moves: moves{abandoned: make(map[string]time.Time)},
	}
}

// enter forgets everything if the term is a later one. Callers hold the mutex.
func (l *liveness) enter(term uint64, now time.Time) {
	if term > l.term {
		l.term, l.began = term, now
		clear(l.instances)
		clear(l.revoking)
		clear(l.assigned)
		clear(l.withdrawn)
		l.moves = moves{abandoned: make(map[string]time.Time)}
		l.listed = nil
	}
}

// poll records a poll and returns the groups that are being revoked. Both
// happen at one moment: a poll is either seen by the decision to revoke or sees it.
func (l *liveness) poll(term uint64, now time.Time, r *controlv1.FeedRequest) map[string]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enter(term, now)
	name := r.GetSelf().GetInstance()
	if name == "" {
		return l.left()
	}
	i := l.instances[name]
	if i == nil || i.incarnation != r.GetIncarnation() {
		i = &instance{incarnation: r.GetIncarnation(), since: now, held: make(map[string]uint64), idle: make(map[string]time.Time)}
		l.instances[name] = i
	}
	i.info, i.last = r.GetSelf(), now
	i.info.SettingsVersion = r.GetSettingsVersion()
	i.reports = make(map[string]*controlv1.GroupReport, len(r.GetGroups()))
	for _, g := range r.GetGroups() {
		i.reports[g.GetGroup()] = g
		if g.GetEpoch() != 0 {
			i.held[g.GetGroup()] = g.GetEpoch()
			delete(i.idle, g.GetGroup())
			if l.withdrawn[g.GetGroup()].epoch == g.GetEpoch() {
				delete(l.withdrawn, g.GetGroup())
			}
		} else if _, ok := i.idle[g.GetGroup()]; !ok {
			i.idle[g.GetGroup()] = now
		}
	}
	return l.left()
}

// left returns the epochs of groups that answers leave out.
func (l *liveness) left() map[string]uint64 {
	out := maps.Clone(l.revoking)
	for group, w := range l.withdrawn {
		if _, ok := out[group]; !ok {
			out[group] = w.epoch
		}
	}
	return out
}

// warm reports whether the leader has led long enough to know all instances.
func (l *liveness) warm(now time.Time) bool { return now.Sub(l.began) >= directoryWarmup }

// entries returns the live instances by name and their version, or nothing
// before all were heard. The list is made anew every entriesAge at most, since
// hundreds of instances ask for it several times a second.
func (l *liveness) entries(now time.Time) ([]*controlv1.EntryInfo, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.warm(now) {
		return nil, feed.EntriesVersion(nil)
	}
	if l.listed != nil && now.Sub(l.listedAt) < entriesAge {
		return l.listed, l.listedVersion
	}
	out := l.alive(now)
	for i, info := range out {
		// The version in force on an instance is for operators. In the feed it
		// would send the whole list again to everybody at each change.
		out[i] = proto.CloneOf(info)
		out[i].SettingsVersion = 0
	}
	l.listed, l.listedVersion, l.listedAt = out, feed.EntriesVersion(out), now
	return out, l.listedVersion
}

// applied returns the live instances by name, with the version of the settings
// that each has in force, or nothing before all were heard.
func (l *liveness) applied(now time.Time) []*controlv1.EntryInfo {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.warm(now) {
		return nil
	}
	return l.alive(now)
}

// alive returns the live instances by name. Callers hold the mutex.
func (l *liveness) alive(now time.Time) []*controlv1.EntryInfo {
	out := make([]*controlv1.EntryInfo, 0, len(l.instances))
	for _, name := range slices.Sorted(maps.Keys(l.instances)) {
		if i := l.instances[name]; i.live(now) {
			out = append(out, i.info)
		}
	}
	return out
}

// groupReports returns the reports of the present holders.
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

// choose decides on a group: it returns the instance that is to hold it next,
// or nil if the holder stays or nobody can hold it. The group is being revoked
// from then on until settle.
func (l *liveness) choose(group string, a *controlv1.Assignment, now time.Time) *controlv1.EntryInfo {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, revoking := l.revoking[group]; revoking {
		return nil // A proposal is under way; see settle.
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
		next = l.rendezvous(group, now)
	}
	if next != nil {
		l.revoking[group] = a.GetEpoch()
	}
	return next
}

// settle ends the revocation of a group. The epoch is that of its new holder,
// or 0 if the group keeps the former one.
func (l *liveness) settle(term uint64, group string, epoch uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if term != l.term {
		return // Decided in an earlier term, which enter has forgotten.
	}
	delete(l.revoking, group)
	delete(l.withdrawn, group)
	if epoch != 0 {
		l.assigned[group] = assignment{epoch, now}
	}
}

// replaceable reports whether the holder of a group cannot act as such any
// more. Answers of former leaders were sent before this term began, since no
// leader answers after its lease, and may have renewed the holder until then.
func (l *liveness) replaceable(group string, a *controlv1.Assignment, now time.Time) bool {
	i := l.instances[a.Instance]
	if i == nil {
		return now.Sub(l.began) >= holdTime
	}
	if r := i.reports[group]; r != nil && r.GetEpoch() == 0 {
		if r.GetGivenUp() == a.Epoch {
			// This process will not act under the epoch. If it held it before, that
			// is enough; a new process may be the successor of one that did, whose
			// lease is waited for.
			return i.held[group] == a.Epoch || now.Sub(i.since) >= holdTime
		}
		return l.withdraw(group, a.Epoch, i, now)
	}
	return now.Sub(i.last) >= holdTime
}

// withdraw takes a group from a holder that polls, but has not heard of its epoch
// or of the renewal of its lease. An answer on its way may still make it act, so
// that it gets time to hear. After that no answer names it, and once the last one
// that did has ended, the group is free.
func (l *liveness) withdraw(group string, epoch uint64, i *instance, now time.Time) bool {
	if w, ok := l.withdrawn[group]; ok && w.epoch == epoch {
		return now.Sub(w.at) >= holdTime
	}
	unheard := l.assigned[group].epoch == epoch && now.Sub(l.assigned[group].at) < holdTime
	if !unheard && now.Sub(i.idle[group]) >= holdTime {
		l.withdrawn[group] = assignment{epoch, now}
	}
	return false
}

// rendezvous returns the live instance with the highest hash for a group, so
// that few groups move when instances come and go.
func (l *liveness) rendezvous(group string, now time.Time) *controlv1.EntryInfo {
	var best *controlv1.EntryInfo
	var highest uint64
	for name, i := range l.instances {
		if !i.eligible(now) {
			continue
		}
		h := weight(group, name)
		if best == nil || h > highest || h == highest && name < best.Instance {
			best, highest = i.info, h
		}
	}
	return best
}

// weight is the rank of an instance for a group in rendezvous hashing.
func weight(group, instance string) uint64 { return xxhash.Sum64String(group + "\x00" + instance) }

func (i *instance) live(now time.Time) bool { return now.Sub(i.last) < instanceLiveFor }

// eligible reports whether an instance may be given a group.
func (i *instance) eligible(now time.Time) bool {
	return i.live(now) && !i.info.GetDraining() && i.info.GetPeerAddress() != ""
}
