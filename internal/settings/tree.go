package settings

import (
	"iter"
	"slices"
	"strings"
)

// Setting is a key and the value to which a node sets it.
type Setting struct {
	Key   string
	Value Value
}

// Node is one node of a tree. It is immutable.
type Node struct {
	path     string
	kind     Kind
	settings []Setting // sorted by key
}

// Path returns the path of the node.
func (n *Node) Path() string { return n.path }

// Name returns the last segment of the path.
func (n *Node) Name() string { return nameOf(n.path) }

// Kind returns the kind of the node.
func (n *Node) Kind() Kind { return n.kind }

// Settings returns the values that are set on the node itself, sorted by key.
func (n *Node) Settings() []Setting { return slices.Clone(n.settings) }

// settingIndex returns the index of the key in n.settings, or the index at which
// to insert the key and false.
func (n *Node) settingIndex(key string) (int, bool) {
	return slices.BinarySearchFunc(n.settings, key, func(s Setting, k string) int { return strings.Compare(s.Key, k) })
}

// get returns the value that is set on the node itself. It returns false if the
// key is not set, or if the value has no type because this version does not know
// the key or cannot parse the value.
func (n *Node) get(key string) (Value, bool) {
	i, ok := n.settingIndex(key)
	if !ok || n.settings[i].Value.typ == 0 {
		return Value{}, false
	}
	return n.settings[i].Value, true
}

func (n *Node) withSetting(key string, v Value) *Node {
	c := *n
	i, ok := n.settingIndex(key)
	if ok {
		c.settings = slices.Clone(n.settings)
		c.settings[i].Value = v
		return &c
	}
	c.settings = slices.Insert(slices.Clone(n.settings), i, Setting{key, v})
	return &c
}

func (n *Node) withoutSetting(key string) *Node {
	i, ok := n.settingIndex(key)
	if !ok {
		return n
	}
	c := *n
	c.settings = slices.Delete(slices.Clone(n.settings), i, i+1)
	return &c
}

// Tree is an immutable tree of settings.
type Tree struct {
	nodes persistentMap[*Node]
	// bytes is the size of all nodes; see Node.size.
	bytes int
	// nameIndex maps index keys to nodes, see indexPrefix.
	nameIndex persistentMap[*Node]
}

// Prefixes of the keys of Tree.nameIndex, one for each purpose of a look-up.
const (
	indexService  = "s" // service, by name
	indexCustomer = "c" // customer, by name
	indexClass    = "l" // class of a service, by name
	indexOverride = "o" // class of a customer, by name
	indexKeyHash  = "k" // customer, by salted digest of a key hash
)

// indexPrefix returns the prefix of the index keys for a name: the prefix, the name
// and a zero byte. The path of the node follows, so that the index can hold two
// nodes with the same name until validation refuses them.
func indexPrefix(prefix, name string) string { return prefix + name + "\x00" }

var rootNode = &Node{path: Root, kind: Group}

// New returns a tree that contains only the root.
func New() *Tree {
	return &Tree{nodes: persistentMap[*Node]{}.put(Root, rootNode), bytes: rootNode.size()}
}

// Bytes returns the size of all paths, keys and values.
func (t *Tree) Bytes() int { return t.bytes }

// size returns the size of the path, the keys and the values of n, 0 if n is nil.
func (n *Node) size() int {
	if n == nil {
		return 0
	}
	total := len(n.path) + len(n.kind)
	for _, s := range n.settings {
		total += len(s.Key) + len(s.Value.text)
	}
	return total
}

// Len returns the number of nodes, including the root.
func (t *Tree) Len() int { return t.nodes.size }

// Node returns the node with the given path.
func (t *Tree) Node(path string) (*Node, bool) { return t.nodes.get(path) }

// Nodes iterates over all nodes in the order of their paths.
func (t *Tree) Nodes(yield func(*Node) bool) {
	for _, n := range t.nodes.from("") {
		if !yield(n) {
			return
		}
	}
}

// firstIndexed returns the first node by path that the index holds under the
// prefix and name.
func (t *Tree) firstIndexed(prefix, name string) (*Node, bool) {
	for _, n := range t.nameIndex.withPrefix(indexPrefix(prefix, name)) {
		return n, true
	}
	return nil, false
}

// indexKeys returns the keys of n in Tree.nameIndex. They depend on the kind of the
// parent of n in nodes.
func (t *Tree) indexKeys(n *Node, nodes persistentMap[*Node]) []string {
	var out []string
	add := func(prefix, name string) { out = append(out, indexPrefix(prefix, name)+n.path) }
	switch n.kind {
	case Service:
		add(indexService, n.Name())
	case Customer:
		add(indexCustomer, n.Name())
		if v, ok := n.get(KeyHashes); ok {
			for _, h := range v.List() {
				add(indexKeyHash, saltedDigestOfHex(h))
			}
		}
	case Class:
		if p, ok := nodes.get(parentOf(n.path)); ok && p.kind == Customer {
			add(indexOverride, n.Name())
		} else if ok && p.kind == Service {
			add(indexClass, n.Name())
		}
	}
	return out
}

// isOverride reports whether n is a class below a customer.
func (t *Tree) isOverride(n *Node) bool {
	if n.kind != Class {
		return false
	}
	p, ok := t.nodes.get(parentOf(n.path))
	return ok && p.kind == Customer
}

// classesOf iterates over the classes directly below n. It skips other nodes,
// which a tree that was not validated may contain there.
func (t *Tree) classesOf(n *Node) iter.Seq[*Node] {
	return func(yield func(*Node) bool) {
		for path, c := range t.nodes.withPrefix(descendantPrefix(n.path)) {
			if c.kind == Class && parentOf(path) == n.path && !yield(c) {
				return
			}
		}
	}
}

// chain returns the nodes in which a look-up at n searches for a value, in order.
// If n is a class of a customer, class is the class of the service that the look-up
// is for, and the chain is n, class and the nodes above class. Otherwise class is
// nil, and the chain is n and the nodes above n.
func (t *Tree) chain(n, class *Node) []*Node {
	out := make([]*Node, 0, maxDepth+1)
	if class != nil {
		out = append(out, n)
		n = class
	}
	for {
		out = append(out, n)
		if n.path == Root {
			return out
		}
		parent, ok := t.nodes.get(parentOf(n.path))
		if !ok {
			return out
		}
		n = parent
	}
}

// OriginDefault is the origin of a value that is the default of its key.
const OriginDefault = "default"

// resolve returns the effective value of a key and its origin: the value of the
// first node in the chain that sets the key, or the default.
func resolve(chain []*Node, k *Key) (v Value, origin string, ok bool) {
	for _, n := range chain {
		if v, ok := n.get(k.Name); ok {
			return v, n.path, true
		}
	}
	if k.HasDefault {
		return k.def, OriginDefault, true
	}
	return Value{}, "", false
}

// Lookup returns the effective value of a key at a node and the path of the
// node that sets it, or OriginDefault. It returns false if the node or key is
// unknown or the key has neither a value nor a default. For a class of a customer
// it uses the class with the same name in the first service by path;
// Index.ClassPolicy and Explain distinguish between services.
func (t *Tree) Lookup(path, key string) (value Value, origin string, ok bool) {
	k, known := registry[key]
	n, exists := t.nodes.get(path)
	if !known || !exists {
		return Value{}, "", false
	}
	var class *Node
	if t.isOverride(n) {
		class, _ = t.firstIndexed(indexClass, n.Name())
	}
	return resolve(t.chain(n, class), k)
}

// Effective is the effective value of a key at a node.
type Effective struct {
	Key   string
	Value Value
	// Origin is the path of the node that sets the value, or OriginDefault.
	Origin string
	// Service is set only for a class of a customer, whose values depend on the
	// service that a request is for.
	Service string
}

// Explain returns the effective values of a node, sorted by service and key: those
// of the keys whose scope is the kind of the node, and those that the node or a
// node above it sets.
func (t *Tree) Explain(path string) ([]Effective, error) {
	n, ok := t.nodes.get(path)
	if !ok {
		return nil, ErrUnknownNode.New("%s", path)
	}
	if !t.isOverride(n) {
		return explain(t.chain(n, nil), n.kind, ""), nil
	}
	var out []Effective
	for _, class := range t.nameIndex.withPrefix(indexPrefix(indexClass, n.Name())) {
		out = append(out, explain(t.chain(n, class), Class, nameOf(parentOf(class.path)))...)
	}
	return out, nil
}

func explain(chain []*Node, kind Kind, service string) []Effective {
	var out []Effective
	for _, k := range Keys() {
		v, origin, ok := resolve(chain, k)
		if ok && (origin != OriginDefault || k.Scope == kind) {
			out = append(out, Effective{Key: k.Name, Value: v, Origin: origin, Service: service})
		}
	}
	return out
}
