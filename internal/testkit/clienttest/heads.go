package clienttest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// headClients is the number of connections of attacks with heads.
	headClients = 500
	// defaultHeadBytes is the size of unfinished heads where a target names none.
	defaultHeadBytes = 15_000
	// endlessBytes is what a client sends of a head that never ends.
	endlessBytes = 256 << 10
	// pathClients send pathRequests each, whose paths are as long as unfinished heads but for
	// pathRoom, the rest of the head.
	pathClients, pathRequests, pathRoom = 50, 400, 1000
	// exchangeTimeout bounds a single request.
	exchangeTimeout = 15 * time.Second
)

// HeadAttacks are ways to misbehave before a handler runs, over HTTP/1.
func HeadAttacks() []Attack {
	return []Attack{
		{Name: "heads in short lines that stop", Clients: headClients, send: func(c net.Conn, t Target, _ <-chan struct{}) {
			write(c, []byte(t.head()+shortLines(t.headBytes())))
		}},
		{Name: "heads that stop after an answered request and empty lines", Clients: headClients, send: func(c net.Conn, t Target, _ <-chan struct{}) {
			if !answered(c, t) {
				return
			}
			write(c, []byte("\r\n\r\n"+t.head()+shortLines(t.headBytes())))
		}},
		{Name: "heads of odd lines that stop", Clients: headClients, send: func(c net.Conn, t Target, _ <-chan struct{}) {
			write(c, []byte(t.head()+oddLines(t.headBytes())))
		}},
		{Name: "heads of one line without end", Clients: headClients, send: func(c net.Conn, t Target, _ <-chan struct{}) {
			write(c, []byte(t.head()+"a: "))
			repeat(c, []byte(strings.Repeat("x", chunkBytes)), endlessBytes)
		}},
		{Name: "empty lines without end", Clients: headClients, send: func(c net.Conn, t Target, _ <-chan struct{}) {
			if !answered(c, t) {
				return
			}
			repeat(c, []byte(strings.Repeat("\r\n", chunkBytes/2)), endlessBytes)
		}},
	}
}

// PathAttacks are ways to misbehave by complete requests that are answered.
func PathAttacks() []Attack {
	return []Attack{
		{Name: "requests for very many long paths", Clients: pathClients, send: func(c net.Conn, t Target, _ <-chan struct{}) {
			base, answers := t.Path, bufio.NewReader(c)
			for i := range pathRequests {
				t.Path = fmt.Sprintf("%s/%s%p%d", base, strings.Repeat("x", t.headBytes()-pathRoom), c, i)
				if !write(c, []byte(t.head()+"Content-Length: 0\r\n\r\n")) {
					return
				}
				_ = c.SetReadDeadline(time.Now().Add(exchangeTimeout)) // Fails only on a closed connection.
				resp, err := http.ReadResponse(answers, nil)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
					return
				}
			}
		}},
	}
}

// headBytes returns the size of unfinished heads.
func (t Target) headBytes() int {
	if t.HeadBytes > 0 {
		return t.HeadBytes
	}
	return defaultHeadBytes
}

// shortLines returns about n bytes of header lines without values.
func shortLines(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// oddLines returns about n bytes of header lines that parsers accept and few clients send: ended
// by LF alone, with blank values, continued on the next line, and with equal names.
func oddLines(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%x:\na: \nb:\n c\na:\n", i)
	}
	return b.String()
}

// answered sends a request without a body and reports whether its answer has been read and the
// connection can be used again.
func answered(c net.Conn, t Target) bool {
	t.Method = http.MethodPost
	if !write(c, []byte(t.head()+"Content-Length: 0\r\n\r\n")) {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(writeTimeout)) // Fails only on a closed connection.
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return !resp.Close
}

// Exchange sends one request with further header lines on a connection of its own.
func Exchange(t Target, lines string) (*http.Response, error) {
	c, err := net.DialTimeout("tcp", t.Address, writeTimeout)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(exchangeTimeout)) // Fails only on a closed connection.
	if _, err := io.WriteString(c, t.head()+lines+"Connection: close\r\n\r\n"); err != nil {
		return nil, err
	}
	answer, err := io.ReadAll(c)
	if err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(bytes.NewReader(answer)), nil)
}
