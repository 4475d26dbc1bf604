package cli

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/settings"
)

// maxChangeBytes bounds a change that has to be larger than --change-bytes to be
// valid. The servers refuse changes from 16 MiB on.
const maxChangeBytes = 15 << 20

func partsNote(n int) string {
	return fmt.Sprintf("this load is %d changes, not one atomic change: each is accepted or refused by itself and comes into force by itself", n)
}

// split cuts operations into parts of at most limit bytes, between nodes. Each
// part leads from the one before to settings that are valid; where a cut does
// not, the part grows until it does.
func split(tree *settings.Tree, ops []*controlv1.Operation, limit int) ([][]*controlv1.Operation, error) {
	var parts [][]*controlv1.Operation
	for len(ops) > 0 {
		n, size := take(ops, limit)
		next, err := tree.Apply(ops[:n])
		for err != nil && n < len(ops) && size < maxChangeBytes {
			more, bytes := take(ops[n:], limit/8)
			n, size = n+more, size+bytes
			next, err = tree.Apply(ops[:n])
		}
		if err != nil {
			return nil, fmt.Errorf("the load is too large for one change and cannot be split: its first %d bytes are not valid by themselves: %w", size, err)
		}
		parts = append(parts, ops[:n])
		tree, ops = next, ops[n:]
	}
	return parts, nil
}

// take returns how many operations fit into limit, and their size. Operations
// on one node stay together; there is always at least one node.
func take(ops []*controlv1.Operation, limit int) (n, size int) {
	for n < len(ops) {
		end, bytes := n, 0
		for end < len(ops) && ops[end].GetPath() == ops[n].GetPath() {
			bytes += proto.Size(ops[end]) + 4 // tag and length of the element
			end++
		}
		if n > 0 && size+bytes > limit {
			break
		}
		n, size = end, size+bytes
	}
	return n, size
}

// sendParts sends several changes in turn. The base version is a part of each
// change id, so that a second run under the same --change-id repeats a part
// whose answer was lost, and names later ones differently.
func (c *applyCmd) sendParts(s *session, parts [][]*controlv1.Operation, out applyOutput) error {
	w := &waiter{session: s, absent: make(map[string]time.Time)}
	if c.Wait {
		w.learn()
	}
	s.notef("%s; if the command ends early, run it again to send the rest\n", partsNote(len(parts)))
	for i, ops := range parts {
		change := c.change(s, ops, out.Version)
		if out.ChangeID == "" {
			out.ChangeID = change.ChangeId
		}
		change.ChangeId = fmt.Sprintf("%s-v%d", out.ChangeID, out.Version)
		result, err := c.submit(s, change)
		if err == nil && result.GetOutcome() == controlv1.ChangeResult_CONFLICT {
			err = exit(CodeConflict, "conflict: the settings are at version %d, the change was made from %d", result.GetVersion(), out.Version)
		}
		switch {
		case err != nil && i == 0:
			return err
		case err != nil:
			return exit(CodeIncomplete, "%d of %d changes were accepted, up to version %d; run apply again to send the rest: %w", i, len(parts), out.Version, err)
		}
		out.Version = result.GetVersion()
		out.Changes = append(out.Changes, change.ChangeId)
		s.notef("change %d of %d accepted: version %d\n", i+1, len(parts), out.Version)
	}
	out.Outcome = "accepted"
	return c.accepted(s, out, w)
}
