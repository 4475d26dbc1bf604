package control

import (
	"time"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

const (
	// moveInterval is the least time between the starts of two hand-overs in the
	// whole cluster. Each makes the successor wait up to 1 s for the grants that
	// entries hold, so that hand-overs are spread out.
	moveInterval = time.Second
	// moveSettle is how long an instance was live before it is given a group by
	// hand-over, and how long a group stays with a new holder at least. It keeps
	// groups off instances that restart in a loop.
	moveSettle = 10 * time.Second
	// moveTimeout ends a hand-over that the holder or the target does not carry out.
	moveTimeout = 3 * time.Second
	// moveRetry is the wait before a hand-over of the same group is tried again
	// after the holder did not give it up.
	moveRetry = time.Minute
	// moveGap is how many groups more than the target the holder has. A move at
	// a gap of 2 or more reduces the sum of the squared numbers of groups, so
	// that a fixed set of instances comes to rest after a bounded number of
	// moves and no group moves back and forth.
	moveGap = 2
)

// move is a planned hand-over of a group from its live holder. Only one is under
// way at a time in the cluster.
type move struct {
	group, holder, target string
	// epoch is that of the present holder.
	epoch uint64
	at    time.Time
}

// moves is the state of planned hand-overs in one term.
type moves struct {
	current *move
	last    time.Time
	// abandoned holds when the holder of a group did not give it up in time.
	abandoned map[string]time.Time
}

// plan starts a hand-over if one is useful, and returns it. The holder is asked
// by its next polls to give the group up. Until it reports that it did, it keeps
// the group and its lease is renewed, so that nothing is lost if it never does.
// The group is then free at once; see replaceable.
func (l *liveness) plan(assignments []*controlv1.Assignment, now time.Time) *move {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.moveEnded(assignments, now) || now.Sub(l.moves.last) < moveInterval {
		return nil
	}
	counts := make(map[string]int, len(l.instances))
	for _, a := range assignments {
		counts[a.Instance]++
	}
	least, ok := l.leastLoaded(counts, now)
	if !ok {
		return nil
	}
	var best *controlv1.Assignment
	widest := moveGap - 1
	for _, a := range assignments {
		gap := counts[a.Instance] - least
		if i := l.instances[a.Instance]; i != nil && i.info.GetDraining() {
			gap += len(assignments) + moveGap // Draining instances give up all groups, and first.
		}
		if gap > widest && l.movable(a, now) {
			best, widest = a, gap
		}
	}
	if best == nil {
		return nil
	}
	l.moves.current = &move{group: best.Group, holder: best.Instance, epoch: best.Epoch, at: now, target: l.lightest(best.Group, counts, least, now)}
	l.moves.last = now
	return l.moves.current
}

// moveEnded reports whether no hand-over is under way. One ends when the new
// holder reports its epoch, or after moveTimeout.
func (l *liveness) moveEnded(assignments []*controlv1.Assignment, now time.Time) bool {
	c := l.moves.current
	if c == nil {
		return true
	}
	late := now.Sub(c.at) >= moveTimeout
	for _, a := range assignments {
		if a.Group != c.group {
			continue
		}
		if a.Epoch == c.epoch && late {
			l.moves.abandoned[c.group] = now
		}
		taken := a.Epoch != c.epoch && l.reported(a) == a.Epoch
		if !late && !taken {
			return false
		}
	}
	l.moves.current = nil
	return true
}

// reported returns the epoch that the holder of a group reports to hold.
func (l *liveness) reported(a *controlv1.Assignment) uint64 {
	if i := l.instances[a.Instance]; i != nil {
		return i.reports[a.Group].GetEpoch()
	}
	return 0
}

// movable reports whether the holder of a group is live, acts as such and has
// done so for a while.
func (l *liveness) movable(a *controlv1.Assignment, now time.Time) bool {
	i := l.instances[a.Instance]
	if i == nil || !i.live(now) || l.reported(a) != a.Epoch {
		return false
	}
	if s := l.assigned[a.Group]; s.epoch == a.Epoch && now.Sub(s.at) < moveSettle {
		return false
	}
	at, failed := l.moves.abandoned[a.Group]
	return !failed || now.Sub(at) >= moveRetry
}

func (i *instance) settled(now time.Time) bool {
	return i.eligible(now) && now.Sub(i.since) >= moveSettle
}

// leastLoaded returns the smallest number of groups on an instance that may be a target.
func (l *liveness) leastLoaded(counts map[string]int, now time.Time) (least int, ok bool) {
	for name, i := range l.instances {
		if i.settled(now) && (!ok || counts[name] < least) {
			least, ok = counts[name], true
		}
	}
	return least, ok
}

// lightest returns the instance of the highest weight for a group among the
// least loaded ones.
func (l *liveness) lightest(group string, counts map[string]int, least int, now time.Time) (best string) {
	for name, i := range l.instances {
		if !i.settled(now) || counts[name] != least {
			continue
		}
		w, highest := weight(group, name), weight(group, best)
		if best == "" || w > highest || w == highest && name < best {
			best = name
		}
	}
	return best
}

// target returns the instance to which a group is being handed over, if it can
// still take it. Callers hold the mutex.
func (l *liveness) target(group string, a *controlv1.Assignment, now time.Time) *controlv1.EntryInfo {
	c := l.moves.current
	if c == nil || c.group != group || c.epoch != a.GetEpoch() {
		return nil
	}
	if i := l.instances[c.target]; i != nil && i.eligible(now) {
		return i.info
	}
	return nil
}

// resign returns the groups that an instance is asked to give up.
func (l *liveness) resign(name string) []*controlv1.Assignment {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.moves.current
	if c == nil || c.holder != name {
		return nil
	}
	return []*controlv1.Assignment{{Group: c.group, Instance: c.holder, Epoch: c.epoch}}
}
