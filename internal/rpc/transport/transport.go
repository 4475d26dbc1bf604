// Package transport carries calls between the processes of a cluster. Calls run
// over HTTP/2, in plain text on loopback or with mutual TLS, and always have a
// deadline. A connection that fails or goes silent is replaced, and a peer is
// reported unreachable only after a fresh connection has failed as well.
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

// ErrUnreachable is wrapped by the error of a call after which the peer counts
// as unreachable: a connection opened for the call failed too.
var ErrUnreachable = errors.New("peer is unreachable over a fresh connection")

const (
	// DefaultTimeout bounds a call whose context has no deadline.
	DefaultTimeout = time.Second
	// PingIdle is the time without a received frame after which a connection is checked by a ping.
	PingIdle = 500 * time.Millisecond
	// PingTimeout is the time in which a ping must be answered.
	PingTimeout = 500 * time.Millisecond
	// dialTimeout bounds the opening of a connection. A first packet that is lost,
	// or sent to a machine without power, is sent again after 1 s only; another try
	// or another member is sooner. Round trips take up to some 30 ms.
	dialTimeout = 250 * time.Millisecond
	// handshakeTimeout bounds a TLS handshake below the deadline of a call.
	handshakeTimeout = 700 * time.Millisecond
	// DefaultMaxMessage bounds requests and responses. A settings snapshot of
	// 33,000 customers takes some 10 MB.
	DefaultMaxMessage = 64 << 20
	// compressMinBytes is the size from which on responses are compressed. Below
	// it, setting up the compressor costs more processor time than the rest of a call.
	compressMinBytes = 4 << 10
)

// SenderHeader carries the address under which the sending process is reached.
const SenderHeader = "X-Auburnstep-Sender"

// LoadTLS returns the configuration for mutual TLS from PEM files. It serves
// both ends of a connection.
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
		return nil, Error.New("%s holds no certificate", caFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}

// Flow control windows: one large snapshot must not wait for many round trips.
const (
	windowPerStream     = 1 << 20
	windowPerConnection = 4<<20 - 1
)

func http2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout:               PingIdle,
		PingTimeout:                   PingTimeout,
		WriteByteTimeout:              PingIdle + PingTimeout,
		MaxReceiveBufferPerConnection: windowPerConnection,
		MaxReceiveBufferPerStream:     windowPerStream,
	}
}

func protocols(encrypted bool) *http.Protocols {
	p := new(http.Protocols)
	if encrypted {
		p.SetHTTP2(true)
	} else {
		p.SetUnencryptedHTTP2(true)
	}
	return p
}
