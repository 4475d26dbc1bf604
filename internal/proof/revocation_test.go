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

// fetchModelsStatus requests the model list with the given key and returns the
// HTTP status code, or 0 if there is no response.
func (in *instance) fetchModelsStatus(key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.callerAddress+"/v1/models", nil)
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

// TestRevokedKey guards against an entry that serves requests under settings that
// were replaced more than 5 s ago. This could happen to an entry that is frozen
// during the change and then resumes, to one that polls a frozen control member,
// and to one that polls a follower. Each round freezes a different instance and
// replaces the customer's key.
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
		revokedKey := fmt.Sprintf("key-%d", round)
		if round == 0 {
			revokedKey = callerKey
		}
		frozen.signal(syscall.SIGSTOP)
		r := c.submitChange(&controlv1.Change{ChangeId: uuid.NewString(), BaseVersion: version, Actor: "proof",
			Operations: []*controlv1.Operation{{Kind: controlv1.Operation_KEY_SET, Path: contestedPath, Key: "key.sha256",
				Value: fmt.Sprintf("%x", settings.HashKey(fmt.Sprintf("key-%d", round+1)))}}})
		accepted := time.Now()
		qt.Assert(t, r.Outcome, qt.Equals, controlv1.ChangeResult_ACCEPTED, qt.Commentf("%s", r.Message))
		version = r.Version
		time.Sleep(maxInForceDelay)
		// The process resumes with a feed that was fresh when it was frozen.
		frozen.signal(syscall.SIGCONT)
		var probes sync.WaitGroup
		for _, in := range c.instances {
			probes.Go(func() {
				for time.Since(accepted) < maxInForceDelay+time.Second {
					if status := in.fetchModelsStatus(revokedKey); status == http.StatusOK {
						t.Errorf("round %d: %s served a revoked key %v after the change was accepted", round, in.name, time.Since(accepted))
						return
					}
				}
			})
		}
		probes.Wait()
		eventually(t, convergenceTimeout, "every instance to accept the new key", func() error {
			for _, in := range c.instances {
				if status := in.fetchModelsStatus(fmt.Sprintf("key-%d", round+1)); status != http.StatusOK {
					return fmt.Errorf("%s responds with status %d", in.name, status)
				}
			}
			return nil
		})
	}
}
