package control

import (
	"context"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/consensus/wire"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/ring"
	"auburnstep.example/auburnstep/internal/rpc/consensusv1"
)

const (
	// maxStepBytes bounds the messages of one call. A single larger message is sent
	// in a call of its own.
	maxStepBytes = 4 << 20
	// largeStepBytes is the size from which a call gets largeStepTimeout instead of
	// stepTimeout.
	largeStepBytes = 1 << 20
)

// sender sends the messages to one member in order, one call at a time.
type sender struct {
	id    uint64
	queue *ring.Ring[consensus.Message]
}

// peers holds the senders to the other members and the members' addresses.
type peers struct {
	mu      sync.Mutex
	senders map[uint64]*sender
	// senderAddresses holds the sender address of the last message of each member.
	senderAddresses map[uint64]string
	// transfers holds the snapshot transfers in progress by the ID of the receiver.
	transfers map[uint64]*transfer
	wg        sync.WaitGroup
	stopped   bool
}

func (p *peers) senderAddress(id uint64) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.senderAddresses[id]
}

func (p *peers) recordAddress(id uint64, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.senderAddresses[id] = address
}

// stop prevents new senders and transfers, and waits for the running ones. The
// caller has cancelled their context.
func (p *peers) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.wg.Wait()
}

// reset removes the senders and transfers that stop has ended, so that new ones
// can start.
func (p *peers) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.senders)
	clear(p.transfers)
	p.stopped = false
}

// send queues a message for its receiver. A full queue drops its oldest message,
// which consensus repeats if it still matters.
func (m *Member) send(ctx context.Context, msg consensus.Message) {
	if msg.Type == consensus.MsgSnapshot {
		m.sendSnapshot(ctx, msg)
		return
	}
	m.peers.mu.Lock()
	s, ok := m.peers.senders[msg.To]
	if !ok && !m.peers.stopped {
		s = &sender{id: msg.To, queue: ring.New[consensus.Message]("control peer", peerQueueCapacity, ring.DropOldest)}
		m.peers.senders[msg.To] = s
		m.peers.wg.Add(1)
		go func() {
			defer m.peers.wg.Done()
			m.sendLoop(ctx, s)
		}()
	}
	m.peers.mu.Unlock()
	if s != nil {
		_ = s.queue.Push(ctx, msg)
	}
}

// sendLoop sends the queued messages of one sender in batches until ctx ends.
func (m *Member) sendLoop(ctx context.Context, s *sender) {
	var deferred *consensus.Message
	for {
		batch := make([]*consensusv1.Message, 0, maxMessagesPerStep)
		size := 0
		for len(batch) < maxMessagesPerStep && size < maxStepBytes {
			msg, ok := m.nextMessage(ctx, s, &deferred, len(batch) == 0)
			if !ok {
				break
			}
			p := wire.FromMessage(msg)
			n := proto.Size(p)
			if len(batch) > 0 && size+n > maxStepBytes {
				deferred = &msg
				break
			}
			size += n
			batch = append(batch, p)
		}
		if ctx.Err() != nil {
			return
		}
		m.sendStep(ctx, s.id, batch, size >= largeStepBytes)
	}
}

// nextMessage returns the message that did not fit into the previous batch, or the
// next message of the queue. With wait set, it blocks until there is one.
func (m *Member) nextMessage(ctx context.Context, s *sender, deferred **consensus.Message, wait bool) (consensus.Message, bool) {
	if *deferred != nil {
		msg := **deferred
		*deferred = nil
		return msg, true
	}
	if wait {
		msg, err := s.queue.Pop(ctx)
		return msg, err == nil
	}
	if drained := s.queue.Drain(1); len(drained) == 1 {
		return drained[0], true
	}
	return consensus.Message{}, false
}

// sendStep sends a batch of messages to a member.
func (m *Member) sendStep(ctx context.Context, id uint64, batch []*consensusv1.Message, large bool) {
	address := m.address(id)
	if address == "" || len(batch) == 0 {
		return
	}
	timeout := stepTimeout
	if large {
		timeout = largeStepTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := m.options.Network.Step(ctx, address, &consensusv1.StepRequest{Cluster: m.options.Cluster, Messages: batch}); err != nil {
		m.metrics.stepFailed.Inc(1)
	}
}

// HandleStep accepts consensus messages that another member sent from the address
// from.
func (m *Member) HandleStep(ctx context.Context, from string, r *consensusv1.StepRequest) error {
	if err := m.admit(from, r.GetCluster()); err != nil {
		return err
	}
	for _, p := range r.GetMessages() {
		msg, err := m.receive(from, p)
		if err != nil {
			return err
		}
		if err := m.enqueue(ctx, msg); err != nil {
			return err
		}
	}
	m.signal()
	return nil
}

// enqueue passes a message to the consensus loop. It fails with ErrBusy if too many bytes wait
// there already; consensus repeats the message if it still matters.
func (m *Member) enqueue(ctx context.Context, msg consensus.Message) error {
	size := messageBytes(msg)
	if !m.inboundBytes.TakeAbove(size, 0) {
		m.signal()
		return fmt.Errorf("%w: %d bytes of entries wait to be handled", ErrBusy, m.inboundBytes.Used())
	}
	if err := m.inbox.Push(ctx, msg); err != nil {
		m.inboundBytes.Give(size)
		return Error.Wrap(err)
	}
	return nil
}

// admit refuses calls of other clusters, and all calls before this member takes
// part in consensus.
func (m *Member) admit(from, cluster string) error {
	if cluster != m.options.Cluster {
		m.options.Events.Emit(eventClusterMismatch, event.F("cluster", cluster), event.F("address", from))
		return ErrClusterMismatch
	}
	if !m.participating.Load() {
		return ErrStopped
	}
	return nil
}

// receive decodes a message and records the address of its sender.
func (m *Member) receive(from string, p *consensusv1.Message) (consensus.Message, error) {
	msg, err := wire.ToMessage(p)
	if err != nil {
		return msg, Error.Wrap(err)
	}
	if from != "" && m.peers.senderAddress(msg.From) != from {
		m.peers.recordAddress(msg.From, from)
	}
	return msg, nil
}
