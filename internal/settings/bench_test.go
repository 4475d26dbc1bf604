package settings

import (
	"encoding/hex"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

var benchSizes = []int{100, 3300, 33000}

func customerName(i int) string { return fmt.Sprintf("customer-%05d", i) }

// fleet returns settings with the given number of customers, each with one key
// hash and two limits, in groups of 1,000.
func fleet(customers int) *controlv1.Settings {
	s := mustTree(&testing.B{}, sample).Export()
	for i := range customers {
		group := fmt.Sprintf("/customers/g%d", i/1000)
		if i%1000 == 0 {
			s.Nodes = append(s.Nodes, &controlv1.Node{Path: group, Kind: "group"})
		}
		hash := HashKey(customerName(i))
		s.Nodes = append(s.Nodes, &controlv1.Node{Path: group + "/" + customerName(i), Kind: "customer",
			Values: map[string]string{KeyHashes: hex.EncodeToString(hash[:]), KeyConcurrency: "20", KeyWeight: "3"}})
	}
	return s
}

func perSize(b *testing.B, run func(b *testing.B, s *controlv1.Settings, t *Tree, last string)) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			s := fleet(n)
			t, err := FromProto(s)
			if err == nil {
				err = t.Validate()
			}
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			b.ResetTimer()
			run(b, s, t, s.Nodes[len(s.Nodes)-1].Path)
		})
	}
}

func BenchmarkFromProto(b *testing.B) {
	perSize(b, func(b *testing.B, s *controlv1.Settings, _ *Tree, _ string) {
		for b.Loop() {
			t, _ := FromProto(s)
			t.Index()
		}
	})
}

func BenchmarkIndex(b *testing.B) {
	perSize(b, func(b *testing.B, _ *controlv1.Settings, t *Tree, _ string) {
		for b.Loop() {
			t.Index()
		}
	})
}

func BenchmarkOneChange(b *testing.B) {
	perSize(b, func(b *testing.B, _ *controlv1.Settings, t *Tree, last string) {
		for b.Loop() {
			next, err := t.Apply([]*controlv1.Operation{setOp(last, KeyWeight, "4")})
			if err != nil {
				b.Fatal(err)
			}
			next.Index()
		}
	})
}

func BenchmarkValidate(b *testing.B) {
	perSize(b, func(b *testing.B, _ *controlv1.Settings, t *Tree, _ string) {
		for b.Loop() {
			if err := t.Validate(); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkExport(b *testing.B) {
	perSize(b, func(b *testing.B, _ *controlv1.Settings, t *Tree, _ string) {
		for b.Loop() {
			data, _ := proto.Marshal(t.Export())
			b.ReportMetric(float64(len(data)), "wire-bytes")
		}
	})
}

// One request: key, customer policy and class policy.
func BenchmarkRequest(b *testing.B) {
	perSize(b, func(b *testing.B, _ *controlv1.Settings, t *Tree, last string) {
		x := t.Index()
		hash := HashKey(nameOf(last))
		for b.Loop() {
			customer, ok := x.CustomerByKeyHash(hash)
			if !ok {
				b.Fatal("the key is unknown")
			}
			x.CustomerPolicy(customer)
			x.ClassPolicy("pool", "chat", customer)
		}
	})
}
