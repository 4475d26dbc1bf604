package settings

import (
	"slices"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// Export returns the tree as a protobuf message with the nodes sorted by path. It
// leaves the version at 0 for the caller to set, and omits a root without values.
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

// FromProto returns the tree of a message that Export made. Like Replay it keeps
// node kinds, keys and values that this version does not know, so that a snapshot
// of a later version can be restored; Validate reports them. It returns an error
// only for what no version writes: a malformed path, a node without a kind, a
// root that is not a group, or a node listed twice.
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
	return buildTree(nodes), nil
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
			key = k.Name // Saves memory: all nodes share one string for each key.
		}
		v, _ := parseSetting(key, text)
		n.settings = append(n.settings, Setting{key, v})
	}
	slices.SortFunc(n.settings, func(a, b Setting) int { return compare(a.Key, b.Key) })
	return n, nil
}

// buildTree returns the tree of the nodes, which must be sorted by path.
func buildTree(nodes []*Node) *Tree {
	byPath := make([]keyedNode, 0, len(nodes))
	bytes := 0
	for _, n := range nodes {
		byPath = append(byPath, keyedNode{n.path, n})
		bytes += n.size()
	}
	t := &Tree{nodes: mapFromSorted(byPath), bytes: bytes}
	nameIndex := make([]keyedNode, 0, len(nodes)*2)
	for _, n := range nodes {
		for _, indexKey := range t.indexKeys(n, t.nodes) {
			nameIndex = append(nameIndex, keyedNode{indexKey, n})
		}
	}
	slices.SortFunc(nameIndex, func(a, b keyedNode) int { return compare(a.key, b.key) })
	t.nameIndex = mapFromSorted(nameIndex)
	return t
}

// keyedNode is a node with its key in Tree.nodes or Tree.nameIndex.
type keyedNode struct {
	key  string
	node *Node
}

// mapFromSorted returns the map of the items, which must be sorted by key. It
// takes linear time: rightSpine holds the path from the root of the treap built
// so far to its greatest key.
func mapFromSorted(items []keyedNode) persistentMap[*Node] {
	treapNodes := make([]treapNode[*Node], len(items))
	var rightSpine []*treapNode[*Node]
	for i, item := range items {
		n := &treapNodes[i]
		*n = treapNode[*Node]{key: item.key, value: item.node, priority: priorityOf(item.key)}
		for len(rightSpine) > 0 && rightSpine[len(rightSpine)-1].priority < n.priority {
			n.left = rightSpine[len(rightSpine)-1]
			rightSpine = rightSpine[:len(rightSpine)-1]
		}
		if len(rightSpine) > 0 {
			rightSpine[len(rightSpine)-1].right = n
		}
		rightSpine = append(rightSpine, n)
	}
	if len(rightSpine) == 0 {
		return persistentMap[*Node]{}
	}
	return persistentMap[*Node]{root: rightSpine[0], size: len(items)}
}
