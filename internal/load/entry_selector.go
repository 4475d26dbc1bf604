package load

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// fetchTimeout bounds a request for the entry list or for a ledger.
	fetchTimeout = time.Second
	// unreachableBackoff is how long an entry is not selected after a connection to
	// it could not be opened.
	unreachableBackoff = time.Second
	// maxDialAttempts bounds the attempts to open a connection for one request.
	maxDialAttempts = 4
	// defaultListTTL is used if the response does not state how long the list is valid.
	defaultListTTL = 10 * time.Second
)

var errNoEntry = Error.New("no entry could be reached")

// entryList is the response to GET /v1/entries.
type entryList struct {
	Entries []struct {
		Address string  `json:"address"`
		Weight  float64 `json:"weight"`
	} `json:"entries"`
	ListTTLSeconds float64 `json:"keep_seconds"`
}

// entrySelector selects entries from the list that any instance returns.
type entrySelector struct {
	client *http.Client
	seeds  []string

	mu         sync.Mutex
	rng        *rand.Rand
	list       entryList
	listExpiry time.Time
	avoidUntil map[string]time.Time
	// fetching is closed when the fetch in progress has ended.
	fetching chan struct{}
}

func newEntrySelector(client *http.Client, seeds []string, seed uint64) *entrySelector {
	return &entrySelector{client: client, seeds: seeds, rng: rand.New(rand.NewPCG(seed, 0)), avoidUntil: make(map[string]time.Time)}
}

// pick returns the address of a random entry, chosen by weight.
func (s *entrySelector) pick(ctx context.Context) (string, error) {
	s.refresh(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	total := 0.0
	for _, e := range s.list.Entries {
		total += s.weight(e.Address, e.Weight, now)
	}
	point := s.rng.Float64() * total
	for _, e := range s.list.Entries {
		if w := s.weight(e.Address, e.Weight, now); w > 0 {
			if point -= w; point < 0 {
				return e.Address, nil
			}
		}
	}
	return "", errNoEntry
}

// weight returns the effective weight of an entry: 0 while the entry is avoided, and 1
// if the list gives it no weight.
func (s *entrySelector) weight(address string, weight float64, now time.Time) float64 {
	if now.Before(s.avoidUntil[address]) {
		return 0
	}
	if weight <= 0 {
		return 1
	}
	return weight
}

// markUnreachable excludes an entry for unreachableBackoff and expires the list, so
// that the next request fetches a new list.
func (s *entrySelector) markUnreachable(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoidUntil[address] = time.Now().Add(unreachableBackoff)
	s.listExpiry = time.Time{}
}

// refresh fetches the list if the current list has expired. One fetch runs at a
// time; concurrent callers wait for it.
func (s *entrySelector) refresh(ctx context.Context) {
	s.mu.Lock()
	if time.Now().Before(s.listExpiry) {
		s.mu.Unlock()
		return
	}
	if inProgress := s.fetching; inProgress != nil {
		s.mu.Unlock()
		select {
		case <-inProgress:
		case <-ctx.Done():
		}
		return
	}
	done := make(chan struct{})
	s.fetching = done
	addresses := append([]string(nil), s.seeds...)
	for _, e := range s.list.Entries {
		addresses = append(addresses, e.Address)
	}
	s.mu.Unlock()
	list, err := s.fetch(ctx, addresses)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.list = list
		ttl := time.Duration(list.ListTTLSeconds * float64(time.Second))
		if ttl <= 0 {
			ttl = defaultListTTL
		}
		s.listExpiry = time.Now().Add(ttl)
	}
	s.fetching = nil
	close(done)
}

func (s *entrySelector) fetch(ctx context.Context, addresses []string) (list entryList, err error) {
	for _, address := range addresses {
		if list, err = s.fetchFrom(ctx, address); err == nil && len(list.Entries) > 0 {
			return list, nil
		}
	}
	return list, Error.New("no instance returned a list of entries: %w", err)
}

func (s *entrySelector) fetchFrom(ctx context.Context, address string) (list entryList, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return list, err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list, Error.New("%s returned status %s", address, resp.Status)
	}
	return list, json.NewDecoder(resp.Body).Decode(&list)
}

// do sends a request to an entry. If no connection to the entry could be opened,
// nothing was sent and do tries another entry.
func (s *entrySelector) do(ctx context.Context, newRequest func(entry string) (*http.Request, error)) (*http.Response, error) {
	var lastErr error
	for range maxDialAttempts {
		entry, err := s.pick(ctx)
		if err != nil {
			return nil, errors.Join(err, lastErr)
		}
		req, err := newRequest(entry)
		if err != nil {
			return nil, err
		}
		resp, err := s.client.Do(req)
		if err == nil {
			return resp, nil
		}
		lastErr = err
		var opErr *net.OpError
		if !errors.As(err, &opErr) || opErr.Op != "dial" {
			return nil, err
		}
		s.markUnreachable(entry)
	}
	return nil, errors.Join(errNoEntry, lastErr)
}
