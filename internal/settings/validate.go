package settings

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// ReservedService is a name that no service may have, because the groups
	// under it are leases of internal tasks and not groups of a service.
	ReservedService = "placement"
	// PlacementGroup is the group of the placement task. Only the holder of its
	// lease sends load and unload orders to engines.
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

// checker collects the problems of a tree. It checks only the changed nodes and
// the nodes whose rules depend on them, so that changing one of many customers is
// cheap. A tree is valid as a whole if each of its nodes was checked in this way,
// in one change or in several.
type checker struct {
	tree             *Tree
	problems         []Problem
	affectedServices map[string]bool // paths of the services to check
	affectedClasses  map[string]bool // names of the classes whose overrides to check
	checkedOverrides map[string]bool // paths of the overrides that are already checked
}

// checkChanges checks the changed nodes and the nodes whose rules depend on them.
func (t *Tree) checkChanges(changes []change) error {
	c := &checker{tree: t, affectedServices: map[string]bool{}, affectedClasses: map[string]bool{}, checkedOverrides: map[string]bool{}}
	for _, change := range changes {
		c.checkChange(change)
	}
	for _, path := range sortedKeys(c.affectedServices) {
		if n, ok := t.nodes.get(path); ok && n.kind == Service {
			c.checkService(n)
		}
	}
	for _, name := range sortedKeys(c.affectedClasses) {
		for _, n := range t.nameIndex.withPrefix(indexPrefix(indexOverride, name)) {
			c.checkOverride(n)
		}
	}
	return problemsError(c.problems)
}

// Validate checks every node and returns an *InvalidError if the tree breaks a rule.
func (t *Tree) Validate() error {
	changes := make([]change, 0, t.Len())
	for path, n := range t.nodes.from("") {
		changes = append(changes, change{path: path, after: n})
	}
	return t.checkChanges(changes)
}

func sortedKeys(m map[string]bool) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (c *checker) addProblem(path, key, format string, args ...any) {
	c.problems = append(c.problems, Problem{Path: path, Key: key, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkChange(change change) {
	t := c.tree
	if change.after == nil {
		for _, child := range t.nodes.withPrefix(descendantPrefix(change.path)) {
			c.checkParent(child)
		}
	} else {
		c.checkNode(change.after)
		if change.before != nil && change.before.kind != change.after.kind {
			for _, child := range t.nodes.withPrefix(descendantPrefix(change.path)) {
				c.checkParent(child)
			}
		}
	}
	for _, n := range []*Node{change.before, change.after} {
		if n != nil && n.kind != Customer {
			c.markAffected(n)
		}
	}
	// The kind of its parent decides whether a class is a request class or an
	// override, so check the classes below a node whose kind has changed.
	if kindOf(change.before) != kindOf(change.after) {
		for _, child := range t.nodes.withPrefix(descendantPrefix(change.path)) {
			if child.kind == Class {
				c.affectedClasses[child.Name()] = true
			}
		}
	}
}

// markAffected records the services and classes whose rules depend on n.
func (c *checker) markAffected(n *Node) {
	switch n.kind {
	case Class:
		c.affectedClasses[n.Name()] = true
		c.affectedServices[parentOf(n.path)] = true
	case Service:
		c.markServiceAffected(n)
	case Group:
		for _, s := range c.tree.nameIndex.withPrefix(indexService) {
			if strings.HasPrefix(s.path, descendantPrefix(n.path)) {
				c.markServiceAffected(s)
			}
		}
	}
}

// markServiceAffected records a service and its classes, because overrides of the
// classes inherit from the service.
func (c *checker) markServiceAffected(s *Node) {
	c.affectedServices[s.path] = true
	for class := range c.tree.classesOf(s) {
		c.affectedClasses[class.Name()] = true
	}
}

func (c *checker) checkNode(n *Node) {
	if !n.kind.valid() {
		c.addProblem(n.path, "", "kind %s is not one of %s", n.kind, kindNames())
		return
	}
	c.checkParent(n)
	for _, s := range n.settings {
		c.checkSetting(n, s)
	}
	switch n.kind {
	case Service:
		c.checkUnique(n, indexService, n.Name(), "", "service name "+n.Name())
		if n.Name() == ReservedService {
			c.addProblem(n.path, "", "the service name %s is reserved", n.Name())
		}
	case Customer:
		// Records identify a customer by its name and stay valid when the customer
		// moves to another group, so the name must be unique in the whole tree.
		c.checkUnique(n, indexCustomer, n.Name(), "", "customer name "+n.Name())
		if v, ok := n.get(KeyHashes); ok {
			for _, h := range v.List() {
				c.checkUnique(n, indexKeyHash, saltedDigestOfHex(h), KeyHashes, "key hash "+h[:8]+"...")
			}
		}
	case Class:
		if c.tree.isOverride(n) {
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
		c.addProblem(n.path, "", "its parent %s does not exist", parentOf(n.path))
		return
	}
	if !parent.kind.mayContain(n.kind) {
		c.addProblem(n.path, "", "a %s may not be below %s, which is a %s; %s", n.kind, parent.path, parent.kind, allowedPlace(n.kind))
	}
}

func allowedPlace(k Kind) string {
	if k == Class {
		return "a class belongs directly below a service or a customer"
	}
	return "a " + string(k) + " belongs directly below a group"
}

func (c *checker) checkSetting(n *Node, s Setting) {
	k, err := knownKey(s.Key)
	if err != nil {
		c.addProblem(n.path, s.Key, "%v", err)
		return
	}
	if s.Value.typ == 0 {
		_, err := k.Parse(s.Value.text)
		c.addProblem(n.path, s.Key, "%v", err)
		return
	}
	if !slices.Contains(k.Kinds, n.kind) {
		c.addProblem(n.path, s.Key, "may not be set on a %s, only on a %s", n.kind, joinKinds(k.Kinds))
	}
}

func joinKinds(kinds []Kind) string {
	parts := make([]string, len(kinds))
	for i, k := range kinds {
		parts[i] = string(k)
	}
	return strings.Join(parts, ", ")
}

// checkUnique reports a problem if another node has the same name under an index
// prefix. what names the duplicate in the message.
func (c *checker) checkUnique(n *Node, prefix, name, key, what string) {
	for _, other := range c.tree.nameIndex.withPrefix(indexPrefix(prefix, name)) {
		if other.path != n.path {
			first, second := n.path, other.path
			if second < first {
				first, second = second, first
			}
			c.addProblem(second, key, "%s is already used by %s", what, first)
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
		c.checkFirstTokenTarget(class, classChain, "")
		v, _, _ := resolve(classChain, mustKey(KeyShareMin))
		share += v.Ratio()
	}
	if v, _, ok := resolve(chain, mustKey(KeyClassDefault)); ok && !slices.Contains(names, v.text) {
		c.addProblem(s.path, KeyClassDefault, "%q is not a class of the service%s", v.text, suggestion(v.text, names))
	}
	// The tolerance allows for rounding errors in sums such as ten times 0.1.
	if share > 1+1e-9 {
		c.addProblem(s.path, KeyShareMin, "the shares of the classes add up to %.4g, which is above 1", share)
	}
}

// checkOverride checks a class of a customer against each service that has a class
// with the same name.
func (c *checker) checkOverride(n *Node) {
	if c.checkedOverrides[n.path] {
		return
	}
	c.checkedOverrides[n.path] = true
	found := false
	for _, class := range c.tree.nameIndex.withPrefix(indexPrefix(indexClass, n.Name())) {
		found = true
		c.checkFirstTokenTarget(n, c.tree.chain(n, class), " in service "+nameOf(parentOf(class.path)))
	}
	if !found {
		c.addProblem(n.path, "", "no service has a class %s%s", n.Name(), suggestion(n.Name(), c.classNames()))
	}
}

func (c *checker) classNames() []string {
	var out []string
	for _, n := range c.tree.nameIndex.withPrefix(indexClass) {
		out = append(out, n.Name())
	}
	return slices.Compact(out)
}

// checkFirstTokenTarget checks that the target for the first token does not exceed
// the deadline. suffix is appended to the message.
func (c *checker) checkFirstTokenTarget(n *Node, chain []*Node, suffix string) {
	target, targetOrigin, _ := resolve(chain, mustKey(KeyFirstTokenTarget))
	deadline, deadlineOrigin, _ := resolve(chain, mustKey(KeyDeadline))
	if target.Duration() > deadline.Duration() {
		c.addProblem(n.path, KeyFirstTokenTarget, "%s (from %s) is above the deadline %s (from %s)%s",
			target, targetOrigin, deadline, deadlineOrigin, suffix)
	}
}
