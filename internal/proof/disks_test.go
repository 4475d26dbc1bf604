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

// manyChanges is "hundreds of changes" of the users' failure list.
const manyChanges = 300

// changeMany makes n changes of one key and returns the last version.
func (c *cluster) changeMany(n int) uint64 {
	s, err := c.status()
	for err != nil {
		s, err = c.status()
	}
	version := s.SettingsVersion
	for i := range n {
		r := c.change(&controlv1.Change{ChangeId: fmt.Sprintf("change-%d-%d", version, i), BaseVersion: version, Actor: "proof",
			Operations: []*controlv1.Operation{{Kind: controlv1.Operation_KEY_SET, Path: contestedPath, Key: contestedKey, Value: strconv.Itoa(1000 + i)}}})
		qt.Assert(c.t, r.Outcome, qt.Equals, controlv1.ChangeResult_ACCEPTED, qt.Commentf("%s", r.Message))
		version = r.Version
	}
	return version
}

// TestRestartAfterManyChanges guards against settings that are lost or revert
// when all processes are killed at once after hundreds of changes, and against
// a resent change that is applied again after that.
func TestRestartAfterManyChanges(t *testing.T) {
	c := startCluster(t, 3, 0)
	version := c.changeMany(manyChanges)
	for _, in := range c.instances {
		in.kill()
	}
	start := time.Now()
	for _, in := range c.instances {
		in.start(t)
	}
	c.inForce(version, settleBound)
	t.Logf("in force everywhere %v after the start of all processes", time.Since(start).Round(time.Millisecond))
	again := c.change(&controlv1.Change{ChangeId: "change-1-0", BaseVersion: 1, Actor: "proof",
		Operations: []*controlv1.Operation{{Kind: controlv1.Operation_KEY_SET, Path: contestedPath, Key: contestedKey, Value: "1000"}}})
	qt.Check(t, again.Outcome, qt.Equals, controlv1.ChangeResult_ACCEPTED)
	qt.Check(t, again.Version, qt.Equals, uint64(2))
	s, err := c.status()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.SettingsVersion, qt.Equals, version)
}

// TestLostDisk guards against a member that returns empty and votes as its
// former self, and against the loss of accepted changes when a second member is
// lost right after the first was repaired.
func TestLostDisk(t *testing.T) {
	c := startCluster(t, 3, 0)
	version := c.changeMany(20)
	lost := c.leader()
	before, err := c.status()
	qt.Assert(t, err, qt.IsNil)
	old := memberOf(before, lost)
	lost.kill()
	qt.Assert(t, os.RemoveAll(filepath.Join(c.dir, lost.name)), qt.IsNil)
	lost.start(t)
	var repaired *controlv1.MemberStatus
	eventually(t, settleBound, "the repaired member as a voter", func() error {
		s, err := c.status()
		if err != nil {
			return err
		}
		repaired = memberOf(s, lost)
		if repaired == nil || !repaired.Voter || repaired.Id == old.Id {
			return fmt.Errorf("not yet a voter under a new identity")
		}
		return nil
	})
	c.removeMember(old.Id)
	second := c.instances[0]
	if second == lost {
		second = c.instances[1]
	}
	second.kill()
	eventually(t, settleBound, "the settings after the second loss", func() error {
		s, err := c.status()
		if err != nil {
			return err
		}
		if s.SettingsVersion < version {
			t.Fatalf("version %d was accepted, the members have %d", version, s.SettingsVersion)
		}
		return nil
	})
	c.changeMany(1)
}

func memberOf(s *controlv1.StatusResponse, in *instance) *controlv1.MemberStatus {
	var out *controlv1.MemberStatus
	for _, m := range s.Members {
		if m.Instance == in.name {
			// A former identity may still be listed next to the new one.
			if out == nil || m.Match >= out.Match {
				out = m
			}
		}
	}
	return out
}

func (c *cluster) removeMember(id uint64) {
	c.t.Helper()
	eventually(c.t, settleBound, "removal of the lost member", func() error {
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
			if in.peer == s.LeaderAddress {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				_, err = in.control().Member(ctx, connect.NewRequest(&controlv1.MemberRequest{Id: id, Remove: true}))
				cancel()
			}
		}
		return fmt.Errorf("still listed: %v", err)
	})
}
