package main

import (
	"fmt"
	"net"
	"strconv"
	"time"
)

func init() { cases["oddheader"] = oddHeader }

// oddHeader has one caller send a request whose id holds a byte that is no UTF-8. The replica that
// runs it crashes. Later another replica leaves.
func oddHeader(s *stand) (bool, error) {
	const (
		path          = "/lohu930/x"
		drain         = 2 * time.Second // drainMs
		slack         = 100 * time.Millisecond
		contactWindow = 3 * time.Second
		work          = 500 * time.Millisecond
		callers       = 30
	)
	c, err := s.startCore([]any{route("r-1", "/lohu930/", "unsafe", "huvo11a", 1, nil)})
	if err != nil {
		return false, err
	}
	var entries []string
	for i := range 2 {
		p := s.addProcess(fmt.Sprint("front-nord-a-", i+1), false, fmt.Sprintf("%s.2.%d", s.network, i+1), c.seeds, 284)
		if err := p.start(); err != nil {
			return false, err
		}
		entries = append(entries, net.JoinHostPort(p.ip, strconv.Itoa(frontPort)))
	}
	entry := entries[0]
	replicas := make(map[string]*replica)
	for i := range 6 {
		r, err := s.startReplica(fmt.Sprintf("i-%08x", 0x7f3a91c2+i), fmt.Sprintf("%s.3.%d:18080", s.network, i+1), "huvo11a", c.seeds, work)
		if err != nil {
			return false, err
		}
		replicas[r.id] = r
	}
	for _, e := range entries {
		if err := s.awaitServed(e, path, 10*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second) // contactWindowMs, and a heartbeat

	id := "caf\xe9-1"
	if !s.trouble {
		id = "cafe-1"
	}
	conn, err := net.Dial("tcp", entry)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nApi-Key: xd9dnn2ctnfzs989anu6\r\nDeadline-Ms: 2500\r\nContent-Length: 2\r\n\r\nhi", path, id); err != nil {
		return false, err
	}
	s.note("a request with the id %q is sent", id)
	var crashed *replica
	for end := time.Now().Add(work); crashed == nil && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, r := range replicas {
			for _, a := range r.arrived(time.Time{}) {
				if a.id == id {
					crashed = r
				}
			}
		}
	}
	if crashed == nil {
		return false, fmt.Errorf("no replica runs the request")
	}
	crashed.stop()
	_ = crashed.server.Close()
	s.note("%s crashes", crashed.id)
	delete(replicas, crashed.id)
	answerBytes := make([]byte, 64)
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	n, err := conn.Read(answerBytes)
	s.note("the caller of that request gets %q, %v", answerBytes[:n], err)
	time.Sleep(3 * time.Second)
	back, err := s.startReplica("i-back0001", crashed.address, "huvo11a", c.seeds, work)
	if err != nil {
		return false, err
	}
	s.note("it is back as %s", back.id)
	time.Sleep(contactWindow)

	var leaving *replica
	for _, r := range replicas {
		leaving = r
		break
	}
	ackedAt, err := leaving.leave(5 * time.Second)
	if err != nil {
		return false, err
	}
	s.note("%s: it drains, and this was acknowledged", leaving.id)
	time.Sleep(time.Until(ackedAt.Add(drain + slack)))
	lateFrom := time.Now()
	statuses := s.sendAll(entry, path, callers)
	time.Sleep(100 * time.Millisecond) // "a little longer" than drainMs
	leaving.exit()
	counts := statuses()
	late := leaving.arrived(lateFrom)
	s.note("answers to %d ordinary requests sent %v after the ack: %v", callers, drain+slack, counts)
	s.note("%d of them reached %s later than drainMs after the ack; the replica that is back got %d", len(late), leaving.id, len(back.arrived(time.Time{})))
	return len(late) > 0, nil
}
