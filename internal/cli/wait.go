package cli

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

const (
	// waitPause is the time between two questions whether a version is in force.
	waitPause = 200 * time.Millisecond
	// staleAfter is how long an entry without contact to the control members may
	// go on accepting requests on old settings.
	staleAfter = 3 * time.Second
)

// waiter waits until a version is in force at every entry. A leader that was
// elected a moment ago does not know all entries yet, so an entry that was
// listed before and is missing counts as live for staleAfter.
type waiter struct {
	*session
	known  []string
	absent map[string]time.Time
}

// learn notes the entries that are live before the change. It takes little of
// the time, since the change matters more.
func (w *waiter) learn() {
	brief := *w.session
	brief.deadline = w.Now().Add(w.deadline.Sub(w.Now()) / 4)
	if status, failed := brief.status(); failed == nil {
		w.note(status.GetEntries())
	}
}

func (w *waiter) note(entries []*controlv1.EntryInfo) {
	for _, e := range entries {
		if !slices.Contains(w.known, e.GetInstance()) {
			w.known = append(w.known, e.GetInstance())
		}
	}
	slices.Sort(w.known)
}

// wait returns the entries that do not report the version when time is up, and
// prints those it waits for whenever they change.
func (w *waiter) wait(version uint64) ([]string, error) {
	var last []string
	for {
		behind, err := w.behind(version)
		if err == nil && len(behind) == 0 {
			return nil, nil
		}
		if err == nil && !slices.Equal(behind, last) {
			last = behind
			if !w.json() {
				w.printf("waiting for %s\n", strings.Join(behind, ", "))
			}
		}
		if !w.Now().Add(waitPause).Before(w.deadline) {
			if err != nil {
				return last, exit(CodeNotInForce, "version %d is accepted; whether it is in force is not known: %w", version, err)
			}
			return last, exit(CodeNotInForce, "version %d is accepted and not yet in force at %s", version, strings.Join(behind, ", "))
		}
		w.Sleep(w.ctx, waitPause)
	}
}

// behind returns the entries that may still serve on an older version.
func (w *waiter) behind(version uint64) ([]string, error) {
	status, failed := w.status()
	if failed != nil {
		return nil, failed
	}
	if len(status.GetEntries()) == 0 && len(w.known) == 0 {
		return nil, errors.New("the leader knows no entry")
	}
	w.note(status.GetEntries())
	versions := make(map[string]uint64, len(status.GetEntries()))
	for _, e := range status.GetEntries() {
		versions[e.GetInstance()] = e.GetSettingsVersion()
		delete(w.absent, e.GetInstance())
	}
	var out []string
	for _, name := range w.known {
		at, live := versions[name]
		switch {
		case !live && w.stale(name):
		case !live:
			out = append(out, name+" (no contact)")
		case at < version:
			out = append(out, fmt.Sprintf("%s (version %d)", name, at))
		}
	}
	return out, nil
}

// stale reports whether an entry has been missing for staleAfter.
func (w *waiter) stale(name string) bool {
	since, ok := w.absent[name]
	if !ok {
		w.absent[name] = w.Now()
		return false
	}
	return w.Now().Sub(since) >= staleAfter
}
