package settings

import (
	"encoding/hex"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

var customerCounts = []int{100, 3300, 33000}

func customerName(i int) string { return fmt.Sprintf("customer-%05d", i) }

// settingsWithCustomers returns settings with the given number of customers in
// groups of 1,000. Each customer has one key hash and two limits.
func settingsWithCustomers(customers int) *controlv1.Settings {
	settings := mustTree(&testing.B{}, sampleYAML).Export()
	for i := range customers {
		group := fmt.Sprintf("/customers/g%d", i/1000)
		if i%1000 == 0 {
			settings.Nodes = append(settings.Nodes, &controlv1.Node{Path: group, Kind: "group"})
		}
		hash := HashKey(customerName(i))
		settings.Nodes = append(settings.Nodes, &controlv1.Node{Path: group + "/" + customerName(i), Kind: "customer",
			Values: map[string]string{KeyHashes: hex.EncodeToString(hash[:]), KeyConcurrency: "20", KeyWeight: "3"}})
	}
	return settings
}

// benchmarkPerSize runs a benchmark for each number in customerCounts. lastPath is
// the path of the last customer.
func benchmarkPerSize(b *testing.B, run func(b *testing.B, settings *controlv1.Settings, t *Tree, lastPath string)) {
	for _, n := range customerCounts {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			settings := settingsWithCustomers(n)
			t, err := FromProto(settings)
			if err == nil {
				err = t.Validate()
			}
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			b.ResetTimer()
			run(b, settings, t, settings.Nodes[len(settings.Nodes)-1].Path)
		})
	}
}

func BenchmarkFromProto(b *testing.B) {
	benchmarkPerSize(b, func(b *testing.B, settings *controlv1.Settings, _ *Tree, _ string) {
		for b.Loop() {
			t, _ := FromProto(settings)
			t.Index()
		}
	})
}

func BenchmarkIndex(b *testing.B) {
	benchmarkPerSize(b, func(b *testing.B, _ *controlv1.Settings, t *Tree, _ string) {
		for b.Loop() {
			t.Index()
		}
	})
}

func BenchmarkOneChange(b *testing.B) {
	benchmarkPerSize(b, func(b *testing.B, _ *controlv1.Settings, t *Tree, lastPath string) {
		for b.Loop() {
			next, err := t.Apply([]*controlv1.Operation{setOp(lastPath, KeyWeight, "4")})
			if err != nil {
				b.Fatal(err)
			}
			next.Index()
		}
	})
}

func BenchmarkValidate(b *testing.B) {
	benchmarkPerSize(b, func(b *testing.B, _ *controlv1.Settings, t *Tree, _ string) {
		for b.Loop() {
			if err := t.Validate(); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkExport(b *testing.B) {
	benchmarkPerSize(b, func(b *testing.B, _ *controlv1.Settings, t *Tree, _ string) {
		for b.Loop() {
			data, _ := proto.Marshal(t.Export())
			b.ReportMetric(float64(len(data)), "wire-bytes")
		}
	})
}

// BenchmarkRequest measures the look-ups of one request: the customer by its key
// hash, the policy of the customer and the policy of the class.
func BenchmarkRequest(b *testing.B) {
	benchmarkPerSize(b, func(b *testing.B, _ *controlv1.Settings, t *Tree, lastPath string) {
		x := t.Index()
		hash := HashKey(nameOf(lastPath))
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
