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
	// fetchTimeout bounds a request for the entry list.
	fetchTimeout = time.Second
	// avoidTime is how long an entry that refused a connection is not chosen.
	avoidTime = time.Second
	// maxDials bounds the entries tried for one request.
	maxDials = 4
	// defaultKeep is used where the list does not say how long it may be kept.
	defaultKeep = 10 * time.Second
)

var errNoEntry = Error.New("no entry could be reached")

// entryList is the answer of GET /v1/entries.
type entryList struct {
	Entries []struct {
		Address string  `json:"address"`
		Weight  float64 `json:"weight"`
	} `json:"entries"`
	KeepSeconds float64 `json:"keep_seconds"`
}

// directory chooses entries from the list that any instance gives.
type directory struct {
	client *http.Client
	seeds  []string

	mu     sync.Mutex
	random *rand.Rand
	list   entryList
	until  time.Time
	avoid  map[string]time.Time
	// fetching is closed when the fetch in progress has ended.
	fetching chan struct{}
}

func newDirectory(client *http.Client, seeds []string, seed uint64) *directory {
	return &directory{client: client, seeds: seeds, random: rand.New(rand.NewPCG(seed, 0)), avoid: make(map[string]time.Time)}
}

// pick returns the address of an entry.
func (d *directory) pick(ctx context.Context) (string, error) {
	d.refresh(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	total := 0.0
	for _, e := range d.list.Entries {
		total += d.weight(e.Address, e.Weight, now)
	}
	at := d.random.Float64() * total
	for _, e := range d.list.Entries {
		if w := d.weight(e.Address, e.Weight, now); w > 0 {
			if at -= w; at < 0 {
				return e.Address, nil
			}
		}
	}
	return "", errNoEntry
}

// weight is zero for an entry to avoid. A list without weights counts each
// entry as 1.
func (d *directory) weight(address string, weight float64, now time.Time) float64 {
	if now.Before(d.avoid[address]) {
		return 0
	}
	if weight <= 0 {
		return 1
	}
	return weight
}

// failed notes that an entry refused a connection and asks for a new list.
func (d *directory) failed(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoid[address] = time.Now().Add(avoidTime)
	d.until = time.Time{}
}

// refresh fetches the list where the one at hand is too old. One fetch runs at a
// time; others wait for it.
func (d *directory) refresh(ctx context.Context) {
	d.mu.Lock()
	if time.Now().Before(d.until) {
		d.mu.Unlock()
		return
	}
	if running := d.fetching; running != nil {
		d.mu.Unlock()
		select {
		case <-running:
		case <-ctx.Done():
		}
		return
	}
	done := make(chan struct{})
	d.fetching = done
	known := append([]string(nil), d.seeds...)
	for _, e := range d.list.Entries {
		known = append(known, e.Address)
	}
	d.mu.Unlock()
	list, err := d.fetch(ctx, known)
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.list = list
		keep := time.Duration(list.KeepSeconds * float64(time.Second))
		if keep <= 0 {
			keep = defaultKeep
		}
		d.until = time.Now().Add(keep)
	}
	d.fetching = nil
	close(done)
}

func (d *directory) fetch(ctx context.Context, known []string) (list entryList, err error) {
	for _, address := range known {
		if list, err = d.fetchFrom(ctx, address); err == nil && len(list.Entries) > 0 {
			return list, nil
		}
	}
	return list, Error.New("no instance gave a list of entries: %w", err)
}

func (d *directory) fetchFrom(ctx context.Context, address string) (list entryList, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/entries", nil)
	if err != nil {
		return list, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list, Error.New("%s answered %s", address, resp.Status)
	}
	return list, json.NewDecoder(resp.Body).Decode(&list)
}

// do sends a request to an entry. Where no connection could be opened nothing
// was sent, and another entry is tried.
func (d *directory) do(ctx context.Context, build func(entry string) (*http.Request, error)) (*http.Response, error) {
	var last error
	for range maxDials {
		entry, err := d.pick(ctx)
		if err != nil {
			return nil, errors.Join(err, last)
		}
		req, err := build(entry)
		if err != nil {
			return nil, err
		}
		resp, err := d.client.Do(req)
		if err == nil {
			return resp, nil
		}
		last = err
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			return nil, err
		}
		d.failed(entry)
	}
	return nil, errors.Join(errNoEntry, last)
}
