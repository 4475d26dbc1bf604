package fakeengine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/endpointapi"
)

const (
	announceTimeout = time.Second
	// retryPause is the pause after a round in which no entry took the announcement.
	retryPause = 250 * time.Millisecond
	// loadSample is how often the load is measured for lagging reports.
	loadSample = 50 * time.Millisecond
)

// lagged returns load reports that are older than now by a lag.
type lagged struct {
	lag time.Duration

	mu      sync.Mutex
	samples []endpointapi.Load
}

func newLagged(lag time.Duration) *lagged { return &lagged{lag: lag} }

// add notes a measurement and returns the one that is due. A measurement is kept
// for the lag.
func (l *lagged) add(now endpointapi.Load) endpointapi.Load {
	if l.lag <= 0 {
		return now
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.samples); n == 0 || now.MeasuredAtMS-l.samples[n-1].MeasuredAtMS >= loadSample.Milliseconds() {
		l.samples = append(l.samples, now)
	}
	due := now.MeasuredAtMS - l.lag.Milliseconds()
	for len(l.samples) > 1 && l.samples[1].MeasuredAtMS <= due {
		l.samples = l.samples[1:]
	}
	return l.samples[0]
}

// load returns the load report that is published now.
func (s *Server) load() endpointapi.Load {
	running, waiting := s.batch.counts()
	if s.cfg.Kind == endpointapi.KindPlain {
		n := int(s.inFlight.Load())
		running, waiting = min(n, s.cfg.Slots), max(n-s.cfg.Slots, 0)
	}
	return s.loads.add(endpointapi.Load{Running: running, Waiting: waiting, KVUsed: s.cache.used(), MeasuredAtMS: time.Now().UnixMilli()})
}

// announcer keeps the endpoint announced at one of the entries.
type announcer struct {
	server      *Server
	client      *http.Client
	incarnation uint64
	kick        chan struct{}

	// rounds keeps an announcement made before another one from arriving after
	// it: entries would take a leaving endpoint for one that stays.
	rounds sync.Mutex

	mu      sync.Mutex
	entries []string
	next    int
	// sequence is the last event that an entry has confirmed.
	sequence uint64
	resync   bool
}

func newAnnouncer(s *Server) *announcer {
	return &announcer{
		server:      s,
		client:      &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: announceTimeout},
		incarnation: uint64(time.Now().UnixNano()),
		kick:        make(chan struct{}, 1),
	}
}

// run renews the announcement until the server stops.
func (a *announcer) run() {
	if len(a.server.cfg.Announce) == 0 {
		return
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	sample := time.NewTicker(loadSample)
	defer sample.Stop()
	for {
		select {
		case <-a.server.stop:
			return
		case <-sample.C:
			a.server.load()
			continue
		case <-timer.C:
		case <-a.kick:
		}
		if !a.server.faults.waitThawed(a.server.stop) {
			return
		}
		timer.Reset(a.round())
	}
}

// soon makes run announce without waiting for the renewal.
func (a *announcer) soon() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// now announces and waits for the answer.
func (a *announcer) now() {
	if len(a.server.cfg.Announce) > 0 {
		a.round()
	}
}

// round announces to the first entry that takes it and returns the time to the
// next renewal. The entry that took the last announcement comes first.
func (a *announcer) round() time.Duration {
	a.rounds.Lock()
	defer a.rounds.Unlock()
	a.mu.Lock()
	targets := append(append([]string(nil), a.entries...), a.server.cfg.Announce...)
	first := a.next
	a.mu.Unlock()
	for i := range targets {
		k := (first + i) % len(targets)
		reply, err := a.send(targets[k])
		if err != nil {
			continue
		}
		a.server.announced.Add(1)
		a.learn(reply, targets[k])
		if reply.RenewAfterMS > 0 {
			return time.Duration(reply.RenewAfterMS) * time.Millisecond
		}
		return a.server.cfg.Lease / 3
	}
	return retryPause
}

// learn takes the entry list of an answer and stays with the entry that gave it.
func (a *announcer) learn(reply endpointapi.AnnounceReply, from string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(reply.Entries) > 0 {
		a.entries = a.entries[:0]
		for _, e := range reply.Entries {
			a.entries = append(a.entries, e.Address)
		}
	}
	a.next = len(a.entries)
	for i, e := range append(append([]string(nil), a.entries...), a.server.cfg.Announce...) {
		if e == from {
			a.next = i
			return
		}
	}
}

func (a *announcer) send(entry string) (endpointapi.AnnounceReply, error) {
	var reply endpointapi.AnnounceReply
	announcement := a.announcement()
	announcement.CacheEvents = a.cacheEvents()
	body, err := json.Marshal(announcement)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/endpoints/v1/announce", bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	req.Header.Set("Content-Type", "application/json")
	if token := a.server.cfg.AnnounceToken; token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return reply, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return reply, Error.New("entry %s answered %s", entry, resp.Status)
	}
	err = json.NewDecoder(resp.Body).Decode(&reply)
	a.confirm(announcement.CacheEvents, reply.Resync)
	return reply, err
}

// cacheEvents returns the events since the last confirmed announcement, or the
// whole list if it was asked for.
func (a *announcer) cacheEvents() []endpointapi.CacheEvent {
	a.mu.Lock()
	resync, after := a.resync, a.sequence
	a.mu.Unlock()
	if resync {
		return a.server.cache.all()
	}
	return a.server.cache.after(after).Events
}

func (a *announcer) confirm(events []endpointapi.CacheEvent, resync bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resync = resync
	for _, e := range events {
		a.sequence = max(a.sequence, e.Sequence)
	}
}

func (a *announcer) announcement() endpointapi.Announcement { return a.server.Announcement() }

// Announcement returns what the endpoint announces at this moment.
func (s *Server) Announcement() endpointapi.Announcement {
	load := s.load()
	return endpointapi.Announcement{
		ID: s.cfg.ID, Incarnation: s.announce.incarnation, Service: s.cfg.Service, Kind: s.cfg.Kind, Address: s.cfg.Advertise,
		Models: nonNil(s.orders.models()), Adapters: nonNil(s.orders.adapters()), Loading: s.orders.loading(), Slots: s.cfg.Slots,
		TokensPerSecond: s.cfg.TokensPerSecond, FailureDomain: s.cfg.FailureDomain,
		ChecksOrders: s.cfg.OrderToken != "", RefusesOldFencing: s.cfg.Fencing == FencingRefuse,
		LeaseMS: s.cfg.Lease.Milliseconds(), Leaving: s.leavingSince.Load() != 0, Load: &load,
	}
}

func nonNil(list []string) []string {
	if list == nil {
		return []string{}
	}
	return list
}
