package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"auburnstep.example/auburnstep/internal/daemon"
	"auburnstep.example/auburnstep/internal/fakeengine"
	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
	"auburnstep.example/auburnstep/internal/rpc/controlv1/controlv1connect"
	"auburnstep.example/auburnstep/internal/settings"
)

// roleVariable makes the test binary run as a daemon, so that the tests need
// no other program.
const roleVariable = "AUBURNSTEP_PROOF_DAEMON"

func TestMain(m *testing.M) {
	if os.Getenv(roleVariable) != "" {
		os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// Bounds from the target and the design, not from measurements.
const (
	inForceBound = 5 * time.Second
	leaveBound   = 2 * time.Second
	settleBound  = 20 * time.Second
)

const callerKey = "proof-key"

func declarations(t *testing.T) []*controlv1.Operation {
	t.Helper()
	h := settings.HashKey(callerKey)
	d, err := settings.Parse("proof.yaml", fmt.Appendf(nil, `
nodes:
  - {path: /services, kind: group}
  - {path: /services/auburn-pool, kind: service, set: {kind: engine, models: [wax-1], class.default: crew-chat, endpoint.idle_timeout: 1s, retry.budget: 1}}
  - {path: /services/auburn-pool/crew-chat, kind: class, set: {tier: 2, idempotent: true, deadline: 30s, queue.wait: 20s}}
  - {path: /services/rota-app, kind: service, set: {kind: plain, endpoint.idle_timeout: 1s, retry.budget: 1}}
  - {path: /services/rota-app/booking, kind: class, set: {tier: 0, deadline: 10s, queue.wait: 5s}}
  - {path: /customers, kind: group}
  - {path: /customers/torino, kind: customer, set: {key.sha256: [%x]}}
`, h))
	qt.Assert(t, err, qt.IsNil)
	return settings.Diff(settings.New(), d, false)
}

// instance is one daemon process.
type instance struct {
	name, caller, peer string
	args               []string
	log                string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// cluster is a set of daemon processes on loopback.
type cluster struct {
	t         *testing.T
	dir       string
	instances []*instance
}

// nextPort counts up from below the range from which the kernel draws ports for
// outgoing connections. A port of that range could be taken by a connection
// while the instance that listens on it is restarted.
var nextPort = firstPort + os.Getpid()%portRanges*portRange

// Runs of several checkouts on one machine use different ranges.
const (
	firstPort  = 21000
	portRange  = 500
	portRanges = 20
)

func freeAddress(t *testing.T) string {
	t.Helper()
	for last := nextPort + portRange; nextPort < last; {
		nextPort++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort))
		if err == nil {
			defer l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}

// startCluster starts n instances, the first three of them control members, and
// applies the declarations.
func startCluster(t *testing.T, n int, drainWait time.Duration) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir()}
	var members []string
	for i := range n {
		in := &instance{name: fmt.Sprintf("instance-%d", i), caller: freeAddress(t), peer: freeAddress(t)}
		in.log = filepath.Join(c.dir, in.name+".log")
		if i < 3 {
			members = append(members, in.peer)
		}
		c.instances = append(c.instances, in)
	}
	for i, in := range c.instances {
		in.args = []string{
			"--instance", in.name, "--failure-domain", []string{"nord-a", "nord-b", "nord-c"}[i%3], "--listen", in.caller,
			"--peer-listen", in.peer, "--peers", strings.Join(members, ","), "--drain-wait", drainWait.String(),
		}
		if i < 3 {
			in.args = append(in.args, "--data", filepath.Join(c.dir, in.name), "--initial-members", strings.Join(members, ","))
		}
		in.start(t)
	}
	t.Cleanup(c.stop)
	c.apply(declarations(t))
	return c
}

func (c *cluster) stop() {
	for _, in := range c.instances {
		in.kill()
	}
	if c.t.Failed() {
		for _, in := range c.instances {
			text, _ := os.ReadFile(in.log)
			lines := strings.Split(strings.TrimSpace(string(text)), "\n")
			c.t.Logf("%s:\n%s", in.name, strings.Join(lines[max(0, len(lines)-15):], "\n"))
		}
	}
}

func (in *instance) start(t *testing.T) {
	t.Helper()
	log, err := os.OpenFile(in.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	qt.Assert(t, err, qt.IsNil)
	defer log.Close()
	cmd := exec.Command(os.Args[0], in.args...)
	cmd.Env = append(os.Environ(), roleVariable+"=1")
	cmd.Stdout, cmd.Stderr = log, log
	qt.Assert(t, cmd.Start(), qt.IsNil)
	in.mu.Lock()
	in.cmd = cmd
	in.mu.Unlock()
}

func (in *instance) signal(s os.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.cmd != nil {
		_ = in.cmd.Process.Signal(s)
	}
}

// kill ends the process without notice.
func (in *instance) kill() {
	in.signal(syscall.SIGCONT)
	in.signal(syscall.SIGKILL)
	in.wait()
}

// wait returns the exit error of the process.
func (in *instance) wait() error {
	in.mu.Lock()
	cmd := in.cmd
	in.cmd = nil
	in.mu.Unlock()
	if cmd == nil {
		return nil
	}
	return cmd.Wait()
}

func (in *instance) control() controlv1connect.ControlClient {
	return controlv1connect.NewControlClient(http.DefaultClient, "http://"+in.peer)
}

// eventually calls f until it succeeds or the bound is over.
func eventually(t *testing.T, bound time.Duration, what string, f func() error) {
	t.Helper()
	deadline := time.Now().Add(bound)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s within %v: %v", what, bound, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// status asks the leader, wherever it is.
func (c *cluster) status() (*controlv1.StatusResponse, error) {
	for _, in := range c.instances[:3] {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		res, err := in.control().Status(ctx, connect.NewRequest(&controlv1.StatusRequest{}))
		cancel()
		if err == nil && res.Msg.LeaderAddress == in.peer {
			return res.Msg, nil
		}
	}
	return nil, fmt.Errorf("no instance says that it leads")
}

// leader returns the instance that leads.
func (c *cluster) leader() *instance {
	var out *instance
	eventually(c.t, settleBound, "a leader", func() error {
		s, err := c.status()
		if err != nil {
			return err
		}
		for _, in := range c.instances {
			if in.peer == s.LeaderAddress {
				out = in
			}
		}
		return nil
	})
	return out
}

// holder returns the instance that schedules a group.
func (c *cluster) holder(group string) *instance {
	var out *instance
	eventually(c.t, settleBound, "a scheduler of "+group, func() error {
		s, err := c.status()
		if err != nil {
			return err
		}
		for _, a := range s.Assignments {
			for _, in := range c.instances {
				if a.Group == group && a.Instance == in.name {
					out = in
					return nil
				}
			}
		}
		return fmt.Errorf("no holder")
	})
	return out
}

// change sends one change to the leader and repeats it under its id until
// there is a result.
func (c *cluster) change(ch *controlv1.Change) *controlv1.ChangeResult {
	var out *controlv1.ChangeResult
	eventually(c.t, settleBound, "a result of the change", func() error {
		for _, in := range c.instances[:3] {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			res, err := in.control().Change(ctx, connect.NewRequest(&controlv1.ChangeRequest{Change: ch}))
			cancel()
			if err == nil && res.Msg.Result != nil {
				out = res.Msg.Result
				return nil
			}
		}
		return fmt.Errorf("no leader answered")
	})
	return out
}

func (c *cluster) apply(ops []*controlv1.Operation) {
	c.t.Helper()
	r := c.change(&controlv1.Change{ChangeId: uuid.NewString(), Actor: "proof", Operations: ops})
	qt.Assert(c.t, r.Outcome, qt.Equals, controlv1.ChangeResult_ACCEPTED, qt.Commentf("%s", r.Message))
	c.inForce(r.Version, settleBound)
}

// inForce waits until every instance reports the version.
func (c *cluster) inForce(version uint64, bound time.Duration) {
	c.t.Helper()
	eventually(c.t, bound, "settings in force", func() error {
		s, err := c.status()
		if err != nil {
			return err
		}
		n := 0
		for _, e := range s.Entries {
			if e.SettingsVersion >= version {
				n++
			}
		}
		if n < len(c.instances) {
			return fmt.Errorf("%d of %d instances have version %d", n, len(c.instances), version)
		}
		return nil
	})
}

// endpoint starts a stand-in in this process and waits for its slots.
func (c *cluster) endpoint(cfg fakeengine.Config, group string) *fakeengine.Server {
	c.t.Helper()
	for _, in := range c.instances {
		cfg.Announce = append(cfg.Announce, in.caller)
	}
	cfg.Listen = "127.0.0.1:0"
	before := c.slots(group)
	s, err := fakeengine.Start(cfg)
	qt.Assert(c.t, err, qt.IsNil)
	c.t.Cleanup(s.Close)
	eventually(c.t, settleBound, "the endpoint in "+group, func() error {
		if c.slots(group) <= before {
			return fmt.Errorf("no new slots")
		}
		return nil
	})
	return s
}

func (c *cluster) slots(group string) uint32 {
	s, err := c.status()
	if err != nil {
		return 0
	}
	for _, g := range s.Groups {
		if g.Group == group {
			return g.Slots
		}
	}
	return 0
}

// answer is what a caller got.
type answer struct {
	status  int
	verdict string
	body    string
	err     error
}

// send sends one request to one instance.
func (in *instance) send(ctx context.Context, path, body string, header map[string]string) answer {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.caller+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, verdict: res.Header.Get("X-Auburnstep-Verdict"), body: string(text), err: err}
}

func chatBody(prompt string, tokens int, stream bool) string {
	text, _ := json.Marshal(prompt)
	return fmt.Sprintf(`{"model":"wax-1","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":%s}]}`, stream, tokens, text)
}
