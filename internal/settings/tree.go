package settings

import (
	"iter"
	"slices"
	"strings"
)

// Setting is one value that is set on a node.
type Setting struct {
	Key   string
	Value Value
}

// Node is one node of a tree. It is immutable.
type Node struct {
	path     string
	kind     Kind
	settings []Setting // by key
}

// Path returns the path of the node.
func (n *Node) Path() string { return n.path }

// Name returns the last segment of the path.
func (n *Node) Name() string { return nameOf(n.path) }

// Kind returns the kind of the node.
func (n *Node) Kind() Kind { return n.kind }

// Settings returns the values that are set on the node itself, by key.
func (n *Node) Settings() []Setting { return slices.Clone(n.settings) }

func (n *Node) find(key string) (int, bool) {
	return slices.BinarySearchFunc(n.settings, key, func(s Setting, k string) int { return strings.Compare(s.Key, k) })
}

// get returns the value that is set on the node. A value that this version does
// not know the type of counts as absent.
func (n *Node) get(key string) (Value, bool) {
	i, ok := n.find(key)
	if !ok || n.settings[i].Value.typ == 0 {
		return Value{}, false
	}
	return n.settings[i].Value, true
}

func (n *Node) with(key string, v Value) *Node {
	c := *n
	i, ok := n.find(key)
	if ok {
		c.settings = slices.Clone(n.settings)
		c.settings[i].Value = v
		return &c
	}
	c.settings = slices.Insert(slices.Clone(n.settings), i, Setting{key, v})
	return &c
}

func (n *Node) without(key string) *Node {
	i, ok := n.find(key)
	if !ok {
		return n
	}
	c := *n
	c.settings = slices.Delete(slices.Clone(n.settings), i, i+1)
	return &c
}

// Tree is an immutable tree of settings.
type Tree struct {
	nodes pmap[*Node]
	// names finds nodes by what they are asked for: see the entry constants.
	names pmap[*Node]
}

// Prefixes of the entries of Tree.names. An entry is the prefix, the name, a
// zero byte and the path, so that two nodes with one name can both be held
// until validation refuses them.
const (
	entryService  = "s" // by name
	entryCustomer = "c" // by name
	entryClass    = "l" // class of a service, by name
	entryOverride = "o" // class of a customer, by name
	entryHash     = "k" // customer, by salted digest of a key hash
)

func entryPrefix(prefix, name string) string { return prefix + name + "\x00" }

var rootNode = &Node{path: Root, kind: Group}

// New returns the tree that holds only the root.
func New() *Tree {
	return &Tree{nodes: pmap[*Node]{}.put(Root, rootNode)}
}

// Len returns the number of nodes, with the root.
func (t *Tree) Len() int { return t.nodes.size }

// Node returns the node with the given path.
func (t *Tree) Node(path string) (*Node, bool) { return t.nodes.get(path) }

// Nodes calls yield for every node by path, until it returns false.
func (t *Tree) Nodes(yield func(*Node) bool) {
	for _, n := range t.nodes.from("") {
		if !yield(n) {
			return
		}
	}
}

// named returns the first node with an entry of that kind and name.
func (t *Tree) named(prefix, name string) (*Node, bool) {
	for _, n := range t.names.prefixed(entryPrefix(prefix, name)) {
		return n, true
	}
	return nil, false
}

// entries returns the entries of a node in Tree.names.
func (t *Tree) entries(n *Node, nodes pmap[*Node]) []string {
	var out []string
	add := func(prefix, name string) { out = append(out, entryPrefix(prefix, name)+n.path) }
	switch n.kind {
	case Service:
		add(entryService, n.Name())
	case Customer:
		add(entryCustomer, n.Name())
		if v, ok := n.get(KeyHashes); ok {
			for _, h := range v.List() {
				add(entryHash, digestOfHex(h))
			}
		}
	case Class:
		if p, ok := nodes.get(parentOf(n.path)); ok && p.kind == Customer {
			add(entryOverride, n.Name())
		} else if ok && p.kind == Service {
			add(entryClass, n.Name())
		}
	}
	return out
}

// override reports whether n is a class below a customer.
func (t *Tree) override(n *Node) bool {
	if n.kind != Class {
		return false
	}
	p, ok := t.nodes.get(parentOf(n.path))
	return ok && p.kind == Customer
}

// classesOf calls yield for each class directly below n. A tree that was not
// validated may hold other nodes there.
func (t *Tree) classesOf(n *Node) iter.Seq[*Node] {
	return func(yield func(*Node) bool) {
		for path, c := range t.nodes.prefixed(below(n.path)) {
			if c.kind == Class && parentOf(path) == n.path && !yield(c) {
				return
			}
		}
	}
}

// chain returns the nodes that a look-up at n asks, in order. For an override
// of a customer class is the class node of the service the look-up is for.
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

// OriginDefault is the origin of a value that no node sets.
const OriginDefault = "default"

func find(chain []*Node, k *Key) (v Value, origin string, ok bool) {
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
// node that sets it, or OriginDefault. It returns false for an unknown node or
// key and where the key has neither a value nor a default. The class of a
// customer falls back to the class of that name in the first service by path;
// Index.ClassPolicy and Explain tell services apart.
func (t *Tree) Lookup(path, key string) (value Value, origin string, ok bool) {
	k, known := registry[key]
	n, exists := t.nodes.get(path)
	if !known || !exists {
		return Value{}, "", false
	}
	var class *Node
	if t.override(n) {
		class, _ = t.named(entryClass, n.Name())
	}
	return find(t.chain(n, class), k)
}

// Effective is the value of a key at a node.
type Effective struct {
	Key   string
	Value Value
	// Origin is the path of the node that sets the value, or OriginDefault.
	Origin string
	// Service is set only for a class of a customer, whose values depend on the
	// service that a request is for.
	Service string
}

// Explain returns the effective keys of a node, by service and key: those that
// the system uses at nodes of this kind, and all that the node or one above it
// sets.
func (t *Tree) Explain(path string) ([]Effective, error) {
	n, ok := t.nodes.get(path)
	if !ok {
		return nil, ErrUnknownNode.New("%s", path)
	}
	if !t.override(n) {
		return explain(t.chain(n, nil), n.kind, ""), nil
	}
	var out []Effective
	for _, class := range t.names.prefixed(entryPrefix(entryClass, n.Name())) {
		out = append(out, explain(t.chain(n, class), Class, nameOf(parentOf(class.path)))...)
	}
	return out, nil
}

func explain(chain []*Node, kind Kind, service string) []Effective {
	var out []Effective
	for _, k := range Keys() {
		v, origin, ok := find(chain, k)
		if ok && (origin != OriginDefault || k.Scope == kind) {
			out = append(out, Effective{Key: k.Name, Value: v, Origin: origin, Service: service})
		}
	}
	return out
}
