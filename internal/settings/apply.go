package settings

import (
	"slices"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// edit collects the nodes that a list of operations changes.
type edit struct {
	tree   *Tree
	staged map[string]*Node // nil for a removed node
	// keepUnknown keeps node kinds, keys and values that this version does not
	// know, instead of reporting them as problems.
	keepUnknown bool
	problems    []Problem
}

// Apply returns the tree after the operations, or an *InvalidError if an
// operation cannot be applied or the resulting tree breaks a rule. The outcome
// depends only on the tree and the operations, so it is the same on every member.
//
// NODE_PUT creates a node or changes its kind. NODE_REMOVE removes one node and
// is refused if nodes below it remain after all operations. Removing a node or
// key that does not exist changes nothing, which makes a repeated change harmless.
func (t *Tree) Apply(ops []*controlv1.Operation) (*Tree, error) {
	e := &edit{tree: t, staged: make(map[string]*Node, len(ops))}
	for _, op := range ops {
		e.applyOperation(op)
	}
	if err := problemsError(e.problems); err != nil {
		return nil, err
	}
	next, changes := e.commit()
	if err := next.checkChanges(changes); err != nil {
		return nil, err
	}
	return next, nil
}

// Replay returns the tree after operations that were accepted earlier, without
// validating the result. A later version may have accepted node kinds, keys and
// values that this version does not know: they are kept as text, and unknown
// kinds of operations are ignored, so that members that run different versions
// hold the same settings.
func (t *Tree) Replay(ops []*controlv1.Operation) *Tree {
	e := &edit{tree: t, staged: make(map[string]*Node, len(ops)), keepUnknown: true}
	for _, op := range ops {
		e.applyOperation(op)
	}
	next, _ := e.commit()
	return next
}

// currentNode returns the node with the operations so far applied, or nil if it
// does not exist.
func (e *edit) currentNode(path string) *Node {
	if n, ok := e.staged[path]; ok {
		return n
	}
	n, _ := e.tree.nodes.get(path)
	return n
}

func (e *edit) addProblem(op *controlv1.Operation, message string) {
	e.problems = append(e.problems, Problem{Path: op.GetPath(), Key: op.GetKey(), Message: message})
}

func (e *edit) applyOperation(op *controlv1.Operation) {
	if err := CheckPath(op.GetPath()); err != nil {
		e.addProblem(op, err.Error())
		return
	}
	switch op.GetKind() {
	case controlv1.Operation_NODE_PUT:
		e.putNode(op)
	case controlv1.Operation_NODE_REMOVE:
		e.removeNode(op)
	case controlv1.Operation_KEY_SET:
		e.setKey(op)
	case controlv1.Operation_KEY_UNSET:
		if n := e.currentNode(op.GetPath()); n != nil {
			e.staged[n.path] = n.withoutSetting(op.GetKey())
		}
	default:
		e.addProblem(op, "the kind of the operation is unknown")
	}
}

func (e *edit) putNode(op *controlv1.Operation) {
	kind := Kind(op.GetNodeKind())
	if !kind.valid() && (!e.keepUnknown || kind == "") {
		e.addProblem(op, "kind "+op.GetNodeKind()+" is not one of "+kindNames()+suggestion(string(kind), kindList()))
		return
	}
	if op.GetPath() == Root && kind != Group {
		e.addProblem(op, "the root is a group")
		return
	}
	n := e.currentNode(op.GetPath())
	switch {
	case n == nil:
		n = &Node{path: op.GetPath(), kind: kind}
	case n.kind != kind:
		n = &Node{path: n.path, kind: kind, settings: n.settings}
	}
	e.staged[n.path] = n
}

func (e *edit) removeNode(op *controlv1.Operation) {
	if op.GetPath() == Root {
		e.addProblem(op, "the root cannot be removed")
		return
	}
	if e.currentNode(op.GetPath()) != nil {
		e.staged[op.GetPath()] = nil
	}
}

func (e *edit) setKey(op *controlv1.Operation) {
	n := e.currentNode(op.GetPath())
	if n == nil {
		e.addProblem(op, "there is no such node")
		return
	}
	v, err := parseSetting(op.GetKey(), op.GetValue())
	if err != nil && !e.keepUnknown {
		e.addProblem(op, err.Error())
		return
	}
	e.staged[n.path] = n.withSetting(op.GetKey(), v)
}

// parseSetting parses the value of a key. If the key is unknown or the text is
// invalid, it returns an error and the text as a value without a type, which
// look-ups treat as absent.
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

// change is a node before and after a list of operations. before is nil for
// a created node, after for a removed node.
type change struct {
	path          string
	before, after *Node
}

// commit returns the new tree and the changed nodes, sorted by path.
func (e *edit) commit() (*Tree, []change) {
	old := e.tree
	next := &Tree{nodes: old.nodes, bytes: old.bytes, nameIndex: old.nameIndex}
	changes := make([]change, 0, len(e.staged))
	for path, n := range e.staged {
		before, _ := old.nodes.get(path)
		if before == n {
			continue
		}
		changes = append(changes, change{path, before, n})
	}
	slices.SortFunc(changes, func(a, b change) int { return compare(a.path, b.path) })
	for _, c := range changes {
		next.bytes += c.after.size() - c.before.size()
		if c.after == nil {
			next.nodes = next.nodes.remove(c.path)
		} else {
			next.nodes = next.nodes.put(c.path, c.after)
		}
	}
	next.updateIndex(old, changes)
	return next, changes
}

// updateIndex updates t.nameIndex after the nodes of t have changed from old.
func (t *Tree) updateIndex(old *Tree, changes []change) {
	affected := make(map[string]bool, len(changes))
	for _, c := range changes {
		affected[c.path] = true
		// The index key of a class depends on the kind of its parent.
		if kindOf(c.before) != kindOf(c.after) {
			for path := range t.nodes.withPrefix(descendantPrefix(c.path)) {
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
			for _, key := range old.indexKeys(n, old.nodes) {
				t.nameIndex = t.nameIndex.remove(key)
			}
		}
	}
	for _, path := range paths {
		if n, ok := t.nodes.get(path); ok {
			for _, key := range t.indexKeys(n, t.nodes) {
				t.nameIndex = t.nameIndex.put(key, n)
			}
		}
	}
}

// kindOf returns the kind of n, or "" if n is nil.
func kindOf(n *Node) Kind {
	if n == nil {
		return ""
	}
	return n.kind
}
