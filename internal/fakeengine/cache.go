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
// prefix cache, for which openai.ChatRequest.Prefixes has one hash.
const blockTokens = 256

// CacheEvents is the answer to a poll of cache events.
type CacheEvents struct {
	Events []endpointapi.CacheEvent `json:"events"`
	Next   uint64                   `json:"next"`
}

// KV is an export of cached blocks.
type KV struct {
	Blocks []string `json:"blocks"`
}

type storedEvent struct {
	endpointapi.CacheEvent
	at time.Time
}

// maxCacheEvents bounds the events kept for polls; older ones become a gap.
const maxCacheEvents = 4096

// prefixCache is an LRU set of prompt blocks. The hash of a block covers all
// blocks before it.
type prefixCache struct {
	cfg Config

	mu     sync.Mutex
	order  *list.List
	blocks map[string]*list.Element
	events []storedEvent
	last   uint64
}

func newPrefixCache(cfg Config) *prefixCache {
	return &prefixCache{cfg: cfg, order: list.New(), blocks: make(map[string]*list.Element)}
}

// BlocksOf returns the names of the full blocks of a prompt.
func BlocksOf(r *openai.ChatRequest) []string {
	hashes := r.Prefixes()
	out := make([]string, len(hashes))
	for i, h := range hashes {
		out[i] = strconv.FormatUint(h, 16)
	}
	return out
}

// touch stores the blocks of a prompt and returns the number of its tokens that
// were in the cache from the start on.
func (c *prefixCache) touch(blocks []string) int {
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

// all returns the whole content as events: cleared, then one for each block.
func (c *prefixCache) all() []endpointapi.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []endpointapi.CacheEvent{{Sequence: c.last, Kind: endpointapi.CacheCleared}}
	for e := c.order.Front(); e != nil; e = e.Next() {
		c.last++
		out = append(out, endpointapi.CacheEvent{Sequence: c.last, Kind: endpointapi.CacheStored, Prefix: e.Value.(string)})
	}
	return out
}

func (c *prefixCache) store(block string) {
	if e, ok := c.blocks[block]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.blocks[block] = c.order.PushFront(block)
	c.publish(endpointapi.CacheStored, block)
	for c.order.Len() > c.cfg.CacheBlocks {
		oldest := c.order.Back()
		name := c.order.Remove(oldest).(string)
		delete(c.blocks, name)
		c.publish(endpointapi.CacheRemoved, name)
	}
}

func (c *prefixCache) publish(kind, block string) {
	c.last++
	if gap := c.cfg.CacheEventGap; gap > 0 && c.last%uint64(gap) == 0 {
		return
	}
	c.events = append(c.events, storedEvent{endpointapi.CacheEvent{Sequence: c.last, Kind: kind, Prefix: block}, time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = append([]storedEvent(nil), c.events[len(c.events)-maxCacheEvents/2:]...)
	}
}

// after returns the published events with a sequence above n.
func (c *prefixCache) after(n uint64) CacheEvents {
	due := time.Now().Add(-c.cfg.CacheEventLag)
	c.mu.Lock()
	defer c.mu.Unlock()
	out := CacheEvents{Events: []endpointapi.CacheEvent{}, Next: n}
	for _, e := range c.events {
		if e.Sequence > n && !e.at.After(due) {
			out.Events = append(out.Events, e.CacheEvent)
			out.Next = e.Sequence
		}
	}
	return out
}

// used returns the part of the cache that is in use.
func (c *prefixCache) used() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.order.Len()) / float64(c.cfg.CacheBlocks)
}

func (c *prefixCache) export(blocks []string) KV {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := KV{Blocks: []string{}}
	for _, b := range blocks {
		if _, ok := c.blocks[b]; ok {
			out.Blocks = append(out.Blocks, b)
		}
	}
	return out
}

func (c *prefixCache) load(kv KV) {
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
		writeJSON(w, http.StatusOK, s.cache.export(kv.Blocks))
	}
}

func (s *Server) serveImport(w http.ResponseWriter, r *http.Request) {
	if kv, ok := readKV(w, r); ok {
		s.cache.load(kv)
		w.WriteHeader(http.StatusNoContent)
	}
}

func readKV(w http.ResponseWriter, r *http.Request) (KV, bool) {
	var kv KV
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChatBody)).Decode(&kv); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_body", err.Error())
		return kv, false
	}
	return kv, true
}
