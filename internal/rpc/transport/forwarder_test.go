package transport

import (
	"io"
	"net"
	"sync"
	"testing"
)

// forwarder relays TCP connections. A muted connection drops all bytes but stays
// open, like a connection whose state a device on the network path has lost.
type forwarder struct {
	net.Listener
	target string

	mu      sync.Mutex
	muted   []*bool
	conns   []net.Conn
	muteNew bool
}

func newForwarder(t *testing.T, target string) *forwarder {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &forwarder{Listener: l, target: target}
	go f.accept()
	t.Cleanup(func() {
		l.Close()
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, c := range f.conns {
			c.Close()
		}
	})
	return f
}

func (f *forwarder) accept() {
	for {
		in, err := f.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", f.target)
		if err != nil {
			in.Close()
			continue
		}
		f.mu.Lock()
		muted := new(bool)
		*muted = f.muteNew
		f.muted = append(f.muted, muted)
		f.conns = append(f.conns, in, out)
		f.mu.Unlock()
		go f.relay(in, out, muted)
		go f.relay(out, in, muted)
	}
}

// relay copies bytes in one direction until the connection ends.
func (f *forwarder) relay(from, to net.Conn, muted *bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		f.mu.Lock()
		drop := *muted
		f.mu.Unlock()
		if err != nil && !drop {
			to.Close()
		}
		if err != nil {
			return
		}
		if !drop {
			if _, err := to.Write(buf[:n]); err != nil && err != io.EOF {
				return
			}
		}
	}
}

// muteConnections mutes the existing connections, and later ones as well if
// includeNew is set.
func (f *forwarder) muteConnections(includeNew bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.muted {
		*m = true
	}
	f.muteNew = includeNew
}

// connections returns the number of connections accepted so far.
func (f *forwarder) connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.muted)
}
