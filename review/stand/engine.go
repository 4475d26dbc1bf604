package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	poisonPart = "dead0001"
	// deadlySheet is the body of the request that crashes replicas as a whole.
	deadlySheet = "the sheet that crashes replicas"
	// downTime is how long a replica is down after a crash.
	downTime    = 2 * time.Second
	streamSteps = 12
)

// crashPoint says how much of the head of an answer a replica writes before it crashes.
type crashPoint int

const (
	insideHead crashPoint = iota
	afterHead
)

// engine is a stand-in for a model replica that crashes when it begins to write an answer to a
// request with the poison part. It starts again after downTime, under a new id.
type engine struct {
	stand   *stand
	name    string
	address string
	point   crashPoint
	events  *engineEvents

	mu       sync.Mutex
	starts   int
	id       string
	born     int64
	sequence int
	listener net.Listener
	conns    map[net.Conn]bool
	up       bool
	// leaving stops the status reports and is said in all answers.
	leaving  bool
	arrivals []arrival
}

// engineEvents is what all engines have seen.
type engineEvents struct {
	mu       sync.Mutex
	crashes  []time.Time
	poisoned []arrival // requests with the poison part that reached an engine
}

func (s *stand) startEngine(n int, point crashPoint, events *engineEvents) (*engine, error) {
	e := &engine{stand: s, name: fmt.Sprintf("e%d", n), address: fmt.Sprintf("%s:%d", s.ip(30, n), s.front()), point: point, events: events}
	if err := e.start(); err != nil {
		return nil, err
	}
	go e.report()
	return e, nil
}

func (e *engine) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	e.id, e.born, e.sequence = fmt.Sprintf("i-%s-%d", e.name, e.starts), time.Now().UnixMilli(), 0
	e.listener, e.conns, e.up = l, make(map[net.Conn]bool), true
	go e.accept(l)
	return nil
}

func (e *engine) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		up := e.up && e.listener == l
		if up {
			e.conns[c] = true
		}
		e.mu.Unlock()
		if !up {
			c.Close()
			continue
		}
		go e.serve(c)
	}
}

// crash ends the engine: its port refuses connections and all channels are reset.
func (e *engine) crash(id string) {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	e.listener.Close()
	for c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	name := e.id
	e.mu.Unlock()
	e.events.mu.Lock()
	e.events.crashes = append(e.events.crashes, time.Now())
	n := len(e.events.crashes)
	e.events.mu.Unlock()
	e.stand.add("engine %s: crash %d, at request %s", name, n, id)
	time.AfterFunc(downTime, func() {
		if err := e.start(); err != nil {
			e.stand.add("engine %s: did not start again: %v", name, err)
		}
	})
}

func (e *engine) report() {
	for {
		e.mu.Lock()
		up := e.up && !e.leaving
		e.sequence++
		id := e.id
		body, _ := json.Marshal(map[string]any{
			"service": "sort", "addr": e.address, "zone": "sul-caxias", "version": "v1", "slots": 128, "state": "ready", "coldLeftMs": 0,
			"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": e.sequence, "born": e.born,
		})
		e.mu.Unlock()
		if up {
			addresses := e.stand.controlAddresses()
			for _, i := range rand.Perm(len(addresses)) {
				status, _, err := e.stand.call(http.MethodPut, addresses[i], "/auburnstep/replicas/"+id, body)
				if err == nil && status == http.StatusOK {
					break
				}
			}
		}
		// The first report follows soon after a start.
		for range 10 {
			time.Sleep(heartbeat / 10)
			e.mu.Lock()
			started := e.up && e.sequence == 0
			e.mu.Unlock()
			if started {
				break
			}
		}
	}
}

// serve answers the requests on a channel one after the other.
func (e *engine) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		sheet, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		own, said := e.id, ""
		if e.leaving {
			said = "Server-Leaving: 1\r\nConnection: close\r\n"
		}
		e.mu.Unlock()
		id := q.Header.Get("Request-Id")
		if want := q.Header.Get("Expect-Instance"); want != "" && want != own {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nReplica-Id: %s\r\nContent-Length: 0\r\n\r\n", own)
			continue
		}
		deadly := string(sheet) == deadlySheet
		poisoned := deadly || strings.Contains(q.Header.Get("Prompt-Prefix"), poisonPart+":")
		if poisoned {
			e.events.mu.Lock()
			e.events.poisoned = append(e.events.poisoned, arrival{id, time.Now()})
			e.events.mu.Unlock()
		}
		e.mu.Lock()
		e.arrivals = append(e.arrivals, arrival{id, time.Now()})
		e.mu.Unlock()
		e.stand.add("engine %s: runs %s, poison %v", own, id, poisoned)
		if deadly { // It crashes the replica as it begins to run.
			e.crash(id)
			return
		}
		time.Sleep(60*time.Millisecond + rand.N(60*time.Millisecond))
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nServer-Stamp: stamp.%s\r\n%sTransfer-Encoding: chunked\r\n\r\n", id, id, said)
		if poisoned {
			if e.point == insideHead {
				head = head[:len("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n")]
			}
			_, _ = io.WriteString(c, head)
			time.Sleep(2 * time.Millisecond) // The bytes leave before the reset.
			e.crash(id)
			return
		}
		if _, err := io.WriteString(c, head); err != nil {
			return
		}
		first := 0
		if last := q.Header.Get("Last-Event-Id"); last != "" {
			if _, err := fmt.Sscan(last, &first); err == nil {
				first++
			}
		}
		for i := first; i < streamSteps; i++ {
			event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, id, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
		if _, err := io.WriteString(c, "0\r\n\r\n"); err != nil || said != "" {
			return
		}
	}
}

// leave sends DELETE to a member, and to the others if it does not acknowledge it, and
// returns the member that has acknowledged it.
func (e *engine) leave(first *process) (*process, time.Time, error) {
	e.mu.Lock()
	e.leaving = true
	id := e.id
	e.mu.Unlock()
	for range 10 {
		for _, m := range append([]*process{first}, e.stand.members...) {
			status, _, err := e.stand.call(http.MethodDelete, fmt.Sprintf("%s:%d", m.ip, e.stand.control()), "/auburnstep/replicas/"+id, nil)
			e.stand.add("replica %s: DELETE at %s: %d %v", id, m.name, status, err)
			if err == nil && status == http.StatusOK {
				return m, time.Now(), nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, time.Time{}, fmt.Errorf("no member acknowledged that %s leaves", id)
}

// arrivalsAfter returns the requests that reached the engine after a time.
func (e *engine) arrivalsAfter(at time.Time) (out []arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range e.arrivals {
		if a.at.After(at) {
			out = append(out, a)
		}
	}
	return out
}

// streamState returns a desired state with a route for streams that may be resumed.
func streamState() map[string]any {
	state := plainState()
	state["routes"] = []any{map[string]any{
		"name": "r-note", "host": routeHost, "pathPrefix": "/note/", "kind": "stream", "timeoutMs": 5000, "targetLatencyMs": 600, "priority": 1,
		"service": "sort", "attempts": 2, "public": false, "sticky": true, "canResume": true, "maxGapMs": 400,
	}}
	state["services"] = []any{map[string]any{
		"name": "sort", "healthPath": "/healthz", "maxConns": 620, "proto": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 128, "kvCap": 216189, "kvTokenBytes": 262144, "linkMbps": 1100000.0, "moves": true, "backups": true, "stride": 4, "most": 12,
			"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}},
		},
	}}
	return state
}

// sendStream sends a request for a stream and reports whether it came whole.
func (c *callers) sendStream(ctx context.Context, tokens, prefix string) bool {
	return c.sendSheet(ctx, tokens, prefix, "")
}

// sendSheet sends a request for a stream with a body, "" for one of its own.
func (c *callers) sendSheet(ctx context.Context, tokens, prefix, sheet string) bool {
	entry, id := c.entry(), fmt.Sprintf("%016x", rand.Uint64())
	if entry == "" {
		return false
	}
	if sheet == "" {
		sheet = "inspection sheet " + id
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/note/1", strings.NewReader(sheet))
	if err != nil {
		return false
	}
	req.Host, req.GetBody = routeHost, nil
	for name, value := range map[string]string{
		"Request-Id": id, "Api-Key": apiKey, "Deadline-Ms": "5000", "Model": "m", "Token-Count": tokens, "Prompt-Prefix": prefix,
	} {
		req.Header.Set(name, value)
	}
	c.stand.add("caller: sends %s %s to %s", id, prefix, entry)
	status, whole := 0, false
	resp, err := c.client.Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		status = resp.StatusCode
		whole = err == nil && status == http.StatusOK && strings.Contains(string(b), fmt.Sprintf("id: %d\n", streamSteps-1))
	}
	c.stand.add("caller: %s ends with %d, whole %v, %v", id, status, whole, err)
	return whole
}
