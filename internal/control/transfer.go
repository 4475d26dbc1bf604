package control

import (
	"bytes"
	"compress/flate"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/consensus/wire"
	"auburnstep.example/auburnstep/internal/kernel"
	"auburnstep.example/auburnstep/internal/rpc/consensusv1"
)

const (
	// chunkBytes is the size of a chunk before compression. It bounds what a
	// lost call costs and stays far below the limit of a message.
	chunkBytes   = 1 << 20
	chunkTimeout = 2 * time.Second
	chunkPause   = 200 * time.Millisecond
	// maxChunkFailures is the number of failed calls in a row after which a
	// transfer ends. Consensus sends the snapshot again, and the transfer then
	// goes on where the receiver stands.
	maxChunkFailures = 10
	// maxSnapshotBytes bounds the memory that a sender can claim at a receiver.
	maxSnapshotBytes = 1 << 30
)

var errBadChunk = errors.New("the snapshot chunk is malformed")

// transfer is a snapshot on its way to one member. It has a goroutine of its
// own, so that heartbeats to the member go on meanwhile.
type transfer struct {
	mu  sync.Mutex
	msg consensus.Message
}

// header returns the message without the data.
func (t *transfer) header() consensus.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	msg, s := t.msg, *t.msg.Snapshot
	s.Data = nil
	msg.Snapshot = &s
	return msg
}

// sendSnapshot starts a transfer. One that is under way to the same member goes
// on, also if the new message carries a later snapshot: a member that is given
// a new one again and again would never have a whole one. It takes over the
// term, without which the receiver would refuse the message; the snapshot
// itself is committed and valid in every later term.
func (m *Member) sendSnapshot(ctx context.Context, msg consensus.Message) {
	m.peers.mu.Lock()
	defer m.peers.mu.Unlock()
	if t := m.peers.transfers[msg.To]; t != nil {
		t.mu.Lock()
		t.msg.Term = max(t.msg.Term, msg.Term)
		t.mu.Unlock()
		return
	}
	if m.peers.stopped {
		return
	}
	t := &transfer{msg: msg}
	m.peers.transfers[msg.To] = t
	m.peers.wg.Add(1)
	go func() {
		defer m.peers.wg.Done()
		m.transfer(ctx, t)
		m.peers.mu.Lock()
		delete(m.peers.transfers, msg.To)
		m.peers.mu.Unlock()
	}()
}

// transfer sends chunks until the receiver has all of them. It first asks how
// much the receiver has, and again after each failure.
func (m *Member) transfer(ctx context.Context, t *transfer) {
	data := t.msg.Snapshot.Data
	c := &consensusv1.SnapshotChunk{Cluster: m.options.Cluster, Size: uint64(len(data)), Checksum: xxhash.Sum64(data)}
	for failures := 0; failures < maxChunkFailures; {
		msg := t.header()
		c.Message = wire.FromMessage(msg)
		next, err := m.sendChunk(ctx, msg.To, c)
		if err == nil && next <= c.Offset && len(c.Data) > 0 {
			err = errBadChunk // The receiver did not take the chunk.
		}
		switch {
		case err != nil:
			failures++
			m.metrics.stepFailed.Inc(1)
			if kernel.Sleep(ctx, chunkPause) != nil {
				return
			}
			next, c.Data = 0, nil
		case next >= c.Size || m.status.Load().Role != consensus.Leader:
			return
		default:
			failures = 0
			c.Data = deflate(data[next:min(next+chunkBytes, c.Size)])
		}
		c.Offset = next
	}
}

func (m *Member) sendChunk(ctx context.Context, to uint64, c *consensusv1.SnapshotChunk) (uint64, error) {
	address := m.address(to)
	if address == "" {
		return 0, errors.New("the address of the member is not known")
	}
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	r, err := m.options.Network.Snapshot(ctx, address, c)
	return r.GetNextOffset(), err
}

func deflate(b []byte) []byte {
	var out bytes.Buffer
	w, _ := flate.NewWriter(&out, flate.BestSpeed) // fails only for an unknown level
	_, _ = w.Write(b)
	_ = w.Close()
	return out.Bytes()
}

// inflate appends the decompressed chunk to data.
func inflate(data, chunk []byte) ([]byte, error) {
	out := bytes.NewBuffer(data)
	n, err := io.Copy(out, io.LimitReader(flate.NewReader(bytes.NewReader(chunk)), chunkBytes+1))
	if err != nil || n > chunkBytes {
		return nil, errBadChunk
	}
	return out.Bytes(), nil
}

// snapshotKey tells snapshots apart.
type snapshotKey struct{ index, term, size, checksum uint64 }

// incoming is the snapshot that is being received. Only one is kept.
type incoming struct {
	mu   sync.Mutex
	key  snapshotKey
	data []byte
}

// drop frees a snapshot up to an index that is installed.
func (i *incoming) drop(index uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.key.index <= index {
		i.key, i.data = snapshotKey{}, nil
	}
}

// add takes a chunk if it is the next one, and returns all that was received.
func (i *incoming) add(key snapshotKey, offset uint64, chunk []byte) ([]byte, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.key != key {
		i.key, i.data = key, nil
	}
	if len(chunk) == 0 || offset != uint64(len(i.data)) {
		return i.data, nil
	}
	data, err := inflate(i.data, chunk)
	if err != nil {
		return nil, err
	}
	if uint64(len(data)) == key.size && xxhash.Sum64(data) != key.checksum || uint64(len(data)) > key.size {
		i.data = nil
		return nil, errBadChunk
	}
	i.data = data
	return data, nil
}

// HandleSnapshot takes a chunk from another member, whose address is from, and
// returns the position of the next one that is needed. A whole snapshot is kept
// until it is installed, and handed to consensus again if it is sent again.
func (m *Member) HandleSnapshot(ctx context.Context, from string, c *consensusv1.SnapshotChunk) (next uint64, err error) {
	if err := m.admit(from, c.GetCluster()); err != nil {
		return 0, err
	}
	msg, err := m.receive(from, c.GetMessage())
	if err != nil {
		return 0, err
	}
	if msg.Type != consensus.MsgSnapshot || msg.Snapshot == nil || c.GetSize() > maxSnapshotBytes {
		return 0, errBadChunk
	}
	status := m.status.Load()
	if msg.Term < status.Term {
		return 0, ErrSuperseded
	}
	// A member that has committed as much needs no data; consensus answers the
	// message, by which the leader learns so.
	if status.Commit < msg.Snapshot.Index {
		key := snapshotKey{msg.Snapshot.Index, msg.Snapshot.Term, c.GetSize(), c.GetChecksum()}
		data, err := m.incoming.add(key, c.GetOffset(), c.GetData())
		if err != nil || uint64(len(data)) < c.GetSize() {
			return uint64(len(data)), err
		}
		msg.Snapshot.Data = data
	}
	if err := m.inbox.Push(ctx, msg); err != nil {
		return 0, Error.Wrap(err)
	}
	m.signal()
	return c.GetSize(), nil
}
