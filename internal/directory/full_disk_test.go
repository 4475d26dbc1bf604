package directory

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fill makes a member unable to store departures: a directory has the name of the file, or
// that of the file that is written first.
func (g *memberGroup) fill(name string, rename bool) {
	blocked := departuresFile + newSuffix
	if rename {
		blocked = departuresFile
	}
	path := filepath.Join(g.members[name].dir, blocked)
	if err := os.Rename(path, path+".moved"); err != nil && !os.IsNotExist(err) {
		g.t.Fatal(err)
	}
	qt.Assert(g.t, os.MkdirAll(filepath.Join(path, "x"), 0o700), qt.IsNil)
}

// free undoes fill.
func (g *memberGroup) free(name string) {
	for _, blocked := range []string{departuresFile, departuresFile + newSuffix} {
		path := filepath.Join(g.members[name].dir, blocked)
		if info, err := os.Stat(path); err != nil || !info.IsDir() {
			continue
		}
		qt.Assert(g.t, os.RemoveAll(path), qt.IsNil)
		if err := os.Rename(path+".moved", path); err != nil && !os.IsNotExist(err) {
			g.t.Fatal(err)
		}
	}
}

// awaitStored waits until a member has stored a number of departures.
func (g *memberGroup) awaitStored(name string, departures int) {
	g.t.Helper()
	for range 300 {
		if stored := newDepartureStore(g.members[name].dir, nil).load(); len(stored) >= departures {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.t.Fatalf("%s has not stored %d departures", name, departures)
}

// TestDepartureStoredAfterFullDisk guards against a departure that a member whose disk was
// full keeps in memory only: the members that have stored it may lose their disks one after
// the other.
func TestDepartureStoredAfterFullDisk(t *testing.T) {
	for _, rename := range []bool{false, true} {
		t.Run(fmt.Sprintf("rename=%v", rename), func(t *testing.T) {
			t.Parallel()
			g := newMemberGroup(t, 3)
			e := endpoint("a", 5, 1)
			g.announce(e)
			g.fill("m2", rename)
			qt.Assert(t, g.depart("m0", e, "leaves"), qt.IsTrue)
			g.awaitReconciled("m2", 1)
			time.Sleep(100 * time.Millisecond)
			g.free("m2")
			g.awaitStored("m2", 1)
		})
	}
}

// TestDeparturesUnansweredAfterFullDisks guards against departures that are not acknowledged,
// or not stored everywhere, after the disks of the members were full one after the other.
func TestDeparturesUnansweredAfterFullDisks(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 5))
			size := 3 + 2*rng.IntN(3)
			g := newMemberGroup(t, size)
			sent, acknowledged := 0, 0
			depart := func(at string) bool {
				e := endpoint(fmt.Sprint("e", sent), 5, 1)
				e.Address = e.Id
				sent++
				g.announce(e)
				ok := g.depart(at, e, "leaves")
				if ok {
					acknowledged++
				}
				return ok
			}
			for _, i := range rng.Perm(size) {
				name := g.voters[i]
				g.fill(name, rng.IntN(2) == 0)
				for range rng.IntN(4) {
					qt.Check(t, depart(g.voters[rng.IntN(size)]), qt.IsTrue, qt.Commentf("%s is full", name))
				}
				if rng.IntN(3) == 0 {
					g.kill(name)
					g.start(name)
				}
				g.free(name)
			}
			for _, name := range g.voters {
				qt.Check(t, depart(name), qt.IsTrue, qt.Commentf("at %s, after the last disk has room", name))
			}
			for _, name := range g.voters {
				g.awaitStored(name, acknowledged)
			}
		})
	}
}
