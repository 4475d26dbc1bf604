package cli

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/settings"
)

// maxChangeBytes bounds --change-bytes, and a change that must exceed --change-bytes to be
// valid. The servers refuse changes above 16 MiB.
const maxChangeBytes = 15 << 20

// splitNotice tells the operator that a difference of n changes is not atomic.
func splitNotice(n int) string {
	return fmt.Sprintf("the difference is split into %d changes, not one atomic change: each is accepted or refused by itself and comes into force by itself", n)
}

// splitOperations divides operations into parts of at most limit bytes, with all
// operations on one node in the same part. The settings must be valid after each part. If
// they are not, the part is extended by about limit/8 bytes at a time until they are, up
// to maxChangeBytes.
func splitOperations(tree *settings.Tree, ops []*controlv1.Operation, limit int) ([][]*controlv1.Operation, error) {
	var parts [][]*controlv1.Operation
	for len(ops) > 0 {
		n, size := countFitting(ops, limit)
		next, err := tree.Apply(ops[:n])
		for err != nil && n < len(ops) && size < maxChangeBytes {
			added, addedBytes := countFitting(ops[n:], limit/8)
			n, size = n+added, size+addedBytes
			next, err = tree.Apply(ops[:n])
		}
		if err != nil {
			return nil, fmt.Errorf("the difference is too large for one change and cannot be split: its first %d bytes are not valid by themselves: %w", size, err)
		}
		parts = append(parts, ops[:n])
		tree, ops = next, ops[n:]
	}
	return parts, nil
}

// countFitting returns how many of the first operations fit into limit bytes, and their
// size. It counts all operations on a node or none. The first node always counts, even if
// its operations exceed the limit.
func countFitting(ops []*controlv1.Operation, limit int) (n, size int) {
	for n < len(ops) {
		end, nodeBytes := n, 0
		for end < len(ops) && ops[end].GetPath() == ops[n].GetPath() {
			nodeBytes += proto.Size(ops[end]) + 4 // tag and length of the list element
			end++
		}
		if n > 0 && size+nodeBytes > limit {
			break
		}
		n, size = end, size+nodeBytes
	}
	return n, size
}

// sendSplit sends the parts one after the other. Each change ID contains the base version.
// A second run with the same --change-id therefore repeats a part whose response was lost
// under the same ID, and sends later parts under other IDs.
func (c *applyCmd) sendSplit(s *session, parts [][]*controlv1.Operation, out applyOutput) error {
	w := &inForceWaiter{session: s, missingSince: make(map[string]time.Time)}
	if c.Wait {
		w.recordLiveEntries()
	}
	s.progressf("%s; if the command ends early, run it again to send the rest\n", splitNotice(len(parts)))
	for i, ops := range parts {
		change := c.change(s, ops, out.Version)
		if out.ChangeID == "" {
			out.ChangeID = change.ChangeId
		}
		change.ChangeId = fmt.Sprintf("%s-v%d", out.ChangeID, out.Version)
		result, err := c.submit(s, change)
		if err == nil && result.GetOutcome() == controlv1.ChangeResult_CONFLICT {
			err = exitErrorf(CodeConflict, "conflict: the settings are at version %d, the change is based on version %d", result.GetVersion(), out.Version)
		}
		switch {
		case err != nil && i == 0:
			return err
		case err != nil:
			return exitErrorf(CodePartiallyApplied, "%d of %d changes were accepted, up to version %d; run apply again to send the rest: %w", i, len(parts), out.Version, err)
		}
		out.Version = result.GetVersion()
		out.Changes = append(out.Changes, change.ChangeId)
		s.progressf("change %d of %d accepted: version %d\n", i+1, len(parts), out.Version)
	}
	out.Outcome = "accepted"
	return c.reportAccepted(s, out, w)
}
