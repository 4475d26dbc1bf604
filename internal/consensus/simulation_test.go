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
	// minTickUnits is the shortest tick interval in units of simulated time.
	// The tick intervals of two hosts differ by up to the factor that the
	// default lease margin allows: (10-1)/(10-3) = 1.2857.
	minTickUnits  = 1000
	maxTickUnits  = 1285
	electionTicks = 10
)

// crashPoint is the point in processing a Ready at which a host crashes.
type crashPoint int

const (
	noCrash crashPoint = iota
	beforePersist
	beforeSend
)

// host is a simulated process with its disk.
type host struct {
	id                     uint64
	node                   *consensus.Node // nil while down
	disk                   consensus.Restored
	diskLost               bool  // the disk was destroyed; the ID is not reused
	removed                bool  // the operator removed the member; the process may still run
	tickInterval, nextTick int64 // interval and time of the next tick
	pausedUntil            int64
	crash                  crashPoint
	commit                 uint64
	digest                 uint64 // digest of the applied entries
	inbox                  []consensus.Message
}

// delivery is a message in transit.
type delivery struct {
	at, seq int64
	message consensus.Message
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

// content is the part of an entry that must be equal wherever the same position
// occurs.
type content struct {
	kind     consensus.EntryKind
	data     string
	prevTerm uint64
}

type link struct{ from, to uint64 }

// simulation runs hosts on a lossy network in simulated time and checks the
// invariants of Raft whenever a host processes a Ready. A violated invariant
// panics with a violation.
type simulation struct {
	rng            *rand.Rand
	now, seq       int64
	initialVoters  int // number of voters at the start
	hosts          []*host
	nextID         uint64
	network        deliveries
	blockedLinks   map[link]bool
	faultPercent   int // percentage of messages dropped or duplicated, and of copies delayed
	leaderByTerm   map[uint64]uint64
	contentAt      map[position]content
	committedTerm  map[uint64]uint64 // index to committed term
	committerTerm  map[uint64]uint64 // index to the term of the leader that committed it
	maxCommitted   uint64            // highest committed index
	digestAt       map[uint64]uint64 // index to digest of the state
	minReadIndex   map[uint64]uint64 // context to the minimum index that the read may return
	completedReads int
	proposalCount  uint64
}

// violation describes a violated invariant.
type violation string

func (s *simulation) failf(format string, args ...any) {
	panic(violation(fmt.Sprintf("at %d: ", s.now) + fmt.Sprintf(format, args...)))
}

func newSimulation(seed uint64, voters int) *simulation {
	s := &simulation{
		initialVoters: voters, rng: rand.New(rand.NewPCG(seed, 1)), blockedLinks: map[link]bool{}, leaderByTerm: map[uint64]uint64{},
		contentAt: map[position]content{}, committedTerm: map[uint64]uint64{}, committerTerm: map[uint64]uint64{},
		digestAt: map[uint64]uint64{}, minReadIndex: map[uint64]uint64{},
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
func (s *simulation) addHost() *host {
	s.nextID++
	h := &host{id: s.nextID, tickInterval: []int64{minTickUnits, maxTickUnits}[s.rng.IntN(2)]}
	s.hosts = append(s.hosts, h)
	return h
}

func (s *simulation) host(id uint64) *host { return s.hosts[id-1] }

func (s *simulation) start(h *host) {
	if h.node != nil || h.diskLost {
		return
	}
	n, err := consensus.New(consensus.Config{
		ID: h.id, Seed: s.rng.Int64(), ElectionTicks: electionTicks, HeartbeatTicks: 1,
		MaxEntriesPerMessage: 3, MaxInflight: 4, RetainedEntries: 2, MaxPromoteLag: 4,
	}, h.disk)
	if err != nil {
		s.failf("host %d cannot restart: %v", h.id, err)
	}
	h.node, h.crash, h.inbox, h.pausedUntil = n, noCrash, nil, 0
	h.nextTick = s.now + 1 + s.rng.Int64N(h.tickInterval)
	h.commit = n.Status().Commit
	h.digest = digestOf(h.disk.Snapshot.Data)
}

func digestOf(data []byte) uint64 {
	if len(data) == 0 {
		return 0
	}
	return binary.BigEndian.Uint64(data)
}

func (s *simulation) stop(h *host) { h.node, h.inbox = nil, nil }

func (s *simulation) restart(h *host) {
	s.stop(h)
	s.start(h)
}

// isolate blocks all links between a host and the others.
func (s *simulation) isolate(h *host) {
	for _, other := range s.hosts {
		s.blockedLinks[link{h.id, other.id}], s.blockedLinks[link{other.id, h.id}] = true, true
	}
}

// run advances the simulated time by the given number of units and processes
// all events in between.
func (s *simulation) run(units int64) {
	end := s.now + units
	for {
		h, at := s.nextWake()
		if len(s.network) > 0 && s.network[0].at < min(at, end) {
			d := heap.Pop(&s.network).(delivery)
			s.now = d.at
			s.deliver(d.message)
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

// nextWake returns the running host whose next tick or end of pause comes
// first, and its time.
func (s *simulation) nextWake() (*host, int64) {
	var first *host
	at := int64(math.MaxInt64)
	for _, h := range s.hosts {
		if h.node == nil {
			continue
		}
		if t := max(h.nextTick, h.pausedUntil); t < at {
			first, at = h, t
		}
	}
	return first, at
}

// wake delivers the due tick. After a pause, it delivers all missed ticks and
// then the queued messages.
func (s *simulation) wake(h *host) {
	for h.nextTick <= s.now {
		h.node.Tick()
		h.nextTick += h.tickInterval
	}
	s.processReady(h)
	inbox := h.inbox
	h.inbox, h.pausedUntil = nil, 0
	for _, m := range inbox {
		if h.node != nil {
			s.step(h, m)
		}
	}
}

func (s *simulation) deliver(m consensus.Message) {
	h := s.host(m.To)
	switch {
	case h.node == nil || s.blockedLinks[link{m.From, m.To}]:
	case h.pausedUntil > s.now:
		h.inbox = append(h.inbox, m)
	default:
		s.step(h, m)
	}
}

func (s *simulation) step(h *host, m consensus.Message) {
	if err := h.node.Step(m); err != nil {
		s.failf("host %d refused %+v: %v", h.id, m, err)
	}
	s.processReady(h)
}

// processReady processes all Ready work of the host and checks the invariants.
func (s *simulation) processReady(h *host) {
	for rounds := 0; h.node != nil && h.node.HasReady(); rounds++ {
		if rounds > 100 {
			s.failf("host %d still has work after 100 rounds: %+v", h.id, h.node.Status())
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

// persist stores the contents of a Ready as the write-ahead log does.
func persist(disk *consensus.Restored, r consensus.Ready) {
	if r.Snapshot != nil {
		saveSnapshot(disk, *r.Snapshot)
	}
	if len(r.Entries) > 0 {
		kept := r.Entries[0].Index - disk.Snapshot.Index - 1
		disk.Entries = append(disk.Entries[:kept:kept], r.Entries...)
	}
	if r.HardState != nil {
		disk.HardState = *r.HardState
	}
}

func saveSnapshot(disk *consensus.Restored, snap consensus.Snapshot) {
	covered := snap.Index - disk.Snapshot.Index
	if covered <= uint64(len(disk.Entries)) && covered > 0 && disk.Entries[covered-1].Term == snap.Term {
		disk.Entries = disk.Entries[covered:]
	} else {
		disk.Entries = nil
	}
	disk.Snapshot = snap
}

func (s *simulation) send(m consensus.Message) {
	copies := 1
	if s.rng.IntN(100) < s.faultPercent {
		copies = 2 * s.rng.IntN(2)
	}
	for range copies {
		delay := 5 + s.rng.Int64N(100)
		if s.rng.IntN(100) < s.faultPercent {
			delay += s.rng.Int64N(15 * minTickUnits)
		}
		s.seq++
		heap.Push(&s.network, delivery{s.now + delay, s.seq, m})
	}
}

func (s *simulation) apply(h *host, r consensus.Ready) {
	if r.Snapshot != nil {
		h.digest = digestOf(r.Snapshot.Data)
		s.checkApplied(h, r.Snapshot.Index)
	}
	for _, e := range r.Committed {
		hash := fnv.New64a()
		hash.Write(binary.BigEndian.AppendUint64(nil, h.digest))
		hash.Write(binary.BigEndian.AppendUint64(nil, e.Term))
		hash.Write(e.Data)
		h.digest = hash.Sum64()
		s.checkApplied(h, e.Index)
	}
	for _, read := range r.ReadStates {
		if !read.LeadershipLost && read.Index < s.minReadIndex[read.Context] {
			s.failf("host %d returned index %d for a read; already committed at its start: %d",
				h.id, read.Index, s.minReadIndex[read.Context])
		}
		s.completedReads++
	}
}
