package settings

import (
	"errors"
	"fmt"
	"slices"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// Diff returns the operations that bring t to what is declared. Without prune
// it touches only what is declared; with prune it also removes every node and
// value that is not, so that the result equals the declarations.
//
// The operations are in a stable order: nodes and values by path, then the
// removed nodes, deepest first.
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
	kept := make(map[string]bool, len(d.Set))
	for _, a := range d.Set {
		i, set := n.find(a.Key)
		switch {
		case a.Null:
			if set {
				ops = append(ops, unsetOp(d.Path, a.Key))
			}
		case !set || n.settings[i].Value.text != a.Value.text:
			ops = append(ops, &controlv1.Operation{Kind: controlv1.Operation_KEY_SET, Path: d.Path, Key: a.Key, Value: a.Value.text})
		}
		kept[a.Key] = true
	}
	if prune {
		for _, s := range n.settings {
			if !kept[s.Key] {
				ops = append(ops, unsetOp(d.Path, s.Key))
			}
		}
	}
	return ops
}

func unsetOp(path, key string) *controlv1.Operation {
	return &controlv1.Operation{Kind: controlv1.Operation_KEY_UNSET, Path: path, Key: key}
}

// Describe returns one line for each operation, with the value it replaces.
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
		if i, ok := n.find(op.GetKey()); ok {
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

// Locate returns the error with the position of the first declaration that its
// first problem is about. Any other error is returned as it is.
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
