package fakeengine

import (
	"container/list"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"auburnstep.example/auburnstep/internal/endpointapi"
	"auburnstep.example/auburnstep/internal/openai"
)

// blockTokens is the estimated number of prompt tokens in one block of the
// prefix cache. openai.ChatRequest.Prefixes returns one hash for each block.
const blockTokens = 256

// CacheEventsResponse is the response to GET /v1/cache/events. Next is the
// sequence number to pass as "after" in the next request.
type CacheEventsResponse struct {
	Events []endpointapi.CacheEvent `json:"events"`
	Next   uint64                   `json:"next"`
}

// KVBlocks lists the hashes of exported or imported cache blocks.
type KVBlocks struct {
	Blocks []string `json:"blocks"`
}

type storedEvent struct {
	endpointapi.CacheEvent
	recordedAt time.Time
}

// maxCacheEvents is the maximum number of stored cache events. When it is exceeded,
// the older half is dropped, which leaves a gap for pollers that have not read it.
const maxCacheEvents = 4096

// prefixCache is an LRU set of prompt blocks, each named by a hash that covers
// the block and all blocks before it.
type prefixCache struct {
	cfg Config

	mu           sync.Mutex
	lru          *list.List
	blocks       map[string]*list.Element
	events       []storedEvent
	lastSequence uint64
}

func newPrefixCache(cfg Config) *prefixCache {
	return &prefixCache{cfg: cfg, lru: list.New(), blocks: make(map[string]*list.Element)}
}

// BlockHashes returns the hashes of the full blocks of a prompt, in order.
func BlockHashes(r *openai.ChatRequest) []string {
	hashes := r.Prefixes()
	out := make([]string, len(hashes))
	for i, h := range hashes {
		out[i] = strconv.FormatUint(h, 16)
	}
	return out
}

// matchAndStore stores the blocks of a prompt and returns the number of prompt
// tokens in the longest prefix that was cached already.
func (c *prefixCache) matchAndStore(blocks []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := 0
	for i, b := range blocks {
		if _, ok := c.blocks[b]; ok && hit == i {
			hit++
		}
		c.store(b)
	}
	return hit * blockTokens
}

// snapshotEvents returns the cache content as events: one "cleared" event,
// followed by a "stored" event for each block.
func (c *prefixCache) snapshotEvents() []endpointapi.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []endpointapi.CacheEvent{{Sequence: c.lastSequence, Kind: endpointapi.CacheCleared}}
	for e := c.lru.Front(); e != nil; e = e.Next() {
		c.lastSequence++
		out = append(out, endpointapi.CacheEvent{Sequence: c.lastSequence, Kind: endpointapi.CacheStored, Prefix: e.Value.(string)})
	}
	return out
}

func (c *prefixCache) store(block string) {
	if e, ok := c.blocks[block]; ok {
		c.lru.MoveToFront(e)
		return
	}
	c.blocks[block] = c.lru.PushFront(block)
	c.recordEvent(endpointapi.CacheStored, block)
	for c.lru.Len() > c.cfg.CacheBlocks {
		oldest := c.lru.Back()
		name := c.lru.Remove(oldest).(string)
		delete(c.blocks, name)
		c.recordEvent(endpointapi.CacheRemoved, name)
	}
}

// recordEvent stores an event for pollers. It skips every CacheEventGap-th event,
// to simulate lost events.
func (c *prefixCache) recordEvent(kind, block string) {
	c.lastSequence++
	if gap := c.cfg.CacheEventGap; gap > 0 && c.lastSequence%uint64(gap) == 0 {
		return
	}
	c.events = append(c.events, storedEvent{endpointapi.CacheEvent{Sequence: c.lastSequence, Kind: kind, Prefix: block}, time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = append([]storedEvent(nil), c.events[len(c.events)-maxCacheEvents/2:]...)
	}
}

// after returns the events with a sequence number above n that are old
// enough to be published.
func (c *prefixCache) after(n uint64) CacheEventsResponse {
	due := time.Now().Add(-c.cfg.CacheEventLag)
	c.mu.Lock()
	defer c.mu.Unlock()
	out := CacheEventsResponse{Events: []endpointapi.CacheEvent{}, Next: n}
	for _, e := range c.events {
		if e.Sequence > n && !e.recordedAt.After(due) {
			out.Events = append(out.Events, e.CacheEvent)
			out.Next = e.Sequence
		}
	}
	return out
}

// usedFraction returns the fraction of the cache capacity in use.
func (c *prefixCache) usedFraction() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.lru.Len()) / float64(c.cfg.CacheBlocks)
}

func (c *prefixCache) exportBlocks(blocks []string) KVBlocks {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := KVBlocks{Blocks: []string{}}
	for _, b := range blocks {
		if _, ok := c.blocks[b]; ok {
			out.Blocks = append(out.Blocks, b)
		}
	}
	return out
}

func (c *prefixCache) importBlocks(kv KVBlocks) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range kv.Blocks {
		c.store(b)
	}
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Has("after") {
		writeError(w, http.StatusBadRequest, "invalid_after", err.Error())
		return
	}
	writeJSON(w, http.StatusOK, s.cache.after(after))
}

func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	if kv, ok := readKV(w, r); ok {
		writeJSON(w, http.StatusOK, s.cache.exportBlocks(kv.Blocks))
	}
}

func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	if kv, ok := readKV(w, r); ok {
		s.cache.importBlocks(kv)
		w.WriteHeader(http.StatusNoContent)
	}
}

func readKV(w http.ResponseWriter, r *http.Request) (KVBlocks, bool) {
	var kv KVBlocks
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChatBody)).Decode(&kv); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", err.Error())
		return kv, false
	}
	return kv, true
}
