package settings

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// ReservedService is a name that no service may have: the groups below it
	// are leases of the system's own duties.
	ReservedService = "placement"
	// PlacementGroup is the group whose holder alone orders engines.
	PlacementGroup = ReservedService + "/0"
)

func compare(a, b string) int { return strings.Compare(a, b) }

func kindList() []string {
	out := make([]string, 0, len(Kinds()))
	for _, k := range Kinds() {
		out = append(out, string(k))
	}
	return out
}

func kindNames() string { return strings.Join(kindList(), ", ") }

func knownKey(name string) (*Key, error) {
	k, ok := registry[name]
	if !ok {
		return nil, fmt.Errorf("the key is unknown%s", suggestion(name, keyNames()))
	}
	return k, nil
}

// checker collects the problems of a tree. It checks the touched nodes and all
// nodes whose rules depend on them, so that one change among many customers
// costs little; a tree whose every node was checked this way is valid as a whole.
type checker struct {
	tree     *Tree
	problems []Problem
	services map[string]bool // paths of services to check
	classes  map[string]bool // names of classes whose overrides to check
	checked  map[string]bool // overrides that were checked
}

func (t *Tree) check(touched []touch) error {
	c := &checker{tree: t, services: map[string]bool{}, classes: map[string]bool{}, checked: map[string]bool{}}
	for _, touch := range touched {
		c.checkTouched(touch)
	}
	for _, path := range sortedKeys(c.services) {
		if n, ok := t.nodes.get(path); ok && n.kind == Service {
			c.checkService(n)
		}
	}
	for _, name := range sortedKeys(c.classes) {
		for _, n := range t.names.prefixed(entryPrefix(entryOverride, name)) {
			c.checkOverride(n)
		}
	}
	return invalid(c.problems)
}

// Validate checks every node.
func (t *Tree) Validate() error {
	touched := make([]touch, 0, t.Len())
	for path, n := range t.nodes.from("") {
		touched = append(touched, touch{path: path, after: n})
	}
	return t.check(touched)
}

func sortedKeys(m map[string]bool) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (c *checker) add(path, key, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkTouched(touch touch) {
	t := c.tree
	if touch.after == nil {
		for _, child := range t.nodes.prefixed(below(touch.path)) {
			c.checkParent(child)
		}
	} else {
		c.checkNode(touch.after)
		if touch.before != nil && touch.before.kind != touch.after.kind {
			for _, child := range t.nodes.prefixed(below(touch.path)) {
				c.checkParent(child)
			}
		}
	}
	for _, n := range []*Node{touch.before, touch.after} {
		if n != nil && n.kind != Customer {
			c.markAffected(n)
		}
	}
	// A class that stays in place changes its meaning with its parent.
	if kindOf(touch.before) != kindOf(touch.after) {
		for _, child := range t.nodes.prefixed(below(touch.path)) {
			if child.kind == Class {
				c.classes[child.Name()] = true
			}
		}
	}
}

// markAffected notes the services and classes whose rules depend on n.
func (c *checker) markAffected(n *Node) {
	switch n.kind {
	case Class:
		c.classes[n.Name()] = true
		c.services[parentOf(n.path)] = true
	case Service:
		c.markService(n)
	case Group:
		for _, s := range c.tree.names.prefixed(entryService) {
			if strings.HasPrefix(s.path, below(n.path)) {
				c.markService(s)
			}
		}
	}
}

// markService notes a service and its classes, since their overrides inherit from it.
func (c *checker) markService(s *Node) {
	c.services[s.path] = true
	for class := range c.tree.classesOf(s) {
		c.classes[class.Name()] = true
	}
}

func (c *checker) checkNode(n *Node) {
	if !n.kind.valid() {
		c.add(n.path, "", "kind %s is not one of %s", n.kind, kindNames())
		return
	}
	c.checkParent(n)
	for _, s := range n.settings {
		c.checkSetting(n, s)
	}
	switch n.kind {
	case Service:
		c.checkUnique(n, entryService, n.Name(), "", "service name "+n.Name())
		if n.Name() == ReservedService {
			c.add(n.path, "", "the service name %s is reserved", n.Name())
		}
	case Customer:
		// The name is the identity of a customer in records that outlive a move
		// to another group, so it is unique in the whole tree.
		c.checkUnique(n, entryCustomer, n.Name(), "", "customer name "+n.Name())
		if v, ok := n.get(KeyHashes); ok {
			for _, h := range v.List() {
				c.checkUnique(n, entryHash, digestOfHex(h), KeyHashes, "key hash "+h[:8]+"...")
			}
		}
	case Class:
		if c.tree.override(n) {
			c.checkOverride(n)
		}
	}
}

func (c *checker) checkParent(n *Node) {
	if n.path == Root {
		return
	}
	parent, ok := c.tree.nodes.get(parentOf(n.path))
	if !ok {
		c.add(n.path, "", "its parent %s does not exist", parentOf(n.path))
		return
	}
	if !parent.kind.mayHold(n.kind) {
		c.add(n.path, "", "a %s may not be below %s, which is a %s; %s", n.kind, parent.path, parent.kind, placeOf(n.kind))
	}
}

func placeOf(k Kind) string {
	if k == Class {
		return "a class belongs directly below a service or a customer"
	}
	return "a " + string(k) + " belongs directly below a group"
}

func (c *checker) checkSetting(n *Node, s Setting) {
	k, err := knownKey(s.Key)
	if err != nil {
		c.add(n.path, s.Key, "%v", err)
		return
	}
	if s.Value.typ == 0 {
		_, err := k.Parse(s.Value.text)
		c.add(n.path, s.Key, "%v", err)
		return
	}
	if !slices.Contains(k.Kinds, n.kind) {
		c.add(n.path, s.Key, "may not be set on a %s, only on a %s", n.kind, joinKinds(k.Kinds))
	}
}

func joinKinds(kinds []Kind) string {
	parts := make([]string, len(kinds))
	for i, k := range kinds {
		parts[i] = string(k)
	}
	return strings.Join(parts, ", ")
}

// checkUnique names the first other node with the same entry.
func (c *checker) checkUnique(n *Node, prefix, name, key, what string) {
	for _, other := range c.tree.names.prefixed(entryPrefix(prefix, name)) {
		if other.path != n.path {
			first, second := n.path, other.path
			if second < first {
				first, second = second, first
			}
			c.add(second, key, "%s is already used by %s", what, first)
			return
		}
	}
}

func (c *checker) checkService(s *Node) {
	chain := c.tree.chain(s, nil)
	var names []string
	var share float64
	for class := range c.tree.classesOf(s) {
		names = append(names, class.Name())
		classChain := c.tree.chain(class, nil)
		c.checkTargets(class, classChain, "")
		v, _, _ := find(classChain, mustKey(KeyShareMin))
		share += v.Ratio()
	}
	if v, _, ok := find(chain, mustKey(KeyClassDefault)); ok && !slices.Contains(names, v.text) {
		c.add(s.path, KeyClassDefault, "%q is not a class of the service%s", v.text, suggestion(v.text, names))
	}
	// Allows for the rounding of sums such as ten times 0.1.
	if share > 1+1e-9 {
		c.add(s.path, KeyShareMin, "the shares of the classes add up to %.4g, which is above 1", share)
	}
}

func (c *checker) checkOverride(n *Node) {
	if c.checked[n.path] {
		return
	}
	c.checked[n.path] = true
	found := false
	for _, class := range c.tree.names.prefixed(entryPrefix(entryClass, n.Name())) {
		found = true
		c.checkTargets(n, c.tree.chain(n, class), " in service "+nameOf(parentOf(class.path)))
	}
	if !found {
		c.add(n.path, "", "no service has a class %s%s", n.Name(), suggestion(n.Name(), c.classNames()))
	}
}

func (c *checker) classNames() []string {
	var out []string
	for _, n := range c.tree.names.prefixed(entryClass) {
		out = append(out, n.Name())
	}
	return slices.Compact(out)
}

func (c *checker) checkTargets(n *Node, chain []*Node, where string) {
	target, targetOrigin, _ := find(chain, mustKey(KeyFirstToken))
	deadline, deadlineOrigin, _ := find(chain, mustKey(KeyDeadline))
	if target.Duration() > deadline.Duration() {
		c.add(n.path, KeyFirstToken, "%s (from %s) is above the deadline %s (from %s)%s",
			target, targetOrigin, deadline, deadlineOrigin, where)
	}
}
