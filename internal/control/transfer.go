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
	// chunkBytes is the size of a chunk before compression. It bounds the data
	// that must be sent again after a failed call, and is far below the maximum
	// message size.
	chunkBytes      = 1 << 20
	chunkTimeout    = 2 * time.Second
	chunkRetryDelay = 200 * time.Millisecond
	// maxChunkFailures is the number of consecutive failed calls after which a
	// transfer is abandoned. Consensus sends the snapshot again later, and the new
	// transfer continues with the first byte that the receiver does not have.
	maxChunkFailures = 10
	// maxSnapshotBytes bounds the memory that a sender can make a receiver allocate.
	maxSnapshotBytes = 1 << 30
)

var errMalformedChunk = errors.New("the snapshot chunk is malformed")

// transfer is a snapshot that is being sent to one member. It runs in its own
// goroutine, so that heartbeats to the member continue meanwhile.
type transfer struct {
	mu  sync.Mutex
	msg consensus.Message
}

// header returns the message without the data of the snapshot, which is sent in
// chunks.
func (t *transfer) header() consensus.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	msg, s := t.msg, *t.msg.Snapshot
	s.Data = nil
	msg.Snapshot = &s
	return msg
}

// sendSnapshot starts the transfer of a snapshot. If a transfer to the same member
// is in progress, it continues even if the new message carries a later snapshot:
// a transfer that restarted with each new snapshot might never complete. The
// transfer in progress adopts the higher term of the new message, because the
// receiver refuses messages of an earlier term. The snapshot itself remains valid,
// since it contains only committed entries.
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

// transfer sends chunks until the receiver has the whole snapshot. At the start
// and after each failure it sends a chunk without data, to which the receiver
// responds with the number of bytes it has.
func (m *Member) transfer(ctx context.Context, t *transfer) {
	data := t.msg.Snapshot.Data
	c := &consensusv1.SnapshotChunk{Cluster: m.options.Cluster, Size: uint64(len(data)), Checksum: xxhash.Sum64(data)}
	for failures := 0; failures < maxChunkFailures; {
		msg := t.header()
		c.Message = wire.FromMessage(msg)
		next, err := m.sendChunk(ctx, msg.To, c)
		if err == nil && next <= c.Offset && len(c.Data) > 0 {
			err = errMalformedChunk // The receiver did not store the chunk.
		}
		switch {
		case err != nil:
			failures++
			m.metrics.stepFailed.Inc(1)
			if kernel.Sleep(ctx, chunkRetryDelay) != nil {
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

// sendChunk sends one chunk and returns the number of bytes that the receiver has
// afterwards.
func (m *Member) sendChunk(ctx context.Context, to uint64, c *consensusv1.SnapshotChunk) (uint64, error) {
	address := m.address(to)
	if address == "" {
		return 0, errors.New("no address is known for the member")
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

// inflate appends the decompressed chunk to data. It fails if the chunk has more
// than chunkBytes.
func inflate(data, chunk []byte) ([]byte, error) {
	out := bytes.NewBuffer(data)
	n, err := io.Copy(out, io.LimitReader(flate.NewReader(bytes.NewReader(chunk)), chunkBytes+1))
	if err != nil || n > chunkBytes {
		return nil, errMalformedChunk
	}
	return out.Bytes(), nil
}

// snapshotKey identifies a snapshot that is being received.
type snapshotKey struct{ index, term, size, checksum uint64 }

// incomingSnapshot is the snapshot that is being received. A member receives only one
// snapshot at a time.
type incomingSnapshot struct {
	mu   sync.Mutex
	key  snapshotKey
	data []byte
}

// discardUpTo discards the received data if a snapshot of the same or a later index
// has been installed.
func (i *incomingSnapshot) discardUpTo(index uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.key.index <= index {
		i.key, i.data = snapshotKey{}, nil
	}
}

// addChunk appends a chunk if it starts at the end of the data received so far, and
// returns all data received. Chunks at other offsets are ignored. A chunk of
// another snapshot discards the data received before.
func (i *incomingSnapshot) addChunk(key snapshotKey, offset uint64, chunk []byte) ([]byte, error) {
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
		return nil, errMalformedChunk
	}
	i.data = data
	return data, nil
}

// HandleSnapshot accepts a snapshot chunk that another member sent from the
// address from, and returns the offset of the next chunk that is needed. A
// complete snapshot is kept until it is installed, and passed to consensus again
// if the sender repeats it.
func (m *Member) HandleSnapshot(ctx context.Context, from string, c *consensusv1.SnapshotChunk) (next uint64, err error) {
	if err := m.admit(from, c.GetCluster()); err != nil {
		return 0, err
	}
	msg, err := m.receive(from, c.GetMessage())
	if err != nil {
		return 0, err
	}
	if msg.Type != consensus.MsgSnapshot || msg.Snapshot == nil || c.GetSize() > maxSnapshotBytes {
		return 0, errMalformedChunk
	}
	status := m.status.Load()
	if msg.Term < status.Term {
		return 0, ErrSuperseded
	}
	// A member that has already committed the entries of the snapshot needs no
	// data. Consensus responds to the message, which informs the leader.
	if status.Commit < msg.Snapshot.Index {
		key := snapshotKey{msg.Snapshot.Index, msg.Snapshot.Term, c.GetSize(), c.GetChecksum()}
		data, err := m.incomingSnapshot.addChunk(key, c.GetOffset(), c.GetData())
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
