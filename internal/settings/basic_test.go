package settings

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

const sample = `
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

func mustTree(t testing.TB, yaml string) *Tree {
	t.Helper()
	d, err := Parse("test.yaml", []byte(yaml))
	qt.Assert(t, err, qt.IsNil)
	tree, err := New().Apply(Diff(New(), d, false))
	qt.Assert(t, err, qt.IsNil)
	return tree
}

// Guards the whole path from a declaration to the policies of a request.
func TestPolicies(t *testing.T) {
	c := qt.New(t)
	x := mustTree(t, sample).Index()
	p, ok := x.ClassPolicy("pool", "chat", "")
	c.Assert(ok, qt.IsTrue)
	c.Assert(p.FirstToken.String(), qt.Equals, "450ms")
	c.Assert(p.Deadline.String(), qt.Equals, "30s")
	c.Assert(p.Idempotent, qt.IsTrue)
	p, _ = x.ClassPolicy("pool", "chat", "torino")
	c.Assert(p.FirstToken.String(), qt.Equals, "300ms")
	name, ok := x.CustomerByKeyHash(HashKey("secret"))
	c.Assert(ok, qt.IsTrue)
	c.Assert(name, qt.Equals, "torino")
	cp, _ := x.CustomerPolicy("torino")
	c.Assert(cp.Weight, qt.Equals, 2)
}
