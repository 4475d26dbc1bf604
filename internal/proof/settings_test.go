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

// settingsSeed draws the operators' pauses and choices.
const settingsSeed = 11

const (
	contestedPath = "/customers/torino"
	contestedKey  = "limit.concurrency"
)

// input is a read, or a change of the contested key from a base version.
type input struct {
	read  bool
	base  uint64
	value string
}

// output is what the operator was told. An unknown outcome stays open in the
// history: the change may take effect at any later time, or never.
type output struct {
	outcome controlv1.ChangeResult_Outcome
	unknown bool
	version uint64
	value   string
}

// register is the sequential specification of the settings.
type register struct {
	version uint64
	value   string
}

var settingsModel = porcupine.Model{
	Init: func() any { return register{version: 1} },
	Step: func(s, in, out any) (bool, any) {
		r, i, o := s.(register), in.(input), out.(output)
		changed := register{i.base + 1, i.value}
		switch {
		case i.read:
			return o.version == r.version && o.value == r.value, r
		case o.unknown && r.version == i.base:
			return true, changed
		case o.unknown:
			return true, r
		case o.outcome == controlv1.ChangeResult_ACCEPTED:
			return r.version == i.base && o.version == i.base+1, changed
		default:
			return o.outcome == controlv1.ChangeResult_CONFLICT && r.version != i.base && o.version == r.version, r
		}
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// operators records the history of concurrent operators.
type operators struct {
	c     *cluster
	start time.Time

	mu      sync.Mutex
	history []porcupine.Operation
}

func (o *operators) record(client int, in input, call time.Time, out output) {
	returned := time.Since(o.start).Nanoseconds()
	if out.unknown {
		returned = time.Hour.Nanoseconds()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history = append(o.history, porcupine.Operation{
		ClientId: client, Input: in, Call: call.Sub(o.start).Nanoseconds(), Output: out, Return: returned,
	})
}

// read asks one instance for the settings. An instance that does not lead
// gives no answer, which says nothing.
func (o *operators) read(client int, in *instance) (output, bool) {
	call := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	res, err := in.control().Settings(ctx, connect.NewRequest(&controlv1.SettingsRequest{}))
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

// change sends one change and repeats it under its id for some time, as the
// operators' tool does.
func (o *operators) change(client int, r *rand.Rand, base uint64, value string) {
	ch := &controlv1.Change{ChangeId: uuid.NewString(), BaseVersion: base, Actor: "operator-" + strconv.Itoa(client),
		Operations: []*controlv1.Operation{{Kind: controlv1.Operation_KEY_SET, Path: contestedPath, Key: contestedKey, Value: value}}}
	call := time.Now()
	out := output{unknown: true}
	for try := 0; try < 6 && out.unknown; try++ {
		in := o.c.instances[r.IntN(3)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		res, err := in.control().Change(ctx, connect.NewRequest(&controlv1.ChangeRequest{Change: ch}))
		cancel()
		if err == nil && res.Msg.Result != nil {
			out = output{outcome: res.Msg.Result.Outcome, version: res.Msg.Result.Version}
			break
		}
		time.Sleep(time.Duration(20+r.IntN(60)) * time.Millisecond)
	}
	o.record(client, input{base: base, value: value}, call, out)
}

// TestSettingsThroughKills guards against a change that is accepted and lost,
// accepted twice on one version, or read in an order that no single copy would
// give, while the leader is killed and frozen. Afterwards the last version must
// be in force on every instance.
func TestSettingsThroughKills(t *testing.T) {
	c := startCluster(t, 4, 0)
	t.Logf("seed %d", settingsSeed)
	o := &operators{c: c, start: time.Now()}
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
				if got, ok := o.read(w, c.instances[r.IntN(3)]); ok && r.IntN(3) > 0 {
					o.change(w, r, got.version, strconv.Itoa(1000*(w+1)+n))
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
	t.Logf("%d operations, %d changes accepted, %d unknown", len(o.history), accepted, unknown)
	qt.Check(t, result, qt.Equals, porcupine.Ok)
	s, err := c.status()
	for err != nil {
		s, err = c.status()
	}
	c.inForce(s.SettingsVersion, inForceBound)
}
