package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"
)

func quoteMeta(s string) string { return regexp.QuoteMeta(s) }

// TestDeclarationErrors guards the error messages for mistakes in declarations.
// Operators need the file, the line and the allowed values to correct a mistake.
func TestDeclarationErrors(t *testing.T) {
	for name, tc := range map[string]struct{ yaml, err string }{
		"unknown key":       {"nodes:\n- path: /a\n  kind: group\n  set:\n    dedline: 3s", `f:5: unknown key "dedline" (did you mean "deadline"?)`},
		"unknown kind":      {"nodes:\n- path: /a\n  kind: servise", `f:3: unknown kind "servise", allowed are group, service, class, customer (did you mean "service"?)`},
		"unknown field":     {"nodes:\n- path: /a\n  kind: group\n  sets: {}", `f:4: unknown field "sets", a node has the fields path, kind, set, remove (did you mean "set"?)`},
		"unknown top field": {"node: []", `f:1: unknown field "node", a document has only the field nodes (did you mean "nodes"?)`},
		"no unit":           {"nodes:\n- {path: /a, kind: group, set: {deadline: 30}}", `f:2: deadline: "30" is not a duration with a unit, such as 450ms, 20s or 24h`},
		"no size unit":      {"nodes:\n- {path: /a, kind: group, set: {body.max: 4}}", `f:2: body.max: "4" is not a size with a unit, such as 512KiB or 4MiB`},
		"range":             {"nodes:\n- {path: /a, kind: group, set: {tier: 3}}", `f:2: tier: 3 is outside 0 to 2`},
		"enumeration":       {"nodes:\n- {path: /a, kind: service, set: {kind: engin}}", `f:2: kind: "engin" is not one of engine, plain (did you mean "engine"?)`},
		"wrong node kind":   {"nodes:\n- {path: /a, kind: customer, set: {tier: 1}}", `f:2: tier may not be set on a customer, only on a group, service, class`},
		"duplicate node":    {"nodes:\n- {path: /a, kind: group}\n---\nnodes:\n- {path: /a, kind: group}", `f:5: node /a is already declared at f:2`},
		"duplicate key":     {"nodes:\n- path: /a\n  kind: group\n  kind: group", `f:4: .*already defined.*`},
		"path":              {"nodes:\n- path: /A\n  kind: group", `f:2: malformed settings: path "/A": name "A" must be .*`},
		"no path":           {"nodes:\n- kind: group", `f:2: a node needs the field path`},
		"no kind":           {"nodes:\n- path: /a", `f:2: node /a needs the field kind: group, service, class, customer`},
		"anchor":            {"nodes:\n- path: /a\n  kind: &k group", `f:3: unknown kind "", allowed are .*`},
		"syntax":            {"nodes:\n- path: [", `f:2: .*`},
		"hash":              {"nodes:\n- {path: /a, kind: customer, set: {key.sha256: [abc]}}", `f:2: key.sha256: an item is not a sha256 hash of 64 hex digits`},
		"list as scalar":    {"nodes:\n- {path: /a, kind: group, set: {tier: [1]}}", `f:2: tier must be a plain integer`},
		"removed with set":  {"nodes:\n- {path: /a, remove: true, set: {tier: 1}}", `f:2: node /a is removed, so it cannot have values`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("f", []byte(tc.yaml))
			qt.Assert(t, err, qt.ErrorMatches, regexp.MustCompile(`\\\.\\\*`).ReplaceAllString(quoteMeta(tc.err), ".*"))
		})
	}
}

// TestCanonicalValues guards the canonical texts of values. Diff compares them, so
// two texts with the same meaning must have the same canonical text.
func TestCanonicalValues(t *testing.T) {
	for _, tc := range []struct{ key, input, canonical string }{
		{KeyDeadline, "1h30m", "90m"}, {KeyDeadline, "0.45s", "450ms"}, {KeyQueueWait, "0ms", "0s"}, {KeyBookingRetention, "24h0m", "24h"},
		{KeyBodyMax, "2048KiB", "2MiB"}, {KeyBodyMax, "1 MB", "1000000B"}, {KeyShareMin, "7%", "0.07"}, {KeyShareMin, "-0", "0"},
		{KeyTier, "+1", "1"}, {KeyModels, "a, b", "a,b"},
	} {
		k, _ := KeyByName(tc.key)
		v, err := k.Parse(tc.input)
		qt.Assert(t, err, qt.IsNil, qt.Commentf("%s %s", tc.key, tc.input))
		qt.Check(t, v.String(), qt.Equals, tc.canonical)
		reparsed, err := k.Parse(v.String())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, reparsed, qt.Equals, v)
	}
}

// TestLoadDirectory checks that Load reads the .yaml and .yml files of a directory
// and its subdirectories, skips hidden and other files, sorts the nodes by path,
// and reports a node that is declared twice and a directory without declarations.
func TestLoadDirectory(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	write := func(name, text string) {
		c.Assert(os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o755), qt.IsNil)
		c.Assert(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644), qt.IsNil)
	}
	write("b.yaml", "nodes:\n- {path: /a/b, kind: group}\n")
	write("sub/a.yml", "nodes:\n- {path: /a, kind: group}\n")
	write(".git/c.yaml", "nodes:\n- {path: /a, kind: group}\n")
	write(".#b.yaml", "half a fi")
	write("README", "not: yaml: at all")
	d, err := Load(dir)
	c.Assert(err, qt.IsNil)
	c.Assert(d.Nodes, qt.HasLen, 2)
	c.Assert(d.Nodes[0].Path, qt.Equals, "/a")
	_, err = Load(dir, filepath.Join(dir, "b.yaml"))
	c.Assert(err, qt.ErrorMatches, ".*b.yaml:2: node /a/b is already declared at .*b.yaml:2")
	_, err = Load(t.TempDir())
	c.Assert(err, qt.ErrorMatches, ".*no file that ends in .yaml or .yml")
}

// FuzzParse guards against a file that makes the loader panic, and against
// declarations that are loaded and applied without an error but do not give the
// declared tree.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleYAML))
	f.Add([]byte("nodes:\n- {path: /, set: {tier: null}}\n---\nnodes: []"))
	f.Add([]byte("nodes: &a [*a]"))
	f.Add([]byte("? a\n: - !!str b\n<<: {}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse("f", data)
		if err != nil {
			return
		}
		tree, err := New().Apply(Diff(New(), d, true))
		if err != nil {
			return
		}
		qt.Assert(t, Diff(tree, d, true), qt.HasLen, 0)
	})
}
