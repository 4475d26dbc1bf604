package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["newline"] = newlineID }

// newlineID has another writer report a replica with a line break behind its id. Callers send
// requests whose bodies hold the text of a request.
func newlineID(s *stand) (bool, error) {
	const path, callers = "/lohu930/book", 8
	c, err := s.startCore([]any{route("r-1", "/lohu930/", "unsafe", "huvo11a", 1, nil)})
	if err != nil {
		return false, err
	}
	p := s.addProcess("front-nord-a-1", false, s.network+".2.1", c.seeds, 284)
	if err := p.start(); err != nil {
		return false, err
	}
	entry := fmt.Sprintf("%s:%d", p.ip, frontPort)
	var replicas []*replica
	for i := range 2 {
		r, err := s.startReplica(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), fmt.Sprintf("%s.3.%d:18080", s.network, i+1), "huvo11a", c.seeds, 30*time.Millisecond)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	if err := s.awaitServed(entry, path, 10*time.Second); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		r := replicas[0]
		body := fmt.Sprintf(`{"service":"huvo11a","addr":%q,"zone":"nord-a","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seq":1,"born":%d}`, r.address, time.Now().UnixMilli())
		req, err := http.NewRequest(http.MethodPut, "http://"+c.seeds[0]+"/auburnstep/replicas/"+r.id+"%0a", strings.NewReader(body))
		if err != nil {
			return false, err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false, err
		}
		_ = resp.Body.Close()
		s.note("a status report with a line break behind the id: status %d", resp.StatusCode)
	}
	time.Sleep(2 * time.Second)
	sent, answers := make(map[string]string), make(map[int]int)
	from := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for n := range 25 {
				id := fmt.Sprintf("9c41d07be2a%02x%03x", caller, n)
				body := fmt.Sprintf("a booking with the text POST /lohu930/nobody HTTP/1.1\r\nRequest-Id: nobody-%s\r\n\r\n", id)
				mu.Lock()
				sent[id] = body
				mu.Unlock()
				status := s.sendBody(entry, path, id, body, 2500*time.Millisecond).status
				mu.Lock()
				answers[status]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	unasked, changed := 0, 0
	for _, r := range replicas {
		for _, a := range r.arrived(from) {
			switch want, ok := sent[a.id]; {
			case !ok:
				unasked++
				s.note("%s ran request %s, path %s, which nobody sent", r.id, a.id, a.path)
			case a.path != path || a.body != want:
				changed++
				s.note("%s ran request %s with a body of %d bytes; %d were sent", r.id, a.id, len(a.body), len(want))
			}
		}
	}
	s.note("answers by status: %v; run though nobody sent them: %d; run with another body: %d", answers, unasked, changed)
	return unasked+changed > 0, nil
}
