package settings

import (
	"flag"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"

	"auburnstep.example/auburnstep/internal/testkit/properties"
)

var update = flag.Bool("update", false, "rewrite docs/settings.md")

// checksPerProperty is the number of cases that rapid generates for each property test.
const checksPerProperty = 500

func TestMain(m *testing.M) { os.Exit(properties.Run(m, checksPerProperty)) }

const sampleYAML = `
nodes:
  - {path: /services, kind: group, set: {deadline: 30s}}
  - path: /services/pool
    kind: service
    set:
      kind: engine
      models: [m1, m2]
      idempotent: true
      class.default: chat
  - {path: /services/pool/chat, kind: class, set: {tier: 0, target.first_token: 450ms}}
  - {path: /services/pool/batch, kind: class, set: {tier: 2, share.min: 5%, body.max: 1MB}}
  - {path: /customers, kind: group, set: {limit.weight: 2}}
  - path: /customers/torino
    kind: customer
    set:
      key.sha256: [2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b]
  - {path: /customers/torino/chat, kind: class, set: {target.first_token: 300ms}}
`

func mustParse(t testing.TB, yaml string) Declarations {
	t.Helper()
	d, err := Parse("test.yaml", []byte(yaml))
	qt.Assert(t, err, qt.IsNil)
	return d
}

func mustTree(t testing.TB, yaml string) *Tree {
	t.Helper()
	tree, err := New().Apply(Diff(New(), mustParse(t, yaml), false))
	qt.Assert(t, err, qt.IsNil)
	return tree
}

// TestEffectivePolicies checks the policies that a request gets from a declaration
// in YAML.
func TestEffectivePolicies(t *testing.T) {
	c := qt.New(t)
	x := mustTree(t, sampleYAML).Index()
	p, ok := x.ClassPolicy("pool", "chat", "")
	c.Assert(ok, qt.IsTrue)
	c.Assert(p.FirstTokenTarget.String(), qt.Equals, "450ms")
	c.Assert(p.Deadline.String(), qt.Equals, "30s")
	c.Assert(p.Idempotent, qt.IsTrue)
	p, _ = x.ClassPolicy("pool", "chat", "torino")
	c.Assert(p.FirstTokenTarget.String(), qt.Equals, "300ms")
	c.Assert(p.Tier, qt.Equals, 0)
	p, _ = x.ClassPolicy("pool", "batch", "torino")
	c.Assert(p.MaxBodyBytes, qt.Equals, int64(1e6))
	c.Assert(p.ShareMin, qt.Equals, 0.05)
	_, ok = x.ClassPolicy("pool", "none", "torino")
	c.Assert(ok, qt.IsFalse)
	name, ok := x.CustomerByKeyHash(HashKey("secret"))
	c.Assert(ok, qt.IsTrue)
	c.Assert(name, qt.Equals, "torino")
	_, ok = x.CustomerByKeyHash(HashKey("secret2"))
	c.Assert(ok, qt.IsFalse)
	customer, ok := x.CustomerPolicy("torino")
	c.Assert(ok, qt.IsTrue)
	c.Assert(customer.Weight, qt.Equals, 2)
	c.Assert(x.Services(), qt.HasLen, 1)
	c.Assert(x.Services()[0].Models, qt.DeepEquals, []string{"m1", "m2"})
	c.Assert(x.Services()[0].Classes, qt.DeepEquals, []string{"batch", "chat"})
}

// TestSettingsPage guards against a docs/settings.md that does not match the key
// registry. Run it with -update to rewrite the page.
func TestSettingsPage(t *testing.T) {
	const page = "../../docs/settings.md"
	if *update {
		qt.Assert(t, os.WriteFile(page, []byte(Markdown()), 0o644), qt.IsNil)
	}
	data, err := os.ReadFile(page)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(data), qt.Equals, Markdown())
}

// TestInvalidResults checks that Apply refuses operations that are valid by
// themselves if the resulting tree breaks a rule, and checks the position and
// message of the error.
func TestInvalidResults(t *testing.T) {
	const keyHash = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
	for name, tc := range map[string]struct{ yaml, err string }{
		"same key hash": {`
  - {path: /customers/a, kind: customer, set: {key.sha256: ` + keyHash + `}}
  - {path: /customers/b, kind: customer, set: {key.sha256: ` + keyHash + `}}`,
			"t.yaml:5: /customers/b key.sha256: key hash 2bb80d53... is already used by /customers/a"},
		"same customer name": {`
  - {path: /customers/torino, kind: customer}
  - {path: /customers/g, kind: group}
  - {path: /customers/g/torino, kind: customer}`,
			"t.yaml:4: /customers/torino: customer name torino is already used by /customers/g/torino"},
		"reserved service name": {`
  - {path: /customers/placement, kind: service}`,
			"t.yaml:4: /customers/placement: the service name placement is reserved"},
		"class outside a service": {`
  - {path: /customers/chat, kind: class}`,
			"t.yaml:4: /customers/chat: a class may not be below /customers, which is a group; a class belongs directly below a service or a customer"},
		"parent missing": {`
  - {path: /services/s, kind: service}`,
			"t.yaml:4: /services/s: its parent /services does not exist"},
		"target above deadline": {`
  - {path: /s, kind: service, set: {deadline: 500ms}}
  - {path: /s/chat, kind: class}`,
			"t.yaml:5: /s/chat target.first_token: 1s (from default) is above the deadline 500ms (from /s)"},
		"target above deadline because of an override": {`
  - {path: /s, kind: service}
  - {path: /s/chat, kind: class}
  - {path: /customers/a, kind: customer}
  - {path: /customers/a/chat, kind: class, set: {target.first_token: 2m}}`,
			"t.yaml:7: /customers/a/chat target.first_token: 2m (from /customers/a/chat) is above the deadline 1m (from default) in service s"},
		"override of an unknown class": {`
  - {path: /s, kind: service}
  - {path: /s/chat, kind: class}
  - {path: /customers/a, kind: customer}
  - {path: /customers/a/chta, kind: class}`,
			`t.yaml:7: /customers/a/chta: no service has a class chta (did you mean "chat"?)`},
		"default class missing": {`
  - {path: /s, kind: service, set: {class.default: cht}}
  - {path: /s/chat, kind: class}`,
			`t.yaml:4: /s class.default: "cht" is not a class of the service (did you mean "chat"?)`},
		"shares above 1": {`
  - {path: /s, kind: service, set: {share.min: 60%}}
  - {path: /s/a, kind: class}
  - {path: /s/b, kind: class}`,
			"t.yaml:4: /s share.min: the shares of the classes add up to 1.2, which is above 1"},
	} {
		t.Run(name, func(t *testing.T) {
			d, err := Parse("t.yaml", []byte("nodes:\n  - {path: /customers, kind: group}\n"+tc.yaml))
			qt.Assert(t, err, qt.IsNil)
			_, err = New().Apply(Diff(New(), d, false))
			qt.Assert(t, d.Locate(err), qt.ErrorMatches, quoteMeta(tc.err))
		})
	}
}

// TestRefusedOperations checks that Apply refuses single operations that are invalid
// or would make a valid tree invalid.
func TestRefusedOperations(t *testing.T) {
	tree := mustTree(t, sampleYAML)
	for name, tc := range map[string]struct {
		op  *controlv1.Operation
		err string
	}{
		"tier out of range": {setOp("/services/pool/chat", "tier", "3"), "/services/pool/chat tier: 3 is outside 0 to 2"},
		"unknown key":       {setOp("/services", "teir", "1"), `/services teir: the key is unknown (did you mean "tier"?)`},
		"key of a customer on a class": {setOp("/services/pool/chat", "limit.weight", "2"),
			"/services/pool/chat limit.weight: may not be set on a class, only on a group, customer"},
		"missing node": {setOp("/services/none", "tier", "1"), "/services/none tier: there is no such node"},
		"node with nodes below it": {removeOp("/services/pool"),
			"/customers/torino/chat: no service has a class chat; /services/pool/batch: its parent /services/pool does not exist; /services/pool/chat: its parent /services/pool does not exist"},
		"root": {removeOp("/"), "/: the root cannot be removed"},
		"class that is overridden": {removeOp("/services/pool/chat"),
			`/customers/torino/chat: no service has a class chat; /services/pool class.default: "chat" is not a class of the service`},
		"kind":      {&controlv1.Operation{Path: "/x"}, "/x: the kind of the operation is unknown"},
		"node kind": {&controlv1.Operation{Kind: controlv1.Operation_NODE_PUT, Path: "/x", NodeKind: "custmer"}, `/x: kind custmer is not one of group, service, class, customer (did you mean "customer"?)`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := tree.Apply([]*controlv1.Operation{tc.op})
			qt.Assert(t, err, qt.ErrorMatches, quoteMeta(tc.err))
		})
	}
}

func setOp(path, key, value string) *controlv1.Operation {
	return &controlv1.Operation{Kind: controlv1.Operation_KEY_SET, Path: path, Key: key, Value: value}
}

// TestExplain guards the origins of values, which operators use to find an override.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	tree := mustTree(t, sampleYAML)
	origins := func(path string) map[string]string {
		list, err := tree.Explain(path)
		c.Assert(err, qt.IsNil)
		out := map[string]string{}
		for _, e := range list {
			out[e.Service+" "+e.Key] = e.Value.String() + " " + e.Origin
		}
		return out
	}
	chat := origins("/customers/torino/chat")
	c.Assert(chat["pool target.first_token"], qt.Equals, "300ms /customers/torino/chat")
	c.Assert(chat["pool tier"], qt.Equals, "0 /services/pool/chat")
	c.Assert(chat["pool deadline"], qt.Equals, "30s /services")
	c.Assert(chat["pool queue.max"], qt.Equals, "1000 default")
	c.Assert(origins("/customers/torino")[" limit.weight"], qt.Equals, "2 /customers")
	c.Assert(origins("/customers"), qt.DeepEquals, map[string]string{" limit.weight": "2 /customers"})
	_, err := tree.Explain("/none")
	c.Assert(ErrUnknownNode.Has(err), qt.IsTrue)
}

// TestUnknownSettingsOfLaterVersion guards against a member that cannot restore or
// replay node kinds, keys and values that a later version stored.
func TestUnknownSettingsOfLaterVersion(t *testing.T) {
	c := qt.New(t)
	stored := &controlv1.Settings{Nodes: []*controlv1.Node{
		{Path: "/g", Kind: "group", Values: map[string]string{"later.key": "x", "tier": "9"}},
		{Path: "/r", Kind: "later"}}}
	tree, err := FromProto(stored)
	c.Assert(err, qt.IsNil)
	c.Assert(proto.Equal(tree.Export(), stored), qt.IsTrue)
	v, origin, ok := tree.Lookup("/g", KeyTier)
	c.Assert(ok, qt.IsTrue)
	c.Assert(v.String()+origin, qt.Equals, "1default")
	c.Assert(tree.Validate(), qt.ErrorMatches, quoteMeta("/g later.key: the key is unknown; /g tier: 9 is outside 0 to 2; /r: kind later is not one of group, service, class, customer"))
	replayed := New().Replay([]*controlv1.Operation{
		{Kind: controlv1.Operation_NODE_PUT, Path: "/g", NodeKind: "group"},
		setOp("/g", "later.key", "x"), setOp("/g", "tier", "9"),
		{Kind: controlv1.Operation_NODE_PUT, Path: "/r", NodeKind: "later"}, {Kind: 99, Path: "/g"}})
	c.Assert(proto.Equal(replayed.Export(), stored), qt.IsTrue)
	// Unknown settings do not prevent a change of another node.
	_, err = tree.Apply([]*controlv1.Operation{setOp("/", "tier", "2")})
	c.Assert(err, qt.IsNil)
}

// TestDescribe guards the lines that a dry run prints and their order.
func TestDescribe(t *testing.T) {
	tree := mustTree(t, sampleYAML)
	d := mustParse(t, `
nodes:
  - {path: /services, kind: group, set: {deadline: null, tier: 2}}
  - {path: /customers, kind: group, set: {limit.weight: 3}}
  - {path: /customers/new, kind: customer}
  - {path: /customers/torino, remove: true}
  - {path: /customers/torino/chat, remove: true}
`)
	qt.Assert(t, Describe(tree, Diff(tree, d, false)), qt.DeepEquals, []string{
		"~ /customers limit.weight: 2 -> 3",
		"+ /customers/new (customer)",
		"~ /services deadline: 30s -> unset",
		"~ /services tier: unset -> 2",
		"- /customers/torino/chat",
		"- /customers/torino",
	})
}
