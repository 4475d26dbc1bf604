package control

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/settings"
)

// Change validates a settings change against the current settings, proposes it to
// the log and waits for its result. Only one change is in flight at a time, so
// that each change is applied to the same settings that it was validated against.
// The next change waits until the outcome of the previous one is decided, even if
// the caller of the previous one has disconnected.
func (m *Member) Change(ctx context.Context, r *controlv1.ChangeRequest) (*controlv1.ChangeResponse, error) {
	m.metrics.changeCalls.Inc(1)
	c := r.GetChange()
	if c.GetChangeId() == "" || len(c.GetChangeId()) > maxAttemptBytes || proto.Size(c) > maxCommandBytes {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("a change needs an ID of 1 to %d bytes and at most %d bytes in all", maxAttemptBytes, maxCommandBytes))
	}
	if _, ok := m.lease(); !ok {
		a, err := m.redirect()
		return &controlv1.ChangeResponse{LeaderAddress: a}, err
	}
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	select {
	case m.changing <- struct{}{}:
	case <-ctx.Done():
		return nil, connectError(fmt.Errorf("%w: another change is in progress", ErrBusy))
	}
	releaseSlot := func() { <-m.changing }
	term, ok := m.lease()
	if !ok {
		releaseSlot()
		a, err := m.redirect()
		return &controlv1.ChangeResponse{LeaderAddress: a}, err
	}
	result, diff := m.validate(c)
	if result == nil && r.GetDryRun() {
		result = &controlv1.ChangeResult{ChangeId: c.ChangeId, Outcome: dryRunOutcome(c), Version: c.BaseVersion}
	}
	if result != nil {
		releaseSlot()
		if !m.holdsLease(term) {
			return nil, errNoLeader()
		}
		return m.changeResponse(c, result, diff, r.GetDryRun()), nil
	}
	applied, err := m.proposeThen(ctx, &controlv1.Command{Command: &controlv1.Command_Change{Change: c}}, releaseSlot)
	if err == nil && !m.holdsLease(term) {
		err = fmt.Errorf("%w: the lease ended; ask for the result of the change", ErrOutcomeUnknown)
	}
	if err != nil {
		m.options.Events.Emit(eventChangeFailed, event.Change(c.ChangeId), event.F("error", err))
		return nil, connectError(err)
	}
	return m.changeResponse(c, applied.Change, diff, false), nil
}

// changeResponse returns the response to a change and, unless it is a dry run,
// emits the event of its result.
func (m *Member) changeResponse(c *controlv1.Change, r *controlv1.ChangeResult, diff []string, dryRun bool) *controlv1.ChangeResponse {
	e := eventChangeFailed
	if r.Outcome == controlv1.ChangeResult_ACCEPTED {
		e = eventChange
	}
	if !dryRun {
		m.options.Events.Emit(e, event.Change(c.ChangeId), event.F("outcome", r.Outcome), event.F("version", r.Version), event.F("actor", c.Actor))
	}
	return &controlv1.ChangeResponse{Result: r, Diff: diff}
}

// dryRunOutcome returns the outcome that a valid change would have.
func dryRunOutcome(c *controlv1.Change) controlv1.ChangeResult_Outcome {
	if len(c.GetOperations()) == 0 {
		return controlv1.ChangeResult_UNCHANGED
	}
	return controlv1.ChangeResult_ACCEPTED
}

// validate returns the result of a change if it is known before the change is
// proposed: the result of an earlier attempt, or INVALID. It also returns the
// lines that describe the effect of the change. From a change without effect it
// removes all operations; the state then gives it the result UNCHANGED. A change
// whose base version is not the current one is left to the state, which records
// the conflict as its result.
func (m *Member) validate(c *controlv1.Change) (*controlv1.ChangeResult, []string) {
	m.mu.RLock()
	tree, version := m.state.Tree(), m.state.Version()
	result := m.state.StoredResult(c)
	m.mu.RUnlock()
	if result != nil || c.GetBaseVersion() != version {
		return result, nil
	}
	next, err := tree.Apply(c.GetOperations())
	if err != nil {
		return &controlv1.ChangeResult{ChangeId: c.ChangeId, Outcome: controlv1.ChangeResult_INVALID, Version: version, Message: err.Error()}, nil
	}
	if limit := m.options.Limits.Settings; int64(next.Bytes()) > limit && next.Bytes() > tree.Bytes() {
		message := fmt.Sprintf("the settings would have %d bytes, this member has room for %d", next.Bytes(), limit)
		return &controlv1.ChangeResult{ChangeId: c.ChangeId, Outcome: controlv1.ChangeResult_INVALID, Version: version, Message: message}, nil
	}
	diff := diffLines(tree, next, c.GetOperations())
	if len(diff) == 0 {
		c.Operations = nil
	}
	return nil, diff
}

// diffLines lists what the operations changed, in one line for each node and each
// setting.
func diffLines(before, after *settings.Tree, ops []*controlv1.Operation) []string {
	paths := make([]string, 0, len(ops))
	for _, op := range ops {
		paths = append(paths, op.GetPath())
	}
	slices.Sort(paths)
	var out []string
	for _, path := range slices.Compact(paths) {
		old, existed := before.Node(path)
		new, exists := after.Node(path)
		switch {
		case existed && !exists:
			out = append(out, "- "+path)
			continue
		case !existed && exists:
			out = append(out, fmt.Sprintf("+ %s (%s)", path, new.Kind()))
		case existed && exists && old.Kind() != new.Kind():
			out = append(out, fmt.Sprintf("~ %s (%s -> %s)", path, old.Kind(), new.Kind()))
		case !exists:
			continue
		}
		out = append(out, valueDiffLines(path, old, new)...)
	}
	return out
}

func valueDiffLines(path string, old, new *settings.Node) []string {
	before, after := settingValues(old), settingValues(new)
	var out []string
	for _, key := range sortedKeys(before, after) {
		oldValue, inOld := before[key]
		newValue, inNew := after[key]
		switch {
		case inOld && !inNew:
			out = append(out, fmt.Sprintf("- %s %s: %s", path, key, oldValue))
		case !inOld && inNew:
			out = append(out, fmt.Sprintf("+ %s %s: %s", path, key, newValue))
		case oldValue != newValue:
			out = append(out, fmt.Sprintf("~ %s %s: %s -> %s", path, key, oldValue, newValue))
		}
	}
	return out
}

func settingValues(n *settings.Node) map[string]string {
	out := make(map[string]string)
	if n != nil {
		for _, s := range n.Settings() {
			out[s.Key] = s.Value.String()
		}
	}
	return out
}

func sortedKeys(a, b map[string]string) []string {
	var keys []string
	for k := range a {
		keys = append(keys, k)
	}
	for k := range b {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// Result returns the first result of a change; later attempts do not alter it.
func (m *Member) Result(ctx context.Context, r *controlv1.ResultRequest) (*controlv1.ChangeResponse, error) {
	if leader, err := m.awaitCurrent(ctx); err != nil || leader != "" {
		return &controlv1.ChangeResponse{LeaderAddress: leader}, err
	}
	m.mu.RLock()
	result := m.state.StoredResultByID(r.GetChangeId())
	m.mu.RUnlock()
	if result == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("no change with this ID was applied"))
	}
	return &controlv1.ChangeResponse{Result: result}, nil
}

// Settings returns the current settings.
func (m *Member) Settings(ctx context.Context) (*controlv1.SettingsResponse, error) {
	if leader, err := m.awaitCurrent(ctx); err != nil || leader != "" {
		return &controlv1.SettingsResponse{LeaderAddress: leader}, err
	}
	return &controlv1.SettingsResponse{Settings: m.deriveSettings().export()}, nil
}
