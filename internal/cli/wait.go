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
	// pollInterval is the pause between two checks whether a version is in force.
	pollInterval = 200 * time.Millisecond
	// entryContactTimeout is how long an entry that has lost contact to the control
	// members may continue to accept requests under old settings. It equals
	// feed.FreshFor.
	entryContactTimeout = 3 * time.Second
)

// inForceWaiter waits until a version is in force at every entry. A newly elected leader
// does not list all live entries yet, so an entry that was listed before and is missing
// counts as live for entryContactTimeout.
type inForceWaiter struct {
	*session
	knownEntries []string
	missingSince map[string]time.Time // when a recorded entry was first not listed
}

// recordLiveEntries records the entries that are live before the change. It uses at most
// a quarter of the remaining time, so that enough is left for the change itself.
func (w *inForceWaiter) recordLiveEntries() {
	limited := *w.session
	limited.deadline = w.Now().Add(w.deadline.Sub(w.Now()) / 4)
	if status, callErr := limited.status(); callErr == nil {
		w.addEntries(status.GetEntries())
	}
}

// addEntries adds the listed entries to those that the version must reach.
func (w *inForceWaiter) addEntries(entries []*controlv1.EntryInfo) {
	for _, e := range entries {
		if !slices.Contains(w.knownEntries, e.GetInstance()) {
			w.knownEntries = append(w.knownEntries, e.GetInstance())
		}
	}
	slices.Sort(w.knownEntries)
}

// wait polls until no entry is outdated. At the deadline it returns an error and the last
// known outdated entries. It prints the outdated entries whenever they change,
// except with JSON output.
func (w *inForceWaiter) wait(version uint64) ([]string, error) {
	var lastOutdated []string
	for {
		outdated, err := w.outdated(version)
		if err == nil && len(outdated) == 0 {
			return nil, nil
		}
		if err == nil && !slices.Equal(outdated, lastOutdated) {
			lastOutdated = outdated
			if !w.json() {
				w.printf("waiting for %s\n", strings.Join(outdated, ", "))
			}
		}
		if !w.Now().Add(pollInterval).Before(w.deadline) {
			if err != nil {
				return lastOutdated, exitErrorf(CodeNotInForce, "version %d was accepted, but whether it is in force is unknown: %w", version, err)
			}
			return lastOutdated, exitErrorf(CodeNotInForce, "version %d is accepted and not yet in force at %s", version, strings.Join(outdated, ", "))
		}
		w.Sleep(w.ctx, pollInterval)
	}
}

// outdated returns the entries that may still serve under an older version, with
// the version or "no contact".
func (w *inForceWaiter) outdated(version uint64) ([]string, error) {
	status, callErr := w.status()
	if callErr != nil {
		return nil, callErr
	}
	if len(status.GetEntries()) == 0 && len(w.knownEntries) == 0 {
		return nil, errors.New("the leader lists no entry")
	}
	w.addEntries(status.GetEntries())
	versions := make(map[string]uint64, len(status.GetEntries()))
	for _, e := range status.GetEntries() {
		versions[e.GetInstance()] = e.GetSettingsVersion()
		delete(w.missingSince, e.GetInstance())
	}
	var out []string
	for _, name := range w.knownEntries {
		reported, live := versions[name]
		switch {
		case !live && w.missingTooLong(name):
		case !live:
			out = append(out, name+" (no contact)")
		case reported < version:
			out = append(out, fmt.Sprintf("%s (version %d)", name, reported))
		}
	}
	return out, nil
}

// missingTooLong reports whether an entry has been missing for entryContactTimeout. Its
// time starts with the first call.
func (w *inForceWaiter) missingTooLong(name string) bool {
	since, ok := w.missingSince[name]
	if !ok {
		w.missingSince[name] = w.Now()
		return false
	}
	return w.Now().Sub(since) >= entryContactTimeout
}
