package control

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/consensus/wire"
	"auburnstep.example/auburnstep/internal/rpc/consensusv1"
	"auburnstep.example/auburnstep/internal/rpc/controlv1"
)

// chunkLink delivers chunks to a member and loses some of them, or answers.
type chunkLink struct {
	Network
	to          *Member
	calls, sent int
	largest     int
}

func (l *chunkLink) Snapshot(ctx context.Context, _ string, c *consensusv1.SnapshotChunk) (*consensusv1.SnapshotProgress, error) {
	l.calls++
	if l.calls%4 == 2 {
		return nil, errLost
	}
	l.sent, l.largest = l.sent+len(c.Data), max(l.largest, len(c.Data))
	next, err := l.to.HandleSnapshot(ctx, "m1", c)
	if l.calls%4 == 0 {
		return nil, errLost // The answer is lost.
	}
	return &consensusv1.SnapshotProgress{NextOffset: next}, err
}

// Guards against a snapshot that begins anew after each lost call, arrives
// damaged, or is refused because the leader's term has changed on the way.
func TestSnapshotTransferResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &chunkLink{to: NewMember(Options{})}
		link.to.formed.Store(true)
		from := NewMember(Options{Network: link})
		from.peers.learn(2, "m2")
		from.status.Store(&consensus.Status{Role: consensus.Leader})
		data := make([]byte, 9*chunkBytes/2)
		_, _ = rand.NewChaCha8([32]byte{1}).Read(data)
		msg := consensus.Message{Type: consensus.MsgSnapshot, From: 1, To: 2, Term: 3, Snapshot: &consensus.Snapshot{Index: 9, Term: 2, Data: data}}
		from.send(context.Background(), msg)
		msg.Term = 4
		from.send(context.Background(), msg)
		synctest.Wait()
		time.Sleep(time.Minute)
		synctest.Wait()
		qt.Assert(t, len(from.peers.transfers), qt.Equals, 0)
		got := link.to.inbox.Drain(10)
		qt.Assert(t, len(got) > 0, qt.IsTrue) // Twice if the last answer was lost.
		qt.Assert(t, got[0].Term, qt.Equals, uint64(4))
		qt.Assert(t, bytes.Equal(got[0].Snapshot.Data, data), qt.IsTrue)
		qt.Assert(t, link.largest < chunkBytes*101/100, qt.IsTrue)
		qt.Assert(t, link.sent < len(data)*101/100, qt.IsTrue) // Nothing that arrived is sent again.

		// A member that has committed as much needs no data to answer.
		link.to.status.Store(&consensus.Status{Commit: 9})
		next, err := link.to.HandleSnapshot(context.Background(), "m1", &consensusv1.SnapshotChunk{Message: fromHeader(msg), Size: 5})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, next, qt.Equals, uint64(5))
		qt.Assert(t, len(link.to.inbox.Drain(10)), qt.Equals, 1)
		// A leader of an earlier term cannot take the place of a transfer.
		link.to.status.Store(&consensus.Status{Term: 5})
		_, err = link.to.HandleSnapshot(context.Background(), "m1", &consensusv1.SnapshotChunk{Message: fromHeader(msg), Size: 5})
		qt.Assert(t, err, qt.ErrorIs, ErrSuperseded)
	})
}

func fromHeader(msg consensus.Message) *consensusv1.Message {
	t := transfer{msg: msg}
	return wire.FromMessage(t.header())
}

// BenchmarkLargeSnapshot measures, over sockets and files, how long a member
// that lost its log takes to receive and install a snapshot above the size of
// one message. Run it with -benchtime 1x.
func BenchmarkLargeSnapshot(b *testing.B) {
	l := newLoopback(b, 3)
	defer l.stop()
	l.accept("c1", 0, put("/services", "group"))
	lead := l.leader()
	lag := l.members[0]
	if lag == lead {
		lag = l.members[1]
	}
	body := make([]byte, maxOutcomeBytes-1024)
	rng := rand.NewChaCha8([32]byte{2})
	lag.kill()
	var wanted uint64
	propose := func(c *controlv1.Command) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := lead.member.propose(ctx, c)
		qt.Assert(b, err, qt.IsNil)
		wanted = lead.member.applied.Load()
	}
	for i := range 320 {
		_, _ = rng.Read(body)
		key := &controlv1.BookingKey{Customer: "torino", Key: fmt.Sprint(i)}
		propose(&controlv1.Command{Command: &controlv1.Command_Begin{Begin: &controlv1.BeginBooking{Key: key, AttemptId: "a", AtMs: 1}}})
		propose(&controlv1.Command{Command: &controlv1.Command_Finish{Finish: &controlv1.FinishBooking{Key: key, AttemptId: "a", Outcome: &controlv1.BookingOutcome{Body: append([]byte(nil), body...)}}}})
	}
	for range defaultSnapshotEvery + 1100 {
		propose(&controlv1.Command{Command: &controlv1.Command_Begin{Begin: &controlv1.BeginBooking{Key: &controlv1.BookingKey{Customer: "torino", Key: "0"}, AttemptId: "a", AtMs: 1}}})
	}
	for b.Loop() {
		start := time.Now()
		l.start(lag, nil)
		for lag.member.applied.Load() < wanted {
			time.Sleep(time.Millisecond)
		}
		b.ReportMetric(time.Since(start).Seconds(), "s-to-caught-up")
		b.ReportMetric(float64(len(lag.member.state.Snapshot())), "bytes")
		_, leads := lead.member.lease()
		qt.Check(b, leads, qt.IsTrue)
	}
}
