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
	// announceRetryDelay is the pause after all known entries have failed to
	// accept the announcement.
	announceRetryDelay = 250 * time.Millisecond
	// loadSampleInterval is how often the load is measured while load reports are
	// delayed.
	loadSampleInterval = 50 * time.Millisecond
)

// delayedLoads delays load reports, to simulate the age of the reports of real
// engines.
type delayedLoads struct {
	delay time.Duration

	mu      sync.Mutex
	samples []endpointapi.Load
}

func newDelayedLoads(delay time.Duration) *delayedLoads { return &delayedLoads{delay: delay} }

// add records a measurement and returns the newest one that is at least as old
// as the delay, or the oldest one if none is. Measurements older than the
// returned one are dropped.
func (l *delayedLoads) add(measured endpointapi.Load) endpointapi.Load {
	if l.delay <= 0 {
		return measured
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := len(l.samples); n == 0 || measured.MeasuredAtMS-l.samples[n-1].MeasuredAtMS >= loadSampleInterval.Milliseconds() {
		l.samples = append(l.samples, measured)
	}
	due := measured.MeasuredAtMS - l.delay.Milliseconds()
	for len(l.samples) > 1 && l.samples[1].MeasuredAtMS <= due {
		l.samples = l.samples[1:]
	}
	return l.samples[0]
}

// publishedLoad measures the load and returns the delayed report to publish.
func (s *Server) publishedLoad() endpointapi.Load {
	running, waiting := s.batch.counts()
	if s.cfg.Kind == endpointapi.KindPlain {
		n := int(s.inFlight.Load())
		running, waiting = min(n, s.cfg.Slots), max(n-s.cfg.Slots, 0)
	}
	return s.loadReports.add(endpointapi.Load{Running: running, Waiting: waiting, KVUsed: s.cache.usedFraction(), MeasuredAtMS: time.Now().UnixMilli()})
}

// announcer keeps the endpoint announced to one of the entries.
type announcer struct {
	server      *Server
	client      *http.Client
	incarnation uint64
	renewNow    chan struct{}

	// announceMu serializes announcements. If an older announcement arrived after
	// a newer one, entries would take a leaving endpoint for one that stays.
	announceMu sync.Mutex

	mu         sync.Mutex
	entries    []string
	nextTarget int
	// confirmedSequence is the sequence number of the last cache event that an
	// entry has confirmed.
	confirmedSequence uint64
	resync            bool
}

func newAnnouncer(s *Server) *announcer {
	return &announcer{
		server:      s,
		client:      &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: announceTimeout},
		incarnation: uint64(time.Now().UnixNano()),
		renewNow:    make(chan struct{}, 1),
	}
}

// run renews the announcement until the server stops.
func (a *announcer) run() {
	if len(a.server.cfg.Announce) == 0 {
		return
	}
	renewTimer := time.NewTimer(0)
	defer renewTimer.Stop()
	sampleTicker := time.NewTicker(loadSampleInterval)
	defer sampleTicker.Stop()
	for {
		select {
		case <-a.server.stop:
			return
		case <-sampleTicker.C:
			// Record a measurement for later load reports.
			a.server.publishedLoad()
			continue
		case <-renewTimer.C:
		case <-a.renewNow:
		}
		if !a.server.faults.waitThawed(a.server.stop) {
			return
		}
		renewTimer.Reset(a.announceToAny())
	}
}

// renewSoon makes run announce at once instead of at the next renewal time.
func (a *announcer) renewSoon() {
	select {
	case a.renewNow <- struct{}{}:
	default:
	}
}

// announceOnce announces to an entry and returns after the response, or after
// all entries have failed.
func (a *announcer) announceOnce() {
	if len(a.server.cfg.Announce) > 0 {
		a.announceToAny()
	}
}

// announceToAny tries the entries in turn, beginning with the entry that accepted
// the last announcement, until one of them accepts. It returns the time to the
// next announcement.
func (a *announcer) announceToAny() time.Duration {
	a.announceMu.Lock()
	defer a.announceMu.Unlock()
	a.mu.Lock()
	targets := append(append([]string(nil), a.entries...), a.server.cfg.Announce...)
	first := a.nextTarget
	a.mu.Unlock()
	for i := range targets {
		k := (first + i) % len(targets)
		response, err := a.send(targets[k])
		if err != nil {
			continue
		}
		a.server.announced.Add(1)
		a.recordEntries(response, targets[k])
		if response.RenewAfterMS > 0 {
			return time.Duration(response.RenewAfterMS) * time.Millisecond
		}
		return a.server.cfg.Lease / 3
	}
	return announceRetryDelay
}

// recordEntries stores the entry list of a response and makes the entry that
// sent it the first target of the next announcement.
func (a *announcer) recordEntries(response endpointapi.AnnounceResponse, from string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(response.Entries) > 0 {
		a.entries = a.entries[:0]
		for _, e := range response.Entries {
			a.entries = append(a.entries, e.Address)
		}
	}
	a.nextTarget = len(a.entries)
	for i, e := range append(append([]string(nil), a.entries...), a.server.cfg.Announce...) {
		if e == from {
			a.nextTarget = i
			return
		}
	}
}

func (a *announcer) send(entry string) (endpointapi.AnnounceResponse, error) {
	var response endpointapi.AnnounceResponse
	announcement := a.announcement()
	announcement.CacheEvents = a.unconfirmedCacheEvents()
	body, err := json.Marshal(announcement)
	if err != nil {
		return response, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/endpoints/v1/announce", bytes.NewReader(body))
	if err != nil {
		return response, err
	}
	req.Header.Set("Content-Type", "application/json")
	if token := a.server.cfg.AnnounceToken; token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return response, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return response, Error.New("announcement rejected by entry %s: %s", entry, resp.Status)
	}
	err = json.NewDecoder(resp.Body).Decode(&response)
	a.recordConfirmation(announcement.CacheEvents, response.Resync)
	return response, err
}

// unconfirmedCacheEvents returns the cache events after the last confirmed one,
// or the full content of the cache if an entry asked for a resync.
func (a *announcer) unconfirmedCacheEvents() []endpointapi.CacheEvent {
	a.mu.Lock()
	resync, after := a.resync, a.confirmedSequence
	a.mu.Unlock()
	if resync {
		return a.server.cache.snapshotEvents()
	}
	return a.server.cache.after(after).Events
}

func (a *announcer) recordConfirmation(events []endpointapi.CacheEvent, resync bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.resync = resync
	for _, e := range events {
		a.confirmedSequence = max(a.confirmedSequence, e.Sequence)
	}
}

func (a *announcer) announcement() endpointapi.Announcement { return a.server.Announcement() }

// Announcement returns the announcement that describes the current state of the
// endpoint.
func (s *Server) Announcement() endpointapi.Announcement {
	publishedLoad := s.publishedLoad()
	return endpointapi.Announcement{
		ID: s.cfg.ID, Incarnation: s.announce.incarnation, Service: s.cfg.Service, Kind: s.cfg.Kind, Address: s.cfg.Advertise,
		Models: nonNil(s.orders.models()), Adapters: nonNil(s.orders.adapters()), Loading: s.orders.loading(), Slots: s.cfg.Slots,
		TokensPerSecond: s.cfg.TokensPerSecond, FailureDomain: s.cfg.FailureDomain,
		ChecksOrders: s.cfg.OrderToken != "", RefusesOldFencing: s.cfg.Fencing == FencingRefuse,
		LeaseMS: s.cfg.Lease.Milliseconds(), Leaving: s.leavingSince.Load() != 0, Load: &publishedLoad,
	}
}

// nonNil replaces nil by an empty list, which is [] instead of null in JSON.
func nonNil(list []string) []string {
	if list == nil {
		return []string{}
	}
	return list
}
