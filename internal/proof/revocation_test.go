package proof

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"auburnstep.example/auburnstep/internal/settings"

	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// models asks an instance for its models with a key and returns the status, 0
// without an answer.
func (in *instance) models(key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.caller+"/v1/models", nil)
	if err != nil {
		return 0
	}
	r.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	res.Body.Close()
	return res.StatusCode
}

// TestRevokedKey guards against an entry that serves on settings which were
// replaced more than 5 s ago: one that is frozen during the change and wakes,
// one whose member is frozen, and one that polls a follower. In each round the
// customer's key is replaced while another instance is frozen.
func TestRevokedKey(t *testing.T) {
	c := startCluster(t, 5, 0)
	s, err := c.status()
	qt.Assert(t, err, qt.IsNil)
	version := s.SettingsVersion
	for round := range 5 {
		frozen := c.instances[round]
		if round == 0 {
			frozen = c.leader()
		}
		old := fmt.Sprintf("key-%d", round)
		if round == 0 {
			old = callerKey
		}
		frozen.signal(syscall.SIGSTOP)
		r := c.change(&controlv1.Change{ChangeId: uuid.NewString(), BaseVersion: version, Actor: "proof",
			Operations: []*controlv1.Operation{{Kind: controlv1.Operation_KEY_SET, Path: contestedPath, Key: "key.sha256",
				Value: fmt.Sprintf("%x", settings.HashKey(fmt.Sprintf("key-%d", round+1)))}}})
		accepted := time.Now()
		qt.Assert(t, r.Outcome, qt.Equals, controlv1.ChangeResult_ACCEPTED, qt.Commentf("%s", r.Message))
		version = r.Version
		time.Sleep(inForceBound)
		// The process wakes with a feed that was fresh when it was frozen.
		frozen.signal(syscall.SIGCONT)
		var probes sync.WaitGroup
		for _, in := range c.instances {
			probes.Go(func() {
				for time.Since(accepted) < inForceBound+time.Second {
					if status := in.models(old); status == http.StatusOK {
						t.Errorf("round %d: %s served a revoked key %v after the change was accepted", round, in.name, time.Since(accepted))
						return
					}
				}
			})
		}
		probes.Wait()
		eventually(t, settleBound, "the new key everywhere", func() error {
			for _, in := range c.instances {
				if status := in.models(fmt.Sprintf("key-%d", round+1)); status != http.StatusOK {
					return fmt.Errorf("%s answers %d", in.name, status)
				}
			}
			return nil
		})
	}
}
