// Package clienttest holds clients that misbehave, for tests with real processes.
package clienttest

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// legalBody is the largest body of callers inside their limits.
	legalBody = 4 << 20
	// hugeBody is the length that bodies over the limit declare, and hugeSent what is sent.
	hugeBody, hugeSent = 1 << 30, 12 << 20
	// legalHead is below the largest head of callers inside their limits, 16,384 bytes.
	legalHead = 16000
	// largeHead is below 1 MB, the bound of net/http where a server sets none.
	largeHead = 900_000
	// pipelinedBytes is what a client sends on one connection without reading.
	pipelinedBytes = 2 << 20
	// writeTimeout ends a client's writing when the server has stopped reading.
	writeTimeout = 3 * time.Second
	chunkBytes   = 16 << 10
	pieceBytes   = 2 << 10
)

// Target is where the clients send their requests.
type Target struct {
	Address, Host, Method, Path string
	// Fields are further header lines, each ended by CRLF.
	Fields string
	// HeadBytes is the size of unfinished heads, 0 for a default.
	HeadBytes int
	// TLS selects encrypted connections, nil for plain text.
	TLS *tls.Config
}

// encrypt returns c with TLS where the target has it.
func (t Target) encrypt(c net.Conn) net.Conn {
	if t.TLS == nil {
		return c
	}
	return tls.Client(c, t.TLS)
}

// head returns a request head without the empty line at its end.
func (t Target) head() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", t.Method, t.Path, t.Host, t.Fields)
}

// Attack is one way to misbehave.
type Attack struct {
	Name string
	// Clients is the number of connections.
	Clients int
	// Descriptors selects a low limit of descriptors for the process.
	Descriptors bool
	send        func(c net.Conn, t Target, stop <-chan struct{})
}

// Attacks are the ways to misbehave that have ended processes of similar systems.
func Attacks() []Attack {
	return []Attack{
		{Name: "bodies in one piece", Clients: 60, send: func(c net.Conn, t Target, _ <-chan struct{}) {
			write(c, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", t.head(), legalBody))
			write(c, bytes.Repeat([]byte("x"), legalBody-1))
		}},
		{Name: "bodies in small pieces", Clients: 60, send: func(c net.Conn, t Target, _ <-chan struct{}) {
			write(c, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", t.head(), legalBody))
			repeat(c, bytes.Repeat([]byte("x"), pieceBytes), legalBody-pieceBytes)
		}},
		{Name: "bodies in chunks", Clients: 60, send: func(c net.Conn, t Target, _ <-chan struct{}) {
			write(c, []byte(t.head()+"Transfer-Encoding: chunked\r\n\r\n"))
			repeat(c, fmt.Appendf(nil, "%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes)), legalBody)
		}},
		{Name: "bodies over the limit", Clients: 40, send: func(c net.Conn, t Target, _ <-chan struct{}) {
			write(c, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", t.head(), hugeBody))
			repeat(c, bytes.Repeat([]byte("x"), chunkBytes), hugeSent)
		}},
		{Name: "chunked bodies over the limit", Clients: 40, send: func(c net.Conn, t Target, _ <-chan struct{}) {
			write(c, []byte(t.head()+"Transfer-Encoding: chunked\r\n\r\n"))
			repeat(c, fmt.Appendf(nil, "%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes)), hugeSent)
		}},
		{Name: "legal heads of many fields", Clients: 120, send: func(c net.Conn, t Target, _ <-chan struct{}) {
			write(c, []byte(manyFields(t, legalHead)+"Content-Length: 10\r\n\r\n123456789"))
		}},
		{Name: "large heads of many fields", Clients: 40, send: func(c net.Conn, t Target, _ <-chan struct{}) {
			write(c, []byte(manyFields(t, largeHead)+"Content-Length: 10\r\n\r\n123456789"))
		}},
		{Name: "pipelined requests without reading", Clients: 60, send: func(c net.Conn, t Target, _ <-chan struct{}) {
			t.Method = "GET"
			repeat(c, []byte(t.head()+"\r\n"), pipelinedBytes)
		}},
		{Name: "heads that stop halfway", Clients: 120, Descriptors: true, send: func(c net.Conn, t Target, _ <-chan struct{}) {
			write(c, []byte(t.head()))
		}},
		{Name: "bodies byte by byte", Clients: 120, Descriptors: true, send: func(c net.Conn, t Target, stop <-chan struct{}) {
			write(c, fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", t.head(), legalBody))
			go func() {
				for write(c, []byte("x")) {
					select {
					case <-stop:
						return
					case <-time.After(200 * time.Millisecond):
					}
				}
			}()
		}},
		{Name: "connections without a request", Clients: 120, Descriptors: true, send: func(net.Conn, Target, <-chan struct{}) {}},
	}
}

// manyFields returns a request head of about n bytes that consists of short fields.
func manyFields(t Target, n int) string {
	var b strings.Builder
	b.WriteString(t.head())
	for i := 0; b.Len() < n-16; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36))
		b.WriteString(":\r\n")
	}
	return b.String()
}

// write reports whether the server accepted the bytes.
func write(c net.Conn, b []byte) bool {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // Fails only on a closed connection.
	_, err := c.Write(b)
	return err == nil
}

func repeat(c net.Conn, b []byte, total int) {
	for sent := 0; sent < total; sent += len(b) {
		if !write(c, b) {
			return
		}
	}
}

// Start runs an attack until all clients have sent what they can. Their connections stay open,
// unread, until the returned function is called.
func (a Attack) Start(t Target) (stop func()) {
	stopped := make(chan struct{})
	conns := make([]net.Conn, a.Clients)
	var wg sync.WaitGroup
	for i := range conns {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", t.Address, writeTimeout)
			if err != nil {
				return // A server may refuse such clients.
			}
			conns[i] = c
			_ = c.(*net.TCPConn).SetReadBuffer(chunkBytes) // A larger buffer only makes the attack weaker.
			a.send(t.encrypt(c), t, stopped)
		})
	}
	wg.Wait()
	return func() {
		close(stopped)
		for _, c := range conns {
			if c != nil {
				_ = c.Close()
			}
		}
	}
}

// PeakMemory returns the largest resident memory of a process so far, in bytes.
func PeakMemory(pid int) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kB, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
			return kB << 10, err
		}
	}
	return 0, fmt.Errorf("the kernel does not report the peak memory of process %d", pid)
}

// OpenDescriptors returns the number of open descriptors of a process.
func OpenDescriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}
