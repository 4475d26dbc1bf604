package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestExamples guards against examples that are invalid, that do not have the
// services and classes of the design page, or whose comments state bearer keys
// that do not match the key hashes.
func TestExamples(t *testing.T) {
	for dir, tc := range map[string]struct {
		classes    map[string][]string
		atMostOnce []string // classes whose requests run at most once
	}{
		"cerapulita": {map[string][]string{"auburn-pool": {"crew-chat", "schedule"}, "rota-app": {"booking", "lookup"}}, []string{"booking"}},
		"pedra-lisa": {map[string][]string{"auburnstep-sort": {"note"}, "lotes": {"reservation", "stock"}}, []string{"reservation"}},
	} {
		t.Run(dir, func(t *testing.T) {
			c := qt.New(t)
			path := filepath.Join("../../examples", dir)
			d, err := Load(path)
			c.Assert(err, qt.IsNil)
			tree, err := New().Apply(Diff(New(), d, true))
			c.Assert(d.Locate(err), qt.IsNil)
			x := tree.Index()
			classes := map[string][]string{}
			var atMostOnce []string
			for _, s := range x.Services() {
				classes[s.Name] = s.Classes
				for _, name := range s.Classes {
					if p, _ := x.ClassPolicy(s.Name, name, ""); !p.Idempotent {
						atMostOnce = append(atMostOnce, name)
					}
				}
			}
			c.Assert(classes, qt.DeepEquals, tc.classes)
			c.Assert(atMostOnce, qt.DeepEquals, tc.atMostOnce)
			text, err := os.ReadFile(filepath.Join(path, "customers.yaml"))
			c.Assert(err, qt.IsNil)
			keys := regexp.MustCompile(`# bearer key: (\S+)\n  - path: \S+/(\S+)\n`).FindAllStringSubmatch(string(text), -1)
			c.Assert(keys, qt.HasLen, 10)
			for _, key := range keys {
				customer, ok := x.CustomerByKeyHash(HashKey(key[1]))
				c.Assert(ok, qt.IsTrue)
				c.Assert(customer, qt.Equals, key[2])
			}
		})
	}
}
