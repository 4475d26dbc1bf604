package control

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"auburnstep.example/auburnstep/internal/consensus"
	"auburnstep.example/auburnstep/internal/consensus/wire"
	"auburnstep.example/auburnstep/internal/event"
	"auburnstep.example/auburnstep/internal/ring"
	"auburnstep.example/auburnstep/internal/rpc/consensusv1"
)

const (
	// maxStepBytes bounds the entries of one call; a larger message travels alone.
	maxStepBytes = 4 << 20
	// largeStepBytes is the size from which on a call gets more time.
	largeStepBytes = 1 << 20
)

// sender sends the messages for one member, one call at a time and in order.
type sender struct {
	id    uint64
	queue *ring.Ring[consensus.Message]
}

// peers holds the senders and the addresses that messages came from.
type peers struct {
	mu      sync.Mutex
	senders map[uint64]*sender
	learned map[uint64]string
	// transfers are the snapshots under way, by receiver.
	transfers map[uint64]*transfer
	wg        sync.WaitGroup
	stopped   bool
}

func (p *peers) learnedAddress(id uint64) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.learned[id]
}

func (p *peers) learn(id uint64, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learned[id] = address
}

// stop waits for the senders, whose context has ended.
func (p *peers) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.wg.Wait()
}

// reset forgets the senders, which stop has ended.
func (p *peers) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.senders)
	clear(p.transfers)
	p.stopped = false
}

// send queues a message. A full queue drops the oldest one, which consensus
// repeats if it matters.
func (m *Member) send(ctx context.Context, msg consensus.Message) {
	if msg.Type == consensus.MsgSnapshot {
		m.sendSnapshot(ctx, msg)
		return
	}
	m.peers.mu.Lock()
	s, ok := m.peers.senders[msg.To]
	if !ok && !m.peers.stopped {
		s = &sender{id: msg.To, queue: ring.New[consensus.Message]("control peer", peerCapacity, ring.DropOldest)}
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

func (m *Member) sendLoop(ctx context.Context, s *sender) {
	var held *consensus.Message
	for {
		batch := make([]*consensusv1.Message, 0, maxMessagesPerStep)
		size := 0
		for len(batch) < maxMessagesPerStep && size < maxStepBytes {
			msg, ok := m.next(ctx, s, &held, len(batch) == 0)
			if !ok {
				break
			}
			p := wire.FromMessage(msg)
			n := proto.Size(p)
			if len(batch) > 0 && size+n > maxStepBytes {
				held = &msg
				break
			}
			size += n
			batch = append(batch, p)
		}
		if ctx.Err() != nil {
			return
		}
		m.step(ctx, s.id, batch, size >= largeStepBytes)
	}
}

// next returns the message held back before, or the next one of the queue.
func (m *Member) next(ctx context.Context, s *sender, held **consensus.Message, wait bool) (consensus.Message, bool) {
	if *held != nil {
		msg := **held
		*held = nil
		return msg, true
	}
	if wait {
		msg, err := s.queue.Pop(ctx)
		return msg, err == nil
	}
	if more := s.queue.Drain(1); len(more) == 1 {
		return more[0], true
	}
	return consensus.Message{}, false
}

func (m *Member) step(ctx context.Context, id uint64, batch []*consensusv1.Message, large bool) {
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

// HandleStep takes messages of another member, whose address is from.
func (m *Member) HandleStep(ctx context.Context, from string, r *consensusv1.StepRequest) error {
	if err := m.admit(from, r.GetCluster()); err != nil {
		return err
	}
	for _, p := range r.GetMessages() {
		msg, err := m.receive(from, p)
		if err != nil {
			return err
		}
		if err := m.inbox.Push(ctx, msg); err != nil {
			return Error.Wrap(err)
		}
	}
	m.signal()
	return nil
}

// admit refuses calls of other clusters, and all before this member is ready.
func (m *Member) admit(from, cluster string) error {
	if cluster != m.options.Cluster {
		m.options.Events.Emit(eventForeignMessage, event.F("cluster", cluster), event.F("address", from))
		return ErrClusterMismatch
	}
	if !m.formed.Load() {
		return ErrStopped
	}
	return nil
}

// receive converts a message and remembers where its sender is reached.
func (m *Member) receive(from string, p *consensusv1.Message) (consensus.Message, error) {
	msg, err := wire.ToMessage(p)
	if err != nil {
		return msg, Error.Wrap(err)
	}
	if from != "" && m.peers.learnedAddress(msg.From) != from {
		m.peers.learn(msg.From, from)
	}
	return msg, nil
}
