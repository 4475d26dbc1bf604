package control

import (
	"time"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

const (
	// handOverInterval is the minimum time between the starts of two hand-overs in
	// the whole cluster. After each hand-over the new holder waits up to 1 s for
	// the grants that entries still hold, so hand-overs are spread out.
	handOverInterval = time.Second
	// handOverMinStableTime is the minimum time that an instance must have been
	// live before it receives a group by hand-over, and that a group stays with a
	// new holder. It keeps groups away from instances that restart in a loop.
	handOverMinStableTime = 10 * time.Second
	// handOverTimeout is the time after which a hand-over is abandoned if the
	// holder or the target does not complete it.
	handOverTimeout = 3 * time.Second
	// handOverRetryDelay is the wait before the next hand-over of a group that its
	// holder did not release in time.
	handOverRetryDelay = time.Minute
	// handOverMinGap is the minimum difference between the numbers of groups of the
	// holder and of the target. A move at a difference of 2 or more reduces the sum
	// of the squares of the numbers of groups. With a fixed set of instances, the
	// moves therefore end after a bounded number, and no group moves back and
	// forth.
	handOverMinGap = 2
)

// handOver is a planned hand-over of a group from its live holder to another
// instance. Only one is in progress at a time in the whole cluster.
type handOver struct {
	group, holder, target string
	// epoch is the epoch under which the holder holds the group.
	epoch     uint64
	startedAt time.Time
}

// handOvers is the state of the planned hand-overs in one term.
type handOvers struct {
	current   *handOver // nil if none is in progress
	lastStart time.Time
	// abandonedAt holds, by group, the time at which a hand-over ended because the
	// holder did not release the group in time.
	abandonedAt map[string]time.Time
}

// plan starts a hand-over if one improves the distribution of the groups, and
// returns it. The responses to the holder's next polls ask it to release the group.
// Until it reports the release, it keeps the group and its lease is renewed, so
// that an unfinished hand-over has no effect. After the report the group can be
// assigned at once; see replaceable.
func (l *liveness) plan(assignments []*controlv1.Assignment, now time.Time) *handOver {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.finishCurrentHandOver(assignments, now) || now.Sub(l.handOvers.lastStart) < handOverInterval {
		return nil
	}
	counts := make(map[string]int, len(l.instances))
	for _, a := range assignments {
		counts[a.Instance]++
	}
	minGroups, ok := l.minTargetGroups(counts, now)
	if !ok {
		return nil
	}
	var best *controlv1.Assignment
	maxGap := handOverMinGap - 1
	for _, a := range assignments {
		gap := counts[a.Instance] - minGroups
		if i := l.instances[a.Instance]; i != nil && i.info.GetDraining() {
			gap += len(assignments) + handOverMinGap // Draining instances come first and release all their groups.
		}
		if gap > maxGap && l.canHandOver(a, now) {
			best, maxGap = a, gap
		}
	}
	if best == nil {
		return nil
	}
	l.handOvers.current = &handOver{group: best.Group, holder: best.Instance, epoch: best.Epoch, startedAt: now, target: l.chooseTarget(best.Group, counts, minGroups, now)}
	l.handOvers.lastStart = now
	return l.handOvers.current
}

// finishCurrentHandOver ends the current hand-over if the new holder has reported
// its epoch or handOverTimeout has passed. It reports whether no hand-over is in
// progress.
func (l *liveness) finishCurrentHandOver(assignments []*controlv1.Assignment, now time.Time) bool {
	ongoing := l.handOvers.current
	if ongoing == nil {
		return true
	}
	timedOut := now.Sub(ongoing.startedAt) >= handOverTimeout
	for _, a := range assignments {
		if a.Group != ongoing.group {
			continue
		}
		if a.Epoch == ongoing.epoch && timedOut {
			l.handOvers.abandonedAt[ongoing.group] = now
		}
		takenOver := a.Epoch != ongoing.epoch && l.reportedEpoch(a) == a.Epoch
		if !timedOut && !takenOver {
			return false
		}
	}
	l.handOvers.current = nil
	return true
}

// reportedEpoch returns the epoch under which the assigned holder of a group
// reports to hold it, or 0 if it does not.
func (l *liveness) reportedEpoch(a *controlv1.Assignment) uint64 {
	if i := l.instances[a.Instance]; i != nil {
		return i.reports[a.Group].GetEpoch()
	}
	return 0
}

// canHandOver reports whether a group can be handed over: its holder is live and
// reports the current epoch, the assignment is at least handOverMinStableTime old,
// and no hand-over of the group was abandoned within handOverRetryDelay.
func (l *liveness) canHandOver(a *controlv1.Assignment, now time.Time) bool {
	i := l.instances[a.Instance]
	if i == nil || !i.isLive(now) || l.reportedEpoch(a) != a.Epoch {
		return false
	}
	if s := l.assigned[a.Group]; s.epoch == a.Epoch && now.Sub(s.at) < handOverMinStableTime {
		return false
	}
	at, wasAbandoned := l.handOvers.abandonedAt[a.Group]
	return !wasAbandoned || now.Sub(at) >= handOverRetryDelay
}

// isStable reports whether an instance may be the target of a hand-over.
func (i *instance) isStable(now time.Time) bool {
	return i.eligible(now) && now.Sub(i.firstSeen) >= handOverMinStableTime
}

// minTargetGroups returns the smallest number of groups held by any instance that may
// be the target of a hand-over. It reports false if there is no such instance.
func (l *liveness) minTargetGroups(counts map[string]int, now time.Time) (minGroups int, ok bool) {
	for name, i := range l.instances {
		if i.isStable(now) && (!ok || counts[name] < minGroups) {
			minGroups, ok = counts[name], true
		}
	}
	return minGroups, ok
}

// chooseTarget returns the target of a hand-over: among the instances with the fewest
// groups, the one with the highest rendezvous weight for the group.
func (l *liveness) chooseTarget(group string, counts map[string]int, minGroups int, now time.Time) (best string) {
	for name, i := range l.instances {
		if !i.isStable(now) || counts[name] != minGroups {
			continue
		}
		w, highest := rendezvousWeight(group, name), rendezvousWeight(group, best)
		if best == "" || w > highest || w == highest && name < best {
			best = name
		}
	}
	return best
}

// target returns the instance to which a group is being handed over, or nil if
// there is none or it is no longer eligible. The caller must hold l.mu.
func (l *liveness) target(group string, a *controlv1.Assignment, now time.Time) *controlv1.EntryInfo {
	ongoing := l.handOvers.current
	if ongoing == nil || ongoing.group != group || ongoing.epoch != a.GetEpoch() {
		return nil
	}
	if i := l.instances[ongoing.target]; i != nil && i.eligible(now) {
		return i.info
	}
	return nil
}

// groupsToRelease returns the groups that an instance is asked to release.
func (l *liveness) groupsToRelease(name string) []*controlv1.Assignment {
	l.mu.Lock()
	defer l.mu.Unlock()
	ongoing := l.handOvers.current
	if ongoing == nil || ongoing.holder != name {
		return nil
	}
	return []*controlv1.Assignment{{Group: ongoing.group, Instance: ongoing.holder, Epoch: ongoing.epoch}}
}
