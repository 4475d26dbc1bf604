package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func valid() *Table {
	return &Table{
		Version: 7, KeyRequired: true,
		Routes: []Route{
			{Name: "r1", Host: "a.example", Prefix: "/x/", Kind: Stream, Targets: []Target{{"s", 90}, {"t", 10}}, TimeoutMs: 1000, Attempts: 2},
			{Name: "r2", Host: "a.example", Prefix: "/x/y/", Kind: AtMostOnce, Targets: []Target{{"t", 1}}, TimeoutMs: 1000},
			{Name: "r3", Host: "b.example", Prefix: "/", Kind: Idempotent, Targets: []Target{{"t", 1}}, TimeoutMs: 1000},
		},
		Services:  []Service{{Name: "s", Engine: &Engine{Slots: 4}}, {Name: "t"}},
		Customers: []Customer{{Name: "c", Keys: []string{"k1", "k2"}}, {Name: "d", Keys: []string{"k3"}}},
	}
}

// TestValidate guards against invalid tables that come into force.
func TestValidate(t *testing.T) {
	for _, c := range []struct {
		name    string
		mutate  func(*Table)
		wantErr string
	}{
		{"valid", func(*Table) {}, ""},
		{"no version", func(t *Table) { t.Version = 0 }, ".*version.*"},
		{"unknown service", func(t *Table) { t.Routes[1].Targets[0].Service = "u" }, `.*"u" is not listed`},
		{"same host and prefix", func(t *Table) { t.Routes[1].Prefix = "/x/" }, ".*same host and prefix"},
		{"same host in another case", func(t *Table) { t.Routes[1].Prefix, t.Routes[1].Host = "/x/", "A.example" }, ".*same host and prefix"},
		{"no weight", func(t *Table) { t.Routes[0].Targets = []Target{{"s", 0}} }, ".*add up to 0"},
		{"negative weight", func(t *Table) { t.Routes[0].Targets[0].Weight = -1 }, ".*negative"},
		{"no targets", func(t *Table) { t.Routes[0].Targets = nil }, ".*add up to 0"},
		{"no timeout", func(t *Table) { t.Routes[0].TimeoutMs = 0 }, ".*timeout.*"},
		{"prefix without slash", func(t *Table) { t.Routes[0].Prefix = "/x" }, ".*slash"},
		{"unknown kind", func(t *Table) { t.Routes[0].Kind = "odd" }, ".*kind.*"},
		{"shared key", func(t *Table) { t.Customers[1].Keys = []string{"k1"} }, ".*share a key"},
		{"service twice", func(t *Table) { t.Services[1].Name = "s" }, ".*twice"},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := valid()
			c.mutate(table)
			if c.wantErr == "" {
				qt.Assert(t, table.Validate(), qt.IsNil)
				return
			}
			qt.Assert(t, table.Validate(), qt.ErrorMatches, c.wantErr)
		})
	}
}

// TestMatch guards against a request that matches a shorter prefix or another host.
func TestMatch(t *testing.T) {
	x := NewIndex(valid())
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "r1"}, {"a.example", "/x/y/1", "r2"}, {"A.EXAMPLE:8080", "/x/y/", "r2"},
		{"a.example", "/x", ""}, {"a.example", "/", ""}, {"b.example.", "/anything", "r3"}, {"c.example", "/x/", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			name := ""
			if r := x.Match(c.host, c.path); r != nil {
				name = r.Name
			}
			qt.Assert(t, name, qt.Equals, c.want)
		})
	}
	qt.Assert(t, x.Customer("k2").Name, qt.Equals, "c")
	qt.Assert(t, x.Customer("k9"), qt.IsNil)
}

// TestPick guards against a selection that ignores the weights of the targets.
func TestPick(t *testing.T) {
	r := &valid().Routes[0]
	picked := 0
	for i := range 1000 {
		if r.PickService(float64(i)/1000) == "s" {
			picked++
		}
	}
	qt.Assert(t, picked, qt.Equals, 900)
}

// TestEncodeDecodeRoundTrip guards against a table that changes when it is stored in the log and
// read back.
func TestEncodeDecodeRoundTrip(t *testing.T) {
	table := valid()
	table.SourceDocument = []byte(`{"sent":"as it was"}`)
	b, err := table.Encode()
	qt.Assert(t, err, qt.IsNil)
	decoded, err := Decode(b)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, decoded, qt.DeepEquals, table)
	_, err = Decode(b[:len(b)/2])
	qt.Assert(t, err, qt.IsNotNil)
}
