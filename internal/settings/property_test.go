package settings

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

var (
	genPath = rapid.SampledFrom([]string{"/", "/g", "/g/s", "/g/s/c1", "/g/s/c2", "/s2", "/s2/c1", "/g-s", "/g/k", "/g/k/u1",
		"/g/k/u1/c1", "/u2", "/u2/c1", "/u2/c2", "/u1"})
	genSetting = rapid.SampledFrom([][2]string{{KeyTier, "0"}, {KeyTier, "2"}, {KeyFirstTokenTarget, "2s"}, {KeyFirstTokenTarget, "2m"},
		{KeyDeadline, "90ms"}, {KeyDeadline, "10m"}, {KeyShareMin, "0.4"}, {KeyShareMin, "0.7"}, {KeyClassDefault, "c1"},
		{KeyWeight, "7"}, {KeyModels, "a/b-1,N:#x,12,no,\\t"}, {KeyHashes, strings.Repeat("a", 64)}, {KeyHashes, strings.Repeat("b", 64)}})
)

// genKind returns the kind that fits the path in nine of ten cases, so that many
// trees are valid, and else a random kind.
func genKind(t *rapid.T, path string) Kind {
	if path != Root && rapid.IntRange(0, 9).Draw(t, "odd") == 0 {
		return rapid.SampledFrom(Kinds()).Draw(t, "kind")
	}
	switch name := nameOf(path); {
	case strings.HasPrefix(name, "s"):
		return Service
	case strings.HasPrefix(name, "c"):
		return Class
	case strings.HasPrefix(name, "u"):
		return Customer
	}
	return Group
}

func genOps(t *rapid.T) []*controlv1.Operation {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *controlv1.Operation {
		op := &controlv1.Operation{Path: genPath.Draw(t, "path")}
		setting := genSetting.Draw(t, "setting")
		switch rapid.IntRange(0, 9).Draw(t, "op") {
		case 0:
			op.Kind = controlv1.Operation_NODE_REMOVE
		case 1:
			op.Kind, op.Key = controlv1.Operation_KEY_UNSET, setting[0]
		case 2, 3, 4:
			op.Kind, op.Key, op.Value = controlv1.Operation_KEY_SET, setting[0], setting[1]
		default:
			op.Kind, op.NodeKind = controlv1.Operation_NODE_PUT, string(genKind(t, op.Path))
		}
		return op
	}), 1, 12).Draw(t, "ops")
}

const fullTreeYAML = `
nodes:
  - {path: /g, kind: group}
  - {path: /g/s, kind: service}
  - {path: /g/s/c1, kind: class}
  - {path: /g/s/c2, kind: class, set: {target.first_token: 2s}}
  - {path: /s2, kind: service, set: {class.default: c1}}
  - {path: /s2/c1, kind: class}
  - {path: /g/k, kind: group}
  - {path: /g/k/u1, kind: customer}
  - {path: /g/k/u1/c1, kind: class, set: {target.first_token: 500ms}}
  - {path: /u2, kind: customer}
  - {path: /u2/c2, kind: class}
`

// genTree generates a valid tree by applying several changes. Half of the trees
// start from fullTreeYAML, so that rules between distant nodes are tested.
func genTree(t *rapid.T) *Tree {
	tree := New()
	if rapid.Bool().Draw(t, "full") {
		d, _ := Parse("full", []byte(fullTreeYAML))
		tree = tree.Replay(Diff(tree, d, false))
	}
	for range rapid.IntRange(1, 12).Draw(t, "changes") {
		if next, err := tree.Apply(genOps(t)); err == nil {
			tree = next
		}
	}
	return tree
}

// TestIncrementalCheckMatchesValidate guards against a broken rule that Apply does
// not find, because the operations did not change the node that breaks it, and
// against a name index that is not updated.
func TestIncrementalCheckMatchesValidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree, ops := genTree(t), genOps(t)
		next, err := tree.Apply(ops)
		replayed := tree.Replay(ops)
		checkIndexes(t, replayed)
		if err == nil {
			assert(t, replayed.Validate(), qt.IsNil)
			assert(t, proto.Equal(next.Export(), replayed.Export()), qt.IsTrue)
			return
		}
		var e *InvalidError
		assert(t, errors.As(err, &e), qt.IsTrue)
		for _, p := range e.Problems {
			if strings.Contains(p.Message, "no such node") || strings.Contains(p.Message, "the root") {
				return // Apply failed before it checked the resulting tree.
			}
		}
		assert(t, replayed.Validate(), qt.ErrorMatches, quoteMeta(err.Error()))
	})
}

// checkIndexes compares the maps of a tree that was changed incrementally with the
// maps of a tree that was built at once.
func checkIndexes(t *rapid.T, tree *Tree) {
	rebuilt, err := FromProto(tree.Export())
	assert(t, err, qt.IsNil)
	for _, pair := range [][2]persistentMap[*Node]{{tree.nameIndex, rebuilt.nameIndex}, {tree.nodes, rebuilt.nodes}} {
		var got, want []string
		for k, n := range pair[0].from("") {
			got = append(got, k+" "+n.path)
		}
		for k, n := range pair[1].from("") {
			want = append(want, k+" "+n.path)
		}
		assert(t, got, qt.DeepEquals, want)
		assert(t, pair[0].size, qt.Equals, len(want))
		checkHeap(t, pair[0].root)
	}
}

// checkHeap checks that no node has a higher priority than its parent. Otherwise
// the map would become unbalanced and insert could miss a key that exists.
func checkHeap(t *rapid.T, n *treapNode[*Node]) {
	if n == nil {
		return
	}
	for _, child := range []*treapNode[*Node]{n.left, n.right} {
		assert(t, child == nil || child.priority <= n.priority, qt.IsTrue)
		checkHeap(t, child)
	}
}

// referenceLookup looks up a key by the rules of the design page, independently of
// the implementation: at path, then at class if it is not empty, then at the nodes
// above.
func referenceLookup(s *controlv1.Settings, path, class, key string) string {
	values := map[string]map[string]string{}
	for _, n := range s.Nodes {
		values[n.Path] = n.Values
	}
	if class != "" {
		if v, ok := values[path][key]; ok {
			return v
		}
		path = class
	}
	for {
		if v, ok := values[path][key]; ok {
			return v
		}
		if path == Root {
			return registry[key].def.text
		}
		path = parentOf(path)
	}
}

// TestInheritance guards the inheritance of values, both in look-ups and in the
// policies of requests.
func TestInheritance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := genTree(t)
		s := tree.Export()
		x := tree.Index()
		for n := range tree.Nodes {
			for _, k := range Keys() {
				if tree.isOverride(n) {
					break
				}
				v, _, _ := tree.Lookup(n.Path(), k.Name)
				assert(t, v.String(), qt.Equals, referenceLookup(s, n.Path(), "", k.Name))
			}
		}
		for _, service := range x.Services() {
			for _, class := range service.Classes {
				for _, customer := range []string{"", "u1", "u2"} {
					p, ok := x.ClassPolicy(service.Name, class, customer)
					assert(t, ok, qt.IsTrue)
					path, base := service.Path+"/"+class, ""
					if c, ok := tree.firstIndexed(indexCustomer, customer); ok {
						if _, ok := tree.Node(c.path + "/" + class); ok {
							path, base = c.path+"/"+class, path
						}
					}
					deadline, _ := parseDuration(referenceLookup(s, path, base, KeyDeadline))
					assert(t, p.Deadline, qt.Equals, deadline.Duration())
				}
			}
		}
	})
}

// declarationsOf returns declarations of all nodes and values.
func declarationsOf(s *controlv1.Settings) Declarations {
	var d Declarations
	for _, n := range s.Nodes {
		n, _ := nodeFromProto(n)
		node := Declaration{Path: n.path, Kind: n.kind}
		for _, v := range n.settings {
			node.Set = append(node.Set, Assignment{Key: v.Key, Value: v.Value})
		}
		d.Nodes = append(d.Nodes, node)
	}
	return d
}

// TestDiffAndRoundTrip checks that a change with prune gives exactly the declared
// tree, and that reading an export, as protobuf or YAML, gives the same tree.
func TestDiffAndRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := genTree(t), genTree(t)
		next, err := from.Apply(Diff(from, declarationsOf(to.Export()), true))
		assert(t, err, qt.IsNil)
		assert(t, proto.Equal(next.Export(), to.Export()), qt.IsTrue)
		restored, err := FromProto(to.Export())
		assert(t, err, qt.IsNil)
		assert(t, proto.Equal(restored.Export(), to.Export()), qt.IsTrue)
		declared, err := Parse("export", to.YAML())
		assert(t, err, qt.IsNil)
		assert(t, len(Diff(to, declared, true)), qt.Equals, 0)
		// Without prune, nodes that are not declared are kept.
		if kept, err := from.Apply(Diff(from, declarationsOf(to.Export()), false)); err == nil {
			for n := range from.Nodes {
				_, ok := kept.Node(n.Path())
				assert(t, ok, qt.IsTrue)
			}
		}
	})
}

// assert works like qt.Assert, which does not accept a rapid.T because it is not a
// testing.TB.
func assert(t *rapid.T, got any, checker qt.Checker, args ...any) {
	t.Helper()
	var notes strings.Builder
	err := checker.Check(got, args, func(key string, value any) { fmt.Fprintf(&notes, "\n%s: %v", key, value) })
	if err != nil {
		t.Fatalf("%v\ngot: %v\nwant: %v%s", err, got, args, notes.String())
	}
}
