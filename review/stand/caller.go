package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	apiKey    = "xd9dnn2ctnfzs989anu6"
	routeHost = "lotes.example"
)

// exchange is one request of a caller.
type exchange struct {
	id, method, entry string
	sent, ended       time.Time
	status            int // 0 if there was no whole answer
	body              string
	err               error
}

// callers send requests at a steady rate, each to an entry that the system has named.
type callers struct {
	stand  *stand
	client *http.Client

	mu        sync.Mutex
	exchanges []exchange
	entries   []string
	until     time.Time
}

func newCallers(s *stand) *callers {
	return &callers{stand: s, client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: 10 * time.Second}}}
}

// entry returns the address of an entry, from an answer of the directory that is kept for as
// long as it says.
func (c *callers) entry() string {
	c.mu.Lock()
	entries, fresh := c.entries, time.Now().Before(c.until)
	c.mu.Unlock()
	if !fresh {
		for _, i := range rand.Perm(len(c.stand.members)) {
			resp, err := c.stand.http.Get(fmt.Sprintf("http://%s:%d/auburnstep/resolve?name=%s&region=sul&zone=sul-caxias", c.stand.members[i].ip, c.stand.directory(), routeHost))
			if err != nil {
				continue
			}
			var answer struct {
				Addrs []string `json:"addrs"`
				TTLS  float64  `json:"ttlS"`
			}
			err = json.NewDecoder(resp.Body).Decode(&answer)
			resp.Body.Close()
			if err == nil && resp.StatusCode == http.StatusOK && len(answer.Addrs) > 0 {
				entries = answer.Addrs
				c.mu.Lock()
				c.entries, c.until = entries, time.Now().Add(time.Duration(min(5, answer.TTLS)*float64(time.Second)))
				c.mu.Unlock()
				break
			}
		}
	}
	if len(entries) == 0 {
		return ""
	}
	return entries[rand.IntN(len(entries))]
}

// send sends one request and records it.
func (c *callers) send(ctx context.Context, method, path, body string) exchange {
	x := exchange{id: fmt.Sprintf("%016x", rand.Uint64()), method: method, entry: c.entry(), sent: time.Now()}
	if x.entry == "" {
		x.err = fmt.Errorf("no entry is known")
		return x
	}
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+x.entry+path, reader)
	if err != nil {
		x.err = err
		return x
	}
	req.Host = routeHost
	req.Header.Set("Request-Id", x.id)
	req.Header.Set("Deadline-Ms", "1500")
	req.Header.Set("Api-Key", apiKey)
	// The client of the standard library repeats some requests by itself; a caller of the
	// pages does not.
	req.GetBody = nil
	c.stand.add("caller: sends %s %s %s to %s", x.id, method, path, x.entry)
	resp, err := c.client.Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		if err == nil {
			x.status, x.body = resp.StatusCode, string(b)
		}
	}
	x.ended, x.err = time.Now(), err
	c.stand.add("caller: %s ends with %d %v", x.id, x.status, err)
	c.mu.Lock()
	c.exchanges = append(c.exchanges, x)
	c.mu.Unlock()
	return x
}

// run sends requests until ctx ends: perSecond in all, one in postEvery of them a booking, 0
// for none.
func (c *callers) run(ctx context.Context, perSecond float64, postEvery int) {
	var wg sync.WaitGroup
	defer wg.Wait()
	tick := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		method, path, body := http.MethodGet, "/look/1", ""
		if postEvery > 0 && n%postEvery == 0 {
			method, path, body = http.MethodPost, "/book/1", "a booking"
		}
		wg.Go(func() { c.send(context.Background(), method, path, body) })
	}
}

// plainState returns a desired state with a route for lookups and one for bookings.
func plainState() map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "pathPrefix": prefix, "kind": kind, "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 2,
			"service": "lotes", "attempts": attempts, "public": false, "sticky": false, "canResume": false,
		}
	}
	return map[string]any{
		"routes":   []any{route("r-look", "/look/", "safe", 2), route("r-book", "/book/", "unsafe", 1)},
		"services": []any{map[string]any{"name": "lotes", "healthPath": "/healthz", "maxConns": 110, "proto": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "huka270", "apiKeys": []string{apiKey}, "priority": 1}},
	}
}
