package control

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/settings"
)

// TestGroupNames guards against a cluster without a holder of model placement
// although a service uses placement, and against one with such a holder although
// no service does.
func TestGroupNames(t *testing.T) {
	for value, want := range map[string][]string{"true": {"s/0", "placement/0"}, "false": {"s/0"}} {
		d, err := settings.Parse("t.yaml", []byte("nodes:\n- {path: /g, kind: group}\n- {path: /g/s, kind: service, set: {placement.enabled: "+value+"}}\n"))
		qt.Assert(t, err, qt.IsNil)
		tree, err := settings.New().Apply(settings.Diff(settings.New(), d, false))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, groupNames(tree.Index()), qt.DeepEquals, want)
	}
}
