package wal_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/wal"
)

const benchmarkEntryBytes = 256

func benchmarkEntries(first uint64, n int) []consensus.Entry {
	e := make([]consensus.Entry, n)
	for i := range e {
		e[i] = consensus.Entry{Index: first + uint64(i), Term: 1, Data: make([]byte, benchmarkEntryBytes)}
	}
	return e
}

func BenchmarkSave(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			log, _, err := wal.Open(b.TempDir(), wal.Options{})
			if err != nil {
				b.Fatal(err)
			}
			next := uint64(1)
			for b.Loop() {
				if err := log.Save(&consensus.HardState{Term: 1}, benchmarkEntries(next, n)); err != nil {
					b.Fatal(err)
				}
				next += uint64(n)
			}
			_ = log.Close()
		})
	}
}

func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			path := b.TempDir()
			log, _, err := wal.Open(path, wal.Options{})
			for i := 0; err == nil && i < n; i += 10 {
				err = log.Save(&consensus.HardState{Term: 1}, benchmarkEntries(uint64(i+1), 10))
			}
			if err != nil {
				b.Fatal(err)
			}
			_ = log.Close()
			stored := diskBytes(b, path)
			for b.Loop() {
				log, r, err := wal.Open(path, wal.Options{})
				if err != nil || len(r.Entries) != n {
					b.Fatal(err, len(r.Entries))
				}
				_ = log.Close()
			}
			b.ReportMetric(float64(stored), "disk-bytes")
		})
	}
}

func diskBytes(b *testing.B, path string) (total int) {
	names, err := wal.OS{}.List(path)
	for _, name := range names {
		var contents []byte
		if err == nil {
			contents, err = os.ReadFile(filepath.Join(path, name))
		}
		total += len(contents)
	}
	if err != nil {
		b.Fatal(err)
	}
	return total
}
