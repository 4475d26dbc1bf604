package settings

import (
	"slices"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// edit collects the nodes that a list of operations touches.
type edit struct {
	tree   *Tree
	staged map[string]*Node // nil for a removed node
	// lenient keeps what this version does not understand.
	lenient  bool
	problems []Problem
}

// Apply returns the tree after the operations, or an *InvalidError if the
// result breaks a rule. The answer depends only on the tree and the operations,
// so it is the same on every member.
//
// NODE_PUT creates a node or changes its kind; NODE_REMOVE removes one node and
// is refused while nodes below it remain. Removing what is not there changes
// nothing, so that a repeated change is harmless.
func (t *Tree) Apply(ops []*controlv1.Operation) (*Tree, error) {
	e := &edit{tree: t, staged: make(map[string]*Node, len(ops))}
	for _, op := range ops {
		e.apply(op)
	}
	if err := invalid(e.problems); err != nil {
		return nil, err
	}
	next, touched := e.commit()
	if err := next.check(touched); err != nil {
		return nil, err
	}
	return next, nil
}

// Replay returns the tree after operations that were accepted before, without
// validating the result. Operations and values that this version does not
// understand, because a later version accepted them, are kept as text or
// ignored, so that members of two versions hold the same settings.
func (t *Tree) Replay(ops []*controlv1.Operation) *Tree {
	e := &edit{tree: t, staged: make(map[string]*Node, len(ops)), lenient: true}
	for _, op := range ops {
		e.apply(op)
	}
	next, _ := e.commit()
	return next
}

func (e *edit) node(path string) *Node {
	if n, ok := e.staged[path]; ok {
		return n
	}
	n, _ := e.tree.nodes.get(path)
	return n
}

func (e *edit) refuse(op *controlv1.Operation, message string) {
	e.problems = append(e.problems, Problem{Path: op.GetPath(), Key: op.GetKey(), Message: message})
}

func (e *edit) apply(op *controlv1.Operation) {
	if err := CheckPath(op.GetPath()); err != nil {
		e.refuse(op, err.Error())
		return
	}
	switch op.GetKind() {
	case controlv1.Operation_NODE_PUT:
		e.put(op)
	case controlv1.Operation_NODE_REMOVE:
		e.remove(op)
	case controlv1.Operation_KEY_SET:
		e.set(op)
	case controlv1.Operation_KEY_UNSET:
		if n := e.node(op.GetPath()); n != nil {
			e.staged[n.path] = n.without(op.GetKey())
		}
	default:
		e.refuse(op, "the kind of the operation is unknown")
	}
}

func (e *edit) put(op *controlv1.Operation) {
	kind := Kind(op.GetNodeKind())
	if !kind.valid() && (!e.lenient || kind == "") {
		e.refuse(op, "kind "+op.GetNodeKind()+" is not one of "+kindNames()+suggestion(string(kind), kindList()))
		return
	}
	if op.GetPath() == Root && kind != Group {
		e.refuse(op, "the root is a group")
		return
	}
	n := e.node(op.GetPath())
	switch {
	case n == nil:
		n = &Node{path: op.GetPath(), kind: kind}
	case n.kind != kind:
		n = &Node{path: n.path, kind: kind, settings: n.settings}
	}
	e.staged[n.path] = n
}

func (e *edit) remove(op *controlv1.Operation) {
	if op.GetPath() == Root {
		e.refuse(op, "the root cannot be removed")
		return
	}
	if e.node(op.GetPath()) != nil {
		e.staged[op.GetPath()] = nil
	}
}

func (e *edit) set(op *controlv1.Operation) {
	n := e.node(op.GetPath())
	if n == nil {
		e.refuse(op, "there is no such node")
		return
	}
	v, err := parseSetting(op.GetKey(), op.GetValue())
	if err != nil && !e.lenient {
		e.refuse(op, err.Error())
		return
	}
	e.staged[n.path] = n.with(op.GetKey(), v)
}

// parseSetting returns the value of a key. With an error it returns the text as
// a value without a type, which look-ups treat as absent.
func parseSetting(key, text string) (Value, error) {
	k, err := knownKey(key)
	if err != nil {
		return Value{text: text}, err
	}
	v, err := k.Parse(text)
	if err != nil {
		return Value{text: text}, err
	}
	return v, nil
}

// touch is a node before and after a change; either may be nil.
type touch struct {
	path          string
	before, after *Node
}

// commit returns the new tree and the touched nodes by path.
func (e *edit) commit() (*Tree, []touch) {
	old := e.tree
	next := &Tree{nodes: old.nodes, names: old.names}
	touched := make([]touch, 0, len(e.staged))
	for path, n := range e.staged {
		before, _ := old.nodes.get(path)
		if before == n {
			continue
		}
		touched = append(touched, touch{path, before, n})
	}
	slices.SortFunc(touched, func(a, b touch) int { return compare(a.path, b.path) })
	for _, c := range touched {
		if c.after == nil {
			next.nodes = next.nodes.remove(c.path)
		} else {
			next.nodes = next.nodes.put(c.path, c.after)
		}
	}
	next.reindex(old, touched)
	return next, touched
}

// reindex brings the names up to date after the nodes have changed.
func (t *Tree) reindex(old *Tree, touched []touch) {
	affected := make(map[string]bool, len(touched))
	for _, c := range touched {
		affected[c.path] = true
		// The entry of a class depends on the kind of its parent.
		if kindOf(c.before) != kindOf(c.after) {
			for path := range t.nodes.prefixed(below(c.path)) {
				affected[path] = true
			}
		}
	}
	paths := make([]string, 0, len(affected))
	for path := range affected {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	for _, path := range paths {
		if n, ok := old.nodes.get(path); ok {
			for _, entry := range old.entries(n, old.nodes) {
				t.names = t.names.remove(entry)
			}
		}
	}
	for _, path := range paths {
		if n, ok := t.nodes.get(path); ok {
			for _, entry := range t.entries(n, t.nodes) {
				t.names = t.names.put(entry, n)
			}
		}
	}
}

func kindOf(n *Node) Kind {
	if n == nil {
		return ""
	}
	return n.kind
}
