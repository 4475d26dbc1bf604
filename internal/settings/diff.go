package settings

import (
	"errors"
	"fmt"
	"slices"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// Diff returns the operations that change t to match the declarations. Without
// prune it leaves nodes and values that are not declared as they are. With prune
// it removes them, so that the result equals the declarations.
//
// The operations are in a deterministic order: first the declared nodes and
// their values by path, then the values that prune removes from an undeclared
// root, then the removed nodes in descending order of path, so that a node is
// removed after the nodes below it.
func Diff(t *Tree, d Declarations, prune bool) []*controlv1.Operation {
	var ops, removed []*controlv1.Operation
	declared := make(map[string]bool, len(d.Nodes))
	for i := range d.Nodes {
		n := &d.Nodes[i]
		declared[n.Path] = true
		if n.Remove {
			if _, ok := t.nodes.get(n.Path); ok {
				removed = append(removed, removeOp(n.Path))
			}
			continue
		}
		ops = append(ops, diffNode(t, n, prune)...)
	}
	if prune {
		for path, n := range t.nodes.from("") {
			switch {
			case declared[path]:
			case path == Root:
				ops = append(ops, diffNode(t, &Declaration{Path: Root, Kind: n.kind}, true)...)
			default:
				removed = append(removed, removeOp(path))
			}
		}
	}
	slices.SortFunc(removed, func(a, b *controlv1.Operation) int { return compare(b.Path, a.Path) })
	return append(ops, removed...)
}

func removeOp(path string) *controlv1.Operation {
	return &controlv1.Operation{Kind: controlv1.Operation_NODE_REMOVE, Path: path}
}

func diffNode(t *Tree, d *Declaration, prune bool) []*controlv1.Operation {
	var ops []*controlv1.Operation
	n, ok := t.nodes.get(d.Path)
	if !ok {
		n = &Node{}
	}
	if n.kind != d.Kind {
		ops = append(ops, &controlv1.Operation{Kind: controlv1.Operation_NODE_PUT, Path: d.Path, NodeKind: string(d.Kind)})
	}
	declared := make(map[string]bool, len(d.Set))
	for _, a := range d.Set {
		i, set := n.settingIndex(a.Key)
		switch {
		case a.Null:
			if set {
				ops = append(ops, unsetOp(d.Path, a.Key))
			}
		case !set || n.settings[i].Value.text != a.Value.text:
			ops = append(ops, &controlv1.Operation{Kind: controlv1.Operation_KEY_SET, Path: d.Path, Key: a.Key, Value: a.Value.text})
		}
		declared[a.Key] = true
	}
	if prune {
		for _, s := range n.settings {
			if !declared[s.Key] {
				ops = append(ops, unsetOp(d.Path, s.Key))
			}
		}
	}
	return ops
}

func unsetOp(path, key string) *controlv1.Operation {
	return &controlv1.Operation{Kind: controlv1.Operation_KEY_UNSET, Path: path, Key: key}
}

// Describe returns one line for each operation, with the old value where the
// operation changes one. t is the tree before the operations.
func Describe(t *Tree, ops []*controlv1.Operation) []string {
	lines := make([]string, 0, len(ops))
	for _, op := range ops {
		lines = append(lines, describe(t, op))
	}
	return lines
}

func describe(t *Tree, op *controlv1.Operation) string {
	n, _ := t.nodes.get(op.GetPath())
	old := "unset"
	if n != nil {
		if i, ok := n.settingIndex(op.GetKey()); ok {
			old = n.settings[i].Value.text
		}
	}
	switch op.GetKind() {
	case controlv1.Operation_NODE_PUT:
		if n != nil {
			return fmt.Sprintf("~ %s kind: %s -> %s", op.GetPath(), n.kind, op.GetNodeKind())
		}
		return fmt.Sprintf("+ %s (%s)", op.GetPath(), op.GetNodeKind())
	case controlv1.Operation_NODE_REMOVE:
		return "- " + op.GetPath()
	case controlv1.Operation_KEY_SET:
		return fmt.Sprintf("~ %s %s: %s -> %s", op.GetPath(), op.GetKey(), old, op.GetValue())
	default:
		return fmt.Sprintf("~ %s %s: %s -> unset", op.GetPath(), op.GetKey(), old)
	}
}

// Locate adds a position to an *InvalidError: it returns a *DeclarationError with
// the position of the declaration that caused the first problem. It returns err
// unchanged if err is not an *InvalidError or no declaration matches.
func (d Declarations) Locate(err error) error {
	var e *InvalidError
	if !errors.As(err, &e) || len(e.Problems) == 0 {
		return err
	}
	pos, ok := d.position(e.Problems[0])
	if !ok {
		return err
	}
	return &DeclarationError{pos, e.Error()}
}

// position returns where the key of the problem is set or, if the key is not
// declared, where the node is declared.
func (d Declarations) position(p Problem) (Position, bool) {
	i, ok := slices.BinarySearchFunc(d.Nodes, p.Path, func(n Declaration, path string) int { return compare(n.Path, path) })
	if !ok {
		return Position{}, false
	}
	for _, a := range d.Nodes[i].Set {
		if a.Key == p.Key {
			return a.Position, true
		}
	}
	return d.Nodes[i].Position, true
}
