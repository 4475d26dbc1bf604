package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	controlv1 "auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// settingsSeed seeds the random pauses and choices of the operators.
const settingsSeed = 11

const (
	contestedPath = "/customers/torino"
	contestedKey  = "limit.concurrency"
)

// input is a read of the settings, or a change to the contested key on a base
// version.
type input struct {
	read  bool
	base  uint64
	value string
}

// output is the result that the operator received. A change with an unknown
// outcome may take effect at any later time, or never.
type output struct {
	outcome controlv1.ChangeResult_Outcome
	unknown bool
	version uint64
	value   string
}

// register is the state of the sequential specification of the settings.
type register struct {
	version uint64
	value   string
}

var settingsModel = porcupine.Model{
	Init: func() any { return register{version: 1} },
	Step: func(s, in, out any) (bool, any) {
		r, i, o := s.(register), in.(input), out.(output)
		next := register{i.base + 1, i.value}
		switch {
		case i.read:
			return o.version == r.version && o.value == r.value, r
		case o.unknown && r.version == i.base:
			return true, next
		case o.unknown:
			return true, r
		case o.outcome == controlv1.ChangeResult_ACCEPTED:
			return r.version == i.base && o.version == i.base+1, next
		default:
			return o.outcome == controlv1.ChangeResult_CONFLICT && r.version != i.base && o.version == r.version, r
		}
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// operatorClients runs operations of concurrent operators and records their
// history.
type operatorClients struct {
	c     *cluster
	start time.Time

	mu      sync.Mutex
	history []porcupine.Operation
}

// record adds an operation to the history.
func (o *operatorClients) record(client int, in input, call time.Time, out output) {
	returned := time.Since(o.start).Nanoseconds()
	if out.unknown {
		// The change may take effect after the end of the test: record it as
		// still in progress.
		returned = time.Hour.Nanoseconds()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, porcupine.Operation{
		ClientId: client, Input: in, Call: call.Sub(o.start).Nanoseconds(), Output: out, Return: returned,
	})
}

// read reads the settings from one instance. An instance that is not the leader
// returns no settings; such a read is not recorded.
func (o *operatorClients) read(client int, in *instance) (output, bool) {
	call := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	res, err := in.controlClient().Settings(ctx, connect.NewRequest(&controlv1.SettingsRequest{}))
	if err != nil || res.Msg.Settings == nil {
		return output{}, false
	}
	out := output{version: res.Msg.Settings.Version}
	for _, n := range res.Msg.Settings.Nodes {
		if n.Path == contestedPath {
			out.value = n.Values[contestedKey]
		}
	}
	o.record(client, input{read: true}, call, out)
	return out, true
}

// submitChange sends a change and retries it up to five times under the same
// change ID, as the operators' tool does.
func (o *operatorClients) submitChange(client int, r *rand.Rand, base uint64, value string) {
	ch := &controlv1.Change{ChangeId: uuid.NewString(), BaseVersion: base, Actor: "operator-" + strconv.Itoa(client),
		Operations: []*controlv1.Operation{{Kind: controlv1.Operation_KEY_SET, Path: contestedPath, Key: contestedKey, Value: value}}}
	call := time.Now()
	out := output{unknown: true}
	for try := 0; try < 6 && out.unknown; try++ {
		in := o.c.instances[r.IntN(3)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		res, err := in.controlClient().Change(ctx, connect.NewRequest(&controlv1.ChangeRequest{Change: ch}))
		cancel()
		if err == nil && res.Msg.Result != nil {
			out = output{outcome: res.Msg.Result.Outcome, version: res.Msg.Result.Version}
			break
		}
		time.Sleep(time.Duration(20+r.IntN(60)) * time.Millisecond)
	}
	o.record(client, input{base: base, value: value}, call, out)
}

// TestSettingsUnderProcessFaults guards against settings that are not
// linearizable while the leader is killed or frozen: an accepted change is lost,
// two changes are accepted on the same base version, or a read returns an old
// version. At the end, the last version must be in force on every instance.
func TestSettingsUnderProcessFaults(t *testing.T) {
	c := startCluster(t, 4, 0)
	t.Logf("seed %d", settingsSeed)
	o := &operatorClients{c: c, start: time.Now()}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for w := range 4 {
		r := rand.New(rand.NewPCG(settingsSeed, uint64(w)))
		clients.Go(func() {
			for n := 1; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if current, ok := o.read(w, c.instances[r.IntN(3)]); ok && r.IntN(3) > 0 {
					o.submitChange(w, r, current.version, strconv.Itoa(1000*(w+1)+n))
				}
				time.Sleep(time.Duration(10+r.IntN(40)) * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	in := c.leader()
	in.kill()
	time.Sleep(2 * time.Second)
	in.start(t)
	time.Sleep(time.Second)
	in = c.leader()
	in.signal(syscall.SIGSTOP)
	time.Sleep(3 * time.Second)
	in.signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	close(stop)
	clients.Wait()

	result := porcupine.CheckOperationsTimeout(settingsModel, o.history, time.Minute)
	accepted, unknown := 0, 0
	for _, op := range o.history {
		if out := op.Output.(output); out.unknown {
			unknown++
		} else if out.outcome == controlv1.ChangeResult_ACCEPTED {
			accepted++
		}
	}
	t.Logf("%d operations, %d changes accepted, %d changes with an unknown outcome", len(o.history), accepted, unknown)
	qt.Check(t, result, qt.Equals, porcupine.Ok)
	s, err := c.status()
	for err != nil {
		s, err = c.status()
	}
	c.waitInForce(s.SettingsVersion, maxInForceDelay)
}
