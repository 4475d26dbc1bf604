package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answer is what a caller got.
type answer struct {
	status int // 0 if there was no complete answer
	body   string
	stamp  string
}

// send sends a request to an entry on a new connection.
func (s *stand) send(entry, path, id string, wait time.Duration) answer {
	return s.sendBody(entry, path, id, "request "+id, wait)
}

// sendBody sends a request with a body to an entry on a new connection.
func (s *stand) sendBody(entry, path, id, body string, wait time.Duration) answer {
	client := &http.Client{Timeout: wait + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+entry+path, strings.NewReader(body))
	if err != nil {
		return answer{}
	}
	req.Host = "ficu95.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Api-Key", "xd9dnn2ctnfzs989anu6")
	req.Header.Set("Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		s.note("request %s to %s: %v", id, entry, err)
		return answer{}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, body: string(b), stamp: resp.Header.Get("Server-Stamp")}
	if err != nil {
		a.status = 0
	}
	s.note("request %s to %s: status %d, %q", id, entry, a.status, strings.TrimSpace(a.body))
	return a
}

// awaitServed sends requests to an entry until one is served.
func (s *stand) awaitServed(entry, path string, limit time.Duration) error {
	for n, end := 0, time.Now().Add(limit); time.Now().Before(end); n++ {
		if s.send(entry, path, fmt.Sprintf("probe-%s-%d", entry, n), time.Second).status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%s serves no request", entry)
}

// sendAll sends n requests to an entry at the same time. The function that it returns waits for the
// answers and returns their number by status.
func (s *stand) sendAll(entry, path string, n int) func() map[int]int {
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[int]int)
	for i := range n {
		wg.Go(func() {
			a := s.send(entry, path, fmt.Sprintf("ordinary-%d", i), 2500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			counts[a.status]++
		})
	}
	return func() map[int]int { wg.Wait(); return counts }
}
