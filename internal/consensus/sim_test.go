package consensus_test

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"

	"auburnstep.example/auburnstep/internal/consensus"
)

const (
	// tickUnits is the shortest tick interval in units of simulated time. The
	// intervals of hosts differ by up to the factor that the default lease
	// margin allows: (10-1)/(10-3) = 1.2857.
	tickUnits    = 1000
	maxTickUnits = 1285
	electionTick = 10
)

// crashPoint is the place in the handling of Ready where a host crashes.
type crashPoint int

const (
	noCrash crashPoint = iota
	beforePersist
	beforeSend
)

// host is one process with its disk.
type host struct {
	id          uint64
	node        *consensus.Node // nil while down
	disk        consensus.Restored
	lost        bool  // the disk is gone; the ID never returns
	retired     bool  // removed by the operator, perhaps still running
	tick, due   int64 // interval and time of the next tick
	pausedUntil int64
	crash       crashPoint
	commit      uint64
	sum         uint64 // digest of the applied entries
	inbox       []consensus.Message
}

// delivery is a message on its way.
type delivery struct {
	at, seq int64
	m       consensus.Message
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

// position identifies a log entry.
type position struct{ index, term uint64 }

// content is what must be equal wherever a position occurs.
type content struct {
	kind     consensus.EntryKind
	data     string
	prevTerm uint64
}

type link struct{ from, to uint64 }

// sim runs hosts on a lossy network in simulated time and checks the
// invariants of Raft after every event. A breach panics with violation.
type sim struct {
	rng         *rand.Rand
	now, seq    int64
	initial     int // number of voters at the start
	hosts       []*host
	nextID      uint64
	network     deliveries
	cut         map[link]bool
	noise       int // percent of messages dropped, and duplicated, and delayed
	leaders     map[uint64]uint64
	entries     map[position]content
	committed   map[uint64]uint64 // index to term
	committedBy map[uint64]uint64 // index to the term of the leader that committed it
	top         uint64            // highest committed index
	applied     map[uint64]uint64 // index to digest of the state
	reads       map[uint64]uint64 // context to the least allowed index
	readsDone   int
	proposed    uint64
}

// violation reports a broken invariant.
type violation string

func (s *sim) failf(format string, args ...any) {
	panic(violation(fmt.Sprintf("at %d: ", s.now) + fmt.Sprintf(format, args...)))
}

func newSim(seed uint64, voters int) *sim {
	s := &sim{
		initial: voters, rng: rand.New(rand.NewPCG(seed, 1)), cut: map[link]bool{}, leaders: map[uint64]uint64{},
		entries: map[position]content{}, committed: map[uint64]uint64{}, committedBy: map[uint64]uint64{},
		applied: map[uint64]uint64{}, reads: map[uint64]uint64{},
	}
	var ids []uint64
	for range voters {
		ids = append(ids, s.addHost().id)
	}
	for _, h := range s.hosts {
		h.disk = consensus.Bootstrap(ids...)
		s.start(h)
	}
	return s
}

// addHost creates a host with an empty disk and a new ID.
func (s *sim) addHost() *host {
	s.nextID++
	h := &host{id: s.nextID, tick: []int64{tickUnits, maxTickUnits}[s.rng.IntN(2)]}
	s.hosts = append(s.hosts, h)
	return h
}

func (s *sim) host(id uint64) *host { return s.hosts[id-1] }

func (s *sim) start(h *host) {
	if h.node != nil || h.lost {
		return
	}
	n, err := consensus.New(consensus.Config{
		ID: h.id, Seed: s.rng.Int64(), ElectionTicks: electionTick, HeartbeatTicks: 1,
		MaxEntriesPerMessage: 3, MaxInflight: 4, KeepEntries: 2, MaxPromoteLag: 4,
	}, h.disk)
	if err != nil {
		s.failf("host %d cannot restart: %v", h.id, err)
	}
	h.node, h.crash, h.inbox, h.pausedUntil = n, noCrash, nil, 0
	h.due = s.now + 1 + s.rng.Int64N(h.tick)
	h.commit = n.Status().Commit
	h.sum = digestOf(h.disk.Snapshot.Data)
}

func digestOf(data []byte) uint64 {
	if len(data) == 0 {
		return 0
	}
	return binary.BigEndian.Uint64(data)
}

func (s *sim) stop(h *host) { h.node, h.inbox = nil, nil }

func (s *sim) restart(h *host) {
	s.stop(h)
	s.start(h)
}

// isolate cuts a host off from all others.
func (s *sim) isolate(h *host) {
	for _, o := range s.hosts {
		s.cut[link{h.id, o.id}], s.cut[link{o.id, h.id}] = true, true
	}
}

// run lets simulated time pass.
func (s *sim) run(units int64) {
	end := s.now + units
	for {
		h, at := s.nextWake()
		if len(s.network) > 0 && s.network[0].at < min(at, end) {
			d := heap.Pop(&s.network).(delivery)
			s.now = d.at
			s.deliver(d.m)
			continue
		}
		if h == nil || at > end {
			s.now = end
			return
		}
		s.now = at
		s.wake(h)
	}
}

// nextWake returns the running host whose next tick or resumption is first.
func (s *sim) nextWake() (*host, int64) {
	var first *host
	at := int64(math.MaxInt64)
	for _, h := range s.hosts {
		if h.node == nil {
			continue
		}
		if t := max(h.due, h.pausedUntil); t < at {
			first, at = h, t
		}
	}
	return first, at
}

// wake delivers the tick that is due, or after a pause all ticks that were
// missed and then the queued messages.
func (s *sim) wake(h *host) {
	for h.due <= s.now {
		h.node.Tick()
		h.due += h.tick
	}
	s.settle(h)
	inbox := h.inbox
	h.inbox, h.pausedUntil = nil, 0
	for _, m := range inbox {
		if h.node != nil {
			s.step(h, m)
		}
	}
}

func (s *sim) deliver(m consensus.Message) {
	h := s.host(m.To)
	switch {
	case h.node == nil || s.cut[link{m.From, m.To}]:
	case h.pausedUntil > s.now:
		h.inbox = append(h.inbox, m)
	default:
		s.step(h, m)
	}
}

func (s *sim) step(h *host, m consensus.Message) {
	if err := h.node.Step(m); err != nil {
		s.failf("host %d refused %+v: %v", h.id, m, err)
	}
	s.settle(h)
}

// settle carries out the host's work and checks it.
func (s *sim) settle(h *host) {
	for rounds := 0; h.node != nil && h.node.HasReady(); rounds++ {
		if rounds > 100 {
			s.failf("host %d always has work: %+v", h.id, h.node.Status())
		}
		s.checkLeader(h)
		r := h.node.Ready()
		s.checkEntries(h, r)
		if h.crash == beforePersist {
			s.stop(h)
			return
		}
		persist(&h.disk, r)
		s.checkCommit(h)
		if h.crash == beforeSend {
			s.stop(h)
			return
		}
		for _, m := range r.Messages {
			s.send(m)
		}
		s.apply(h, r)
		h.node.Advance()
	}
}

// persist does what the write-ahead log does.
func persist(d *consensus.Restored, r consensus.Ready) {
	if r.Snapshot != nil {
		saveSnapshot(d, *r.Snapshot)
	}
	if len(r.Entries) > 0 {
		keep := r.Entries[0].Index - d.Snapshot.Index - 1
		d.Entries = append(d.Entries[:keep:keep], r.Entries...)
	}
	if r.HardState != nil {
		d.HardState = *r.HardState
	}
}

func saveSnapshot(d *consensus.Restored, snap consensus.Snapshot) {
	covered := snap.Index - d.Snapshot.Index
	if covered <= uint64(len(d.Entries)) && covered > 0 && d.Entries[covered-1].Term == snap.Term {
		d.Entries = d.Entries[covered:]
	} else {
		d.Entries = nil
	}
	d.Snapshot = snap
}

func (s *sim) send(m consensus.Message) {
	copies := 1
	if s.rng.IntN(100) < s.noise {
		copies = 2 * s.rng.IntN(2)
	}
	for range copies {
		delay := 5 + s.rng.Int64N(100)
		if s.rng.IntN(100) < s.noise {
			delay += s.rng.Int64N(15 * tickUnits)
		}
		s.seq++
		heap.Push(&s.network, delivery{s.now + delay, s.seq, m})
	}
}

func (s *sim) apply(h *host, r consensus.Ready) {
	if r.Snapshot != nil {
		h.sum = digestOf(r.Snapshot.Data)
		s.checkApplied(h, r.Snapshot.Index)
	}
	for _, e := range r.Committed {
		f := fnv.New64a()
		f.Write(binary.BigEndian.AppendUint64(nil, h.sum))
		f.Write(binary.BigEndian.AppendUint64(nil, e.Term))
		f.Write(e.Data)
		h.sum = f.Sum64()
		s.checkApplied(h, e.Index)
	}
	for _, read := range r.ReadStates {
		if !read.Lost && read.Index < s.reads[read.Context] {
			s.failf("host %d answers a read with index %d, committed before it: %d",
				h.id, read.Index, s.reads[read.Context])
		}
		s.readsDone++
	}
}
