package control

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var errFull = errors.New("no space left on device")

// setError makes all writes fail with err, or none with nil.
func (d *memDisk) setError(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.err = err
}

// TestRemovedMemberOfReplacedClusterRejoins guards against a member that is removed while its
// disk is full and does not find the cluster afterwards, because all members that it was
// started with have been replaced since.
func TestRemovedMemberOfReplacedClusterRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReplacingCluster(t, 61)
		defer c.stop()
		c.addInstance("m3")
		c.waitForVoters("m0", "m1", "m2", "m3")
		c.retire("m1")
		c.addInstance("m4")
		c.waitForVoters("m0", "m2", "m3", "m4")
		c.retire("m2")
		c.addInstance("m5")
		c.waitForVoters("m0", "m3", "m4", "m5")
		former := c.id("m0")
		c.disks["m0"].setError(errFull)
		c.requireNewestTable(2)
		time.Sleep(4 * time.Second)
		c.disks["m0"].setError(nil)
		c.waitForVoters("m0", "m3", "m4", "m5")
		qt.Check(t, c.id("m0"), qt.Not(qt.Equals), former)
		c.requireNewestTable(3)
	})
}
