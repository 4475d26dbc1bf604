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

// Change validates a settings change against the present settings, puts it into
// the log and waits for its result. One change is in flight at a time, so that
// what was validated is what the change is applied to. The next one waits until
// the outcome of the former is decided, also if its caller has gone.
func (m *Member) Change(ctx context.Context, r *controlv1.ChangeRequest) (*controlv1.ChangeResponse, error) {
	m.metrics.changes.Inc(1)
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
		return nil, failure(fmt.Errorf("%w: another change is in progress", ErrBusy))
	}
	free := func() { <-m.changing }
	term, ok := m.lease()
	if !ok {
		free()
		a, err := m.redirect()
		return &controlv1.ChangeResponse{LeaderAddress: a}, err
	}
	result, diff := m.validate(c)
	if result == nil && r.GetDryRun() {
		result = &controlv1.ChangeResult{ChangeId: c.ChangeId, Outcome: dryOutcome(c), Version: c.BaseVersion}
	}
	if result != nil {
		free()
		if !m.held(term) {
			return nil, errNoLeader()
		}
		return m.changed(c, result, diff, r.GetDryRun()), nil
	}
	applied, err := m.proposeThen(ctx, &controlv1.Command{Command: &controlv1.Command_Change{Change: c}}, free)
	if err == nil && !m.held(term) {
		err = fmt.Errorf("%w: the lease ended; ask for the result of the change", ErrUnknown)
	}
	if err != nil {
		m.options.Events.Emit(eventChangeFailed, event.Change(c.ChangeId), event.F("error", err))
		return nil, failure(err)
	}
	return m.changed(c, applied.Change, diff, false), nil
}

func (m *Member) changed(c *controlv1.Change, r *controlv1.ChangeResult, diff []string, dry bool) *controlv1.ChangeResponse {
	e := eventChangeFailed
	if r.Outcome == controlv1.ChangeResult_ACCEPTED {
		e = eventChange
	}
	if !dry {
		m.options.Events.Emit(e, event.Change(c.ChangeId), event.F("outcome", r.Outcome), event.F("version", r.Version), event.F("actor", c.Actor))
	}
	return &controlv1.ChangeResponse{Result: r, Diff: diff}
}

func dryOutcome(c *controlv1.Change) controlv1.ChangeResult_Outcome {
	if len(c.GetOperations()) == 0 {
		return controlv1.ChangeResult_UNCHANGED
	}
	return controlv1.ChangeResult_ACCEPTED
}

// validate returns the result of a change that is known before it is proposed:
// that of an earlier attempt, or INVALID. It removes all operations of a change
// without effect, which the state then answers as UNCHANGED. A change from
// another version is left to the state, which remembers the conflict.
func (m *Member) validate(c *controlv1.Change) (*controlv1.ChangeResult, []string) {
	m.mu.RLock()
	tree, version := m.state.Tree(), m.state.Version()
	result := m.state.Result(c)
	m.mu.RUnlock()
	if result != nil || c.GetBaseVersion() != version {
		return result, nil
	}
	next, err := tree.Apply(c.GetOperations())
	if err != nil {
		return &controlv1.ChangeResult{ChangeId: c.ChangeId, Outcome: controlv1.ChangeResult_INVALID, Version: version, Message: err.Error()}, nil
	}
	diff := difference(tree, next, c.GetOperations())
	if len(diff) == 0 {
		c.Operations = nil
	}
	return nil, diff
}

// difference lists what operations changed, one line each.
func difference(before, after *settings.Tree, ops []*controlv1.Operation) []string {
	paths := make([]string, 0, len(ops))
	for _, op := range ops {
		paths = append(paths, op.GetPath())
	}
	slices.Sort(paths)
	var out []string
	for _, path := range slices.Compact(paths) {
		old, was := before.Node(path)
		new, is := after.Node(path)
		switch {
		case was && !is:
			out = append(out, "- "+path)
			continue
		case !was && is:
			out = append(out, fmt.Sprintf("+ %s (%s)", path, new.Kind()))
		case was && is && old.Kind() != new.Kind():
			out = append(out, fmt.Sprintf("~ %s (%s -> %s)", path, old.Kind(), new.Kind()))
		case !is:
			continue
		}
		out = append(out, valueDifference(path, old, new)...)
	}
	return out
}

func valueDifference(path string, old, new *settings.Node) []string {
	before, after := values(old), values(new)
	var out []string
	for _, key := range sortedUnion(before, after) {
		a, had := before[key]
		b, has := after[key]
		switch {
		case had && !has:
			out = append(out, fmt.Sprintf("- %s %s: %s", path, key, a))
		case !had && has:
			out = append(out, fmt.Sprintf("+ %s %s: %s", path, key, b))
		case a != b:
			out = append(out, fmt.Sprintf("~ %s %s: %s -> %s", path, key, a, b))
		}
	}
	return out
}

func values(n *settings.Node) map[string]string {
	out := make(map[string]string)
	if n != nil {
		for _, s := range n.Settings() {
			out[s.Key] = s.Value.String()
		}
	}
	return out
}

func sortedUnion(a, b map[string]string) []string {
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

// Result returns the first result of a change.
func (m *Member) Result(r *controlv1.ResultRequest) (*controlv1.ChangeResponse, error) {
	term, ok := m.lease()
	if !ok {
		a, err := m.redirect()
		return &controlv1.ChangeResponse{LeaderAddress: a}, err
	}
	m.mu.RLock()
	result := m.state.ResultByID(r.GetChangeId())
	m.mu.RUnlock()
	if !m.held(term) {
		return nil, errNoLeader()
	}
	if result == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("no change with this ID was applied"))
	}
	return &controlv1.ChangeResponse{Result: result}, nil
}

// Settings returns the present settings.
func (m *Member) Settings() (*controlv1.SettingsResponse, error) {
	term, ok := m.lease()
	if !ok {
		a, err := m.redirect()
		return &controlv1.SettingsResponse{LeaderAddress: a}, err
	}
	snapshot := m.derive().export()
	if !m.held(term) {
		return nil, errNoLeader()
	}
	return &controlv1.SettingsResponse{Settings: snapshot}, nil
}
