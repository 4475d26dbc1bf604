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

// lossyLink is a Network that delivers snapshot chunks to a member. Of every four
// calls, it loses the request of one and the response of another.
type lossyLink struct {
	Network
	to          *Member
	calls, sent int
	largest     int
}

func (l *lossyLink) Snapshot(ctx context.Context, _ string, c *consensusv1.SnapshotChunk) (*consensusv1.SnapshotProgress, error) {
	l.calls++
	if l.calls%4 == 2 {
		return nil, errNoResponse
	}
	l.sent, l.largest = l.sent+len(c.Data), max(l.largest, len(c.Data))
	next, err := l.to.HandleSnapshot(ctx, "m1", c)
	if l.calls%4 == 0 {
		return nil, errNoResponse // The response is lost.
	}
	return &consensusv1.SnapshotProgress{NextOffset: next}, err
}

// TestSnapshotTransferResumes guards against a snapshot transfer that restarts
// after each lost call, that delivers corrupt data, or whose snapshot is
// refused because the leader's term changed during the transfer.
func TestSnapshotTransferResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := &lossyLink{to: NewMember(Options{})}
		link.to.participating.Store(true)
		from := NewMember(Options{Network: link})
		from.peers.recordAddress(2, "m2")
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
		qt.Assert(t, len(got) > 0, qt.IsTrue) // Two messages if the last response was lost.
		qt.Assert(t, got[0].Term, qt.Equals, uint64(4))
		qt.Assert(t, bytes.Equal(got[0].Snapshot.Data, data), qt.IsTrue)
		qt.Assert(t, link.largest < chunkBytes*101/100, qt.IsTrue)
		qt.Assert(t, link.sent < len(data)*101/100, qt.IsTrue) // Data that arrived is not sent again.

		// A member that has already committed the entries of the snapshot needs no
		// data to respond.
		link.to.status.Store(&consensus.Status{Commit: 9})
		next, err := link.to.HandleSnapshot(context.Background(), "m1", &consensusv1.SnapshotChunk{Message: headerMessage(msg), Size: 5})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, next, qt.Equals, uint64(5))
		qt.Assert(t, len(link.to.inbox.Drain(10)), qt.Equals, 1)
		// A chunk from a leader of an earlier term is refused.
		link.to.status.Store(&consensus.Status{Term: 5})
		_, err = link.to.HandleSnapshot(context.Background(), "m1", &consensusv1.SnapshotChunk{Message: headerMessage(msg), Size: 5})
		qt.Assert(t, err, qt.ErrorIs, ErrSuperseded)
	})
}

func headerMessage(msg consensus.Message) *consensusv1.Message {
	t := transfer{msg: msg}
	return wire.FromMessage(t.header())
}

// BenchmarkLargeSnapshot measures, over sockets and files, how long a restarted
// member that misses most of the log takes to receive and install a snapshot larger
// than one message. Run it with -benchtime 1x.
func BenchmarkLargeSnapshot(b *testing.B) {
	l := newLoopback(b, 3)
	defer l.stop()
	l.accept("c1", 0, put("/services", "group"))
	leading := l.leader()
	follower := l.members[0]
	if follower == leading {
		follower = l.members[1]
	}
	body := make([]byte, maxOutcomeBytes-1024)
	rng := rand.NewChaCha8([32]byte{2})
	follower.kill()
	var lastIndex uint64
	propose := func(c *controlv1.Command) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := leading.member.propose(ctx, c)
		qt.Assert(b, err, qt.IsNil)
		lastIndex = leading.member.applied.Load()
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
		l.start(follower, nil)
		for follower.member.applied.Load() < lastIndex {
			time.Sleep(time.Millisecond)
		}
		b.ReportMetric(time.Since(start).Seconds(), "s-to-caught-up")
		b.ReportMetric(float64(len(follower.member.state.Snapshot())), "bytes")
		_, leads := leading.member.lease()
		qt.Check(b, leads, qt.IsTrue)
	}
}
