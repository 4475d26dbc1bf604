// Package transport carries calls between the processes of a cluster. Calls use
// HTTP/2, in plain text or with mutual TLS, and always have a deadline. A connection
// that fails or goes silent is replaced. A peer is reported as unreachable only after
// a call over a new connection has failed.
package transport

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("transport")

// ErrUnreachable is wrapped by the error of a call that failed without a response
// over a new connection. The peer is then considered unreachable.
var ErrUnreachable = errors.New("peer is unreachable over a new connection")

const (
	// DefaultTimeout limits a call whose context has no deadline.
	DefaultTimeout = time.Second
	// PingIdleTimeout is the time without a received frame after which a ping is sent.
	PingIdleTimeout = 500 * time.Millisecond
	// PingTimeout is the time within which the response to a ping must arrive.
	PingTimeout = 500 * time.Millisecond
	// dialTimeout limits the time to open a connection. If the first packet is lost or
	// the peer's machine is down, TCP resends it only after 1 s; a new attempt or a call
	// to another member is faster. Round trips take up to about 30 ms.
	dialTimeout = 250 * time.Millisecond
	// handshakeTimeout limits a TLS handshake. It is shorter than DefaultTimeout.
	handshakeTimeout = 700 * time.Millisecond
	// DefaultMaxMessageBytes limits the size of requests and responses, in bytes. A settings
	// snapshot of 33,000 customers takes about 10 MB.
	DefaultMaxMessageBytes = 64 << 20
	// compressMinBytes is the minimum size of responses that are compressed. For smaller
	// ones, setting up the compressor takes more CPU time than the rest of the call.
	compressMinBytes = 4 << 10
)

// SenderHeader is the HTTP header with the address on which other processes reach the
// sender.
const SenderHeader = "X-Auburnstep-Sender"

// LoadTLS returns a configuration for mutual TLS from PEM files. Clients and servers
// can use it.
func LoadTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, Error.New("%s contains no PEM certificate", caFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

// Flow-control windows of HTTP/2 at clients. They are large, so that the transfer of a large
// snapshot does not need many round trips.
const (
	streamWindowBytes     = 1 << 20
	connectionWindowBytes = 4<<20 - 1
)

// ServerWindowBytes is the flow-control window of a connection and of a stream at a server, in
// bytes. Clients can fill it before a handler reads.
const ServerWindowBytes = 256 << 10

const (
	// serverFrameBytes is the largest frame that a server reads. The whole frame is held in
	// memory before any of it reaches a handler.
	serverFrameBytes = 16 << 10
	// serverStreams is the number of streams of a connection that a server serves at a time.
	serverStreams = 250
)

func serverHTTP2Config() *http.HTTP2Config {
	c := http2Config()
	c.MaxReceiveBufferPerConnection, c.MaxReceiveBufferPerStream = ServerWindowBytes, ServerWindowBytes
	c.MaxReadFrameSize, c.MaxConcurrentStreams = serverFrameBytes, serverStreams
	return c
}

func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout:               PingIdleTimeout,
		PingTimeout:                   PingTimeout,
		WriteByteTimeout:              PingIdleTimeout + PingTimeout,
		MaxReceiveBufferPerConnection: connectionWindowBytes,
		MaxReceiveBufferPerStream:     streamWindowBytes,
	}
}

// protocols permits only HTTP/2, with or without encryption.
func protocols(encrypted bool) *http.Protocols {
	p := new(http.Protocols)
	if encrypted {
		p.SetHTTP2(true)
	} else {
		p.SetUnencryptedHTTP2(true)
	}
	return p
}
