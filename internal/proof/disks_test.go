package proof

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"

	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// manyChanges is the number of changes before a restart. The required failure
// scenarios include a restart after hundreds of changes.
const manyChanges = 300

// submitChanges makes n consecutive changes to one key and returns the settings
// version of the last one.
func (c *cluster) submitChanges(n int) uint64 {
	s, err := c.status()
	for err != nil {
		s, err = c.status()
	}
	version := s.SettingsVersion
	for i := range n {
		r := c.submitChange(&controlv1.Change{ChangeId: fmt.Sprintf("change-%d-%d", version, i), BaseVersion: version, Actor: "proof",
			Operations: []*controlv1.Operation{{Kind: controlv1.Operation_KEY_SET, Path: contestedPath, Key: contestedKey, Value: strconv.Itoa(1000 + i)}}})
		qt.Assert(c.t, r.Outcome, qt.Equals, controlv1.ChangeResult_ACCEPTED, qt.Commentf("%s", r.Message))
		version = r.Version
	}
	return version
}

// TestRestartAfterManyChanges guards against settings that are lost or reverted
// when all processes are killed at once after hundreds of changes. It also
// guards against applying a change a second time when an operator resends it
// after the restart.
func TestRestartAfterManyChanges(t *testing.T) {
	c := startCluster(t, 3, 0)
	version := c.submitChanges(manyChanges)
	for _, in := range c.instances {
		in.kill()
	}
	start := time.Now()
	for _, in := range c.instances {
		in.start(t)
	}
	c.waitInForce(version, convergenceTimeout)
	t.Logf("settings in force on every instance %v after all processes were started", time.Since(start).Round(time.Millisecond))
	resent := c.submitChange(&controlv1.Change{ChangeId: "change-1-0", BaseVersion: 1, Actor: "proof",
		Operations: []*controlv1.Operation{{Kind: controlv1.Operation_KEY_SET, Path: contestedPath, Key: contestedKey, Value: "1000"}}})
	qt.Check(t, resent.Outcome, qt.Equals, controlv1.ChangeResult_ACCEPTED)
	qt.Check(t, resent.Version, qt.Equals, uint64(2))
	s, err := c.status()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.SettingsVersion, qt.Equals, version)
}

// TestDiskLoss guards against a control member that restarts with an empty data
// directory and votes under its former identity. It also guards against the loss
// of accepted changes when a second member fails right after the first one has
// rejoined.
func TestDiskLoss(t *testing.T) {
	c := startCluster(t, 3, 0)
	version := c.submitChanges(20)
	first := c.leader()
	before, err := c.status()
	qt.Assert(t, err, qt.IsNil)
	formerStatus := memberStatus(before, first)
	first.kill()
	qt.Assert(t, os.RemoveAll(filepath.Join(c.dir, first.name)), qt.IsNil)
	first.start(t)
	var newStatus *controlv1.MemberStatus
	eventually(t, convergenceTimeout, "the first member to rejoin as a voter", func() error {
		s, err := c.status()
		if err != nil {
			return err
		}
		newStatus = memberStatus(s, first)
		if newStatus == nil || !newStatus.Voter || newStatus.Id == formerStatus.Id {
			return fmt.Errorf("the member is not a voter under a new identity yet")
		}
		return nil
	})
	c.removeMember(formerStatus.Id)
	second := c.instances[0]
	if second == first {
		second = c.instances[1]
	}
	second.kill()
	eventually(t, convergenceTimeout, "a leader after the second member was killed", func() error {
		s, err := c.status()
		if err != nil {
			return err
		}
		if s.SettingsVersion < version {
			t.Fatalf("version %d was accepted, but the members have version %d", version, s.SettingsVersion)
		}
		return nil
	})
	c.submitChanges(1)
}

// memberStatus returns the status of the instance as a control member, or nil if
// the instance is not listed.
func memberStatus(s *controlv1.StatusResponse, in *instance) *controlv1.MemberStatus {
	var out *controlv1.MemberStatus
	for _, m := range s.Members {
		if m.Instance == in.name {
			// The former identity of the instance may be listed next to the new
			// one. Select the identity with the highest match index.
			if out == nil || m.Match >= out.Match {
				out = m
			}
		}
	}
	return out
}

// removeMember removes a member from the control group and waits until the
// leader no longer lists it.
func (c *cluster) removeMember(id uint64) {
	c.t.Helper()
	eventually(c.t, convergenceTimeout, "removal of the former member", func() error {
		s, err := c.status()
		if err != nil {
			return err
		}
		listed := false
		for _, m := range s.Members {
			listed = listed || m.Id == id
		}
		if !listed {
			return nil
		}
		for _, in := range c.instances {
			if in.peerAddress == s.LeaderAddress {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				_, err = in.controlClient().Member(ctx, connect.NewRequest(&controlv1.MemberRequest{Id: id, Remove: true}))
				cancel()
			}
		}
		return fmt.Errorf("the member is still listed, last removal error: %v", err)
	})
}
