package transport

import (
	"io"
	"net"
	"sync"
	"testing"
)

// forwarder relays TCP connections. Silence makes the present connections drop
// all bytes without closing, as a path does that lost its connection state.
type forwarder struct {
	net.Listener
	target string

	mu    sync.Mutex
	mute  []*bool
	conns []net.Conn
	block bool
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
		mute := new(bool)
		*mute = f.block
		f.mute = append(f.mute, mute)
		f.conns = append(f.conns, in, out)
		f.mu.Unlock()
		go f.relay(in, out, mute)
		go f.relay(out, in, mute)
	}
}

func (f *forwarder) relay(from, to net.Conn, mute *bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		f.mu.Lock()
		silent := *mute
		f.mu.Unlock()
		if err != nil && !silent {
			to.Close()
		}
		if err != nil {
			return
		}
		if !silent {
			if _, err := to.Write(buf[:n]); err != nil && err != io.EOF {
				return
			}
		}
	}
}

// silence mutes the present connections, and new ones as well if all is set.
func (f *forwarder) silence(all bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.mute {
		*m = true
	}
	f.block = all
}

func (f *forwarder) connections() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.mute)
}
