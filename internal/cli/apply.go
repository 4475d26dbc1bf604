package cli

import (
	"strings"
	"time"

	"connectrpc.com/connect"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/controlv1/controlv1connect"
	"auburnstep.example/auburnstep/internal/settings"
)

type applyCmd struct {
	File     []string `short:"f" required:"" sep:"none" placeholder:"FILE|DIR" help:"File or directory of declarations. May be repeated."`
	DryRun   bool     `help:"Show what would change, without changing it."`
	Prune    bool     `help:"Remove all that is not declared, so that the tree equals the declarations."`
	ChangeID string   `placeholder:"ID" help:"Identity of the change, the same for a resend. Drawn at random by default."`
	Actor    string   `env:"AUBURNSTEP_ACTOR" placeholder:"NAME" help:"Who makes the change. The system user by default."`
	Bytes    int      `name:"change-bytes" default:"4194304" placeholder:"N" help:"Size of the largest change. A larger difference is sent as several changes, which are not one atomic change. Default: 4194304."`
	Wait     bool     `default:"true" negatable:"" help:"Wait until every live entry has the new version."`
}

// Help returns the text that --help adds to the usage of the command.
func (applyCmd) Help() string {
	return `The difference between the declarations and the present settings is sent as one change, which is accepted as a whole or not at all. If others changed the settings meanwhile, nothing is changed.

A difference above --change-bytes, such as a first load of tens of thousands of customers, is sent as several changes in turn. Together they are not one atomic change: each is valid by itself, is accepted or refused by itself, and comes into force by itself. If the command ends early, the changes accepted so far stay in force, and running it again sends the rest.

The id of each change is printed before the change is sent, with -o json on stderr, so that auburnctl result can ask for it after an interruption.

Examples:

  auburnctl apply -f examples/cerapulita --dry-run
  auburnctl apply -f settings/ --prune --timeout 30s
  auburnctl apply -f limits.yaml --no-wait -o json`
}

// applyOutput is the JSON output of the apply and result commands.
type applyOutput struct {
	ChangeID string `json:"change_id,omitempty"`
	// Changes lists the IDs of the accepted changes if the difference was split.
	Changes    []string         `json:"changes,omitempty"`
	Outcome    string           `json:"outcome"`
	Version    uint64           `json:"version"`
	Diff       []string         `json:"diff"`
	Conflicts  []conflictOutput `json:"conflicts,omitempty"`
	WaitingFor []string         `json:"waiting_for,omitempty"`
}

type conflictOutput struct {
	ChangeID string   `json:"change_id"`
	Version  uint64   `json:"version"`
	Actor    string   `json:"actor"`
	Touched  []string `json:"touched"`
}

// Run applies the declarations.
func (c *applyCmd) Run(s *session) error {
	if c.Bytes <= 0 || c.Bytes > maxChangeBytes {
		return exitErrorf(CodeUsage, "--change-bytes must be from 1 to %d", maxChangeBytes)
	}
	declared, err := settings.Load(c.File...)
	if err != nil {
		return exitErrorf(CodeInvalid, "%w", err)
	}
	version, tree, err := s.tree()
	if err != nil {
		return err
	}
	ops := settings.Diff(tree, declared, c.Prune)
	out := applyOutput{Version: version, Outcome: "unchanged", Diff: settings.Describe(tree, ops)}
	if len(ops) == 0 {
		return c.print(s, out)
	}
	if _, err := tree.Apply(ops); err != nil {
		return exitErrorf(CodeInvalid, "%w", declared.Locate(err))
	}
	parts, err := splitOperations(tree, ops, c.Bytes)
	if err != nil {
		return exitErrorf(CodeInvalid, "%w", err)
	}
	switch {
	case c.DryRun:
		out.Outcome = "dry run"
		return c.dryRun(s, parts, out)
	case len(parts) > 1:
		return c.sendSplit(s, parts, out)
	}
	return c.send(s, ops, out)
}

// change builds a change on top of a settings version, with the ID and the actor of
// the flags or their defaults.
func (c *applyCmd) change(s *session, ops []*controlv1.Operation, base uint64) *controlv1.Change {
	change := &controlv1.Change{ChangeId: c.ChangeID, BaseVersion: base, Actor: c.Actor, Operations: ops, Clock: s.clock.Now().String()}
	if change.ChangeId == "" {
		change.ChangeId = s.NewID()
	}
	if change.Actor == "" {
		change.Actor = s.Actor
	}
	return change
}

// changeRedirect returns the leader's address from a response, and whether the response
// has a result.
func changeRedirect(r *controlv1.ChangeResponse) (string, bool) {
	return r.GetLeaderAddress(), r.GetResult() != nil
}

// dryRun lets the leader validate the difference as well, since the leader may run a
// version of the program with other rules, and prints the difference. If the difference is
// split, the leader validates only the first part, since the others do not start from the
// current settings.
func (c *applyCmd) dryRun(s *session, parts [][]*controlv1.Operation, out applyOutput) error {
	if len(parts) > 1 {
		s.progressf("%s\n", splitNotice(len(parts)))
	}
	req := &controlv1.ChangeRequest{Change: c.change(s, parts[0], out.Version), DryRun: true}
	res, callErr := callLeader(s, controlv1connect.ControlClient.Change, req, changeRedirect)
	if callErr != nil {
		return newReadError(callErr)
	}
	if res.GetResult().GetOutcome() == controlv1.ChangeResult_INVALID {
		return exitErrorf(CodeInvalid, "the leader refuses the change: %s", res.GetResult().GetMessage())
	}
	return c.print(s, out)
}

// send sends the whole difference as one change.
func (c *applyCmd) send(s *session, ops []*controlv1.Operation, out applyOutput) error {
	change := c.change(s, ops, out.Version)
	out.ChangeID = change.ChangeId
	w := &inForceWaiter{session: s, missingSince: make(map[string]time.Time)}
	if c.Wait {
		w.recordLiveEntries()
	}
	result, err := c.submit(s, change)
	if err != nil {
		return err
	}
	base := out.Version
	out.Version = result.GetVersion()
	out.Outcome = strings.ToLower(result.GetOutcome().String())
	switch result.GetOutcome() {
	case controlv1.ChangeResult_ACCEPTED:
		return c.reportAccepted(s, out, w)
	case controlv1.ChangeResult_UNCHANGED:
		return c.print(s, out)
	default:
		out.Conflicts = conflictOutputs(result.GetConflicts())
		if err := c.print(s, out); err != nil {
			return err
		}
		return exitErrorf(CodeConflict, "conflict: the settings are at version %d, the change is based on version %d; nothing was changed, apply again under a new change id",
			out.Version, base)
	}
}

// submit prints the ID of a change, sends the change and returns its result. An INVALID
// result is returned as an error.
func (c *applyCmd) submit(s *session, change *controlv1.Change) (*controlv1.ChangeResult, error) {
	s.progressf("sending change %s\n", change.ChangeId)
	res, callErr := callLeader(s, controlv1connect.ControlClient.Change, &controlv1.ChangeRequest{Change: change}, changeRedirect)
	if callErr != nil {
		return nil, newChangeError(change.ChangeId, callErr)
	}
	if r := res.GetResult(); r.GetOutcome() == controlv1.ChangeResult_INVALID {
		return nil, exitErrorf(CodeInvalid, "the leader refuses the change: %s", r.GetMessage())
	}
	return res.GetResult(), nil
}

// newChangeError adds the exit code to the error of a change that got no result. Text and
// code indicate whether the change may have been applied.
func newChangeError(id string, callErr *callError) error {
	if callErr.mayHaveRun {
		return exitErrorf(CodeOutcomeUnknown, "change %s may have been applied: %w; check with: auburnctl result %s", id, callErr, id)
	}
	switch {
	case callErr.permanent && callErr.code == connect.CodeInvalidArgument:
		return exitErrorf(CodeInvalid, "not applied: %w", callErr)
	case callErr.permanent:
		return exitErrorf(CodeFailure, "not applied: %w", callErr)
	}
	return exitErrorf(CodeUnreachable, "not applied: no server answered; last error: %w", callErr)
}

func conflictOutputs(list []*controlv1.ChangeSummary) []conflictOutput {
	out := make([]conflictOutput, 0, len(list))
	for _, c := range list {
		out = append(out, conflictOutput{c.GetChangeId(), c.GetVersion(), c.GetActor(), c.GetTouched()})
	}
	return out
}

// reportAccepted prints an accepted change and, with --wait, waits until its version is in
// force. If the wait fails, the change is still accepted and is printed as such.
func (c *applyCmd) reportAccepted(s *session, out applyOutput, w *inForceWaiter) error {
	if !s.json() {
		printDiff(s, out.Diff)
		if len(out.Changes) > 0 {
			s.printf("accepted: version %d, %d changes\n", out.Version, len(out.Changes))
		} else {
			s.printf("accepted: version %d, change %s\n", out.Version, out.ChangeID)
		}
	}
	var waitErr error
	if c.Wait {
		out.WaitingFor, waitErr = w.wait(out.Version)
	}
	if s.json() {
		if err := s.printJSON(out); err != nil {
			return err
		}
	} else if c.Wait && waitErr == nil {
		s.printf("in force: version %d at every entry\n", out.Version)
	}
	return waitErr
}

// print prints the outcome of a change that is not waited for: a dry run, an
// unchanged tree or a conflict.
func (c *applyCmd) print(s *session, out applyOutput) error {
	if s.json() {
		return s.printJSON(out)
	}
	printDiff(s, out.Diff)
	for _, conflict := range out.Conflicts {
		s.printf("version %d by %s, change %s:\n", conflict.Version, conflict.Actor, conflict.ChangeID)
		for _, touched := range conflict.Touched {
			s.printf("    %s\n", touched)
		}
	}
	s.printf("%s: version %d\n", out.Outcome, out.Version)
	return nil
}

func printDiff(s *session, diff []string) {
	for _, line := range diff {
		s.printf("%s\n", line)
	}
}
