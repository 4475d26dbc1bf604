package settings

import (
	"slices"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// Export returns the tree with its nodes by path. The version is left at 0 for
// the caller to set. A root without values is left out.
func (t *Tree) Export() *controlv1.Settings {
	out := &controlv1.Settings{Nodes: make([]*controlv1.Node, 0, t.Len())}
	for path, n := range t.nodes.from("") {
		if path == Root && len(n.settings) == 0 {
			continue
		}
		p := &controlv1.Node{Path: path, Kind: string(n.kind)}
		if len(n.settings) > 0 {
			p.Values = make(map[string]string, len(n.settings))
		}
		for _, s := range n.settings {
			p.Values[s.Key] = s.Value.text
		}
		out.Nodes = append(out.Nodes, p)
	}
	return out
}

// FromProto returns the tree that Export wrote. Like Replay it keeps kinds, keys
// and values that this version does not know, so that a snapshot of a later
// version can be restored; Validate names them. It refuses only what no version
// writes: a malformed path, a node without a kind or a node listed twice.
func FromProto(s *controlv1.Settings) (*Tree, error) {
	nodes := make([]*Node, 0, len(s.GetNodes())+1)
	hasRoot := false
	for _, p := range s.GetNodes() {
		n, err := nodeFromProto(p)
		if err != nil {
			return nil, err
		}
		hasRoot = hasRoot || n.path == Root
		nodes = append(nodes, n)
	}
	if !hasRoot {
		nodes = append(nodes, rootNode)
	}
	slices.SortFunc(nodes, func(a, b *Node) int { return compare(a.path, b.path) })
	for i := 1; i < len(nodes); i++ {
		if nodes[i].path == nodes[i-1].path {
			return nil, ErrMalformed.New("node %s is listed twice", nodes[i].path)
		}
	}
	return build(nodes), nil
}

func nodeFromProto(p *controlv1.Node) (*Node, error) {
	if err := CheckPath(p.GetPath()); err != nil {
		return nil, err
	}
	kind := Kind(p.GetKind())
	if kind == "" || p.GetPath() == Root && kind != Group {
		return nil, ErrMalformed.New("node %s has the kind %q", p.GetPath(), p.GetKind())
	}
	n := &Node{path: p.GetPath(), kind: kind}
	if len(p.GetValues()) > 0 {
		n.settings = make([]Setting, 0, len(p.GetValues()))
	}
	for key, text := range p.GetValues() {
		if k, ok := registry[key]; ok {
			key = k.Name // shares one string among all nodes
		}
		v, _ := parseSetting(key, text)
		n.settings = append(n.settings, Setting{key, v})
	}
	slices.SortFunc(n.settings, func(a, b Setting) int { return compare(a.Key, b.Key) })
	return n, nil
}

// build returns the tree of nodes that are sorted by path.
func build(nodes []*Node) *Tree {
	paths := make([]entry, 0, len(nodes))
	for _, n := range nodes {
		paths = append(paths, entry{n.path, n})
	}
	t := &Tree{nodes: fromSorted(paths)}
	names := make([]entry, 0, len(nodes)*2)
	for _, n := range nodes {
		for _, name := range t.entries(n, t.nodes) {
			names = append(names, entry{name, n})
		}
	}
	slices.SortFunc(names, func(a, b entry) int { return compare(a.key, b.key) })
	t.names = fromSorted(names)
	return t
}

type entry struct {
	key  string
	node *Node
}

// fromSorted builds the map of sorted entries in linear time: stack holds the
// right edge of the treap that was built so far.
func fromSorted(entries []entry) pmap[*Node] {
	slab := make([]pnode[*Node], len(entries))
	var stack []*pnode[*Node]
	for i, e := range entries {
		n := &slab[i]
		*n = pnode[*Node]{key: e.key, value: e.node, priority: priorityOf(e.key)}
		for len(stack) > 0 && stack[len(stack)-1].priority < n.priority {
			n.left = stack[len(stack)-1]
			stack = stack[:len(stack)-1]
		}
		if len(stack) > 0 {
			stack[len(stack)-1].right = n
		}
		stack = append(stack, n)
	}
	if len(stack) == 0 {
		return pmap[*Node]{}
	}
	return pmap[*Node]{root: stack[0], size: len(entries)}
}
