package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrUploadCut means that a response without a length ended before the endpoint had received
// the whole request, so that the end cannot be told from that of a broken connection.
var ErrUploadCut = errors.New("the connection ended during the upload")

const (
	// uploadPollInterval is the time between two checks whether the endpoint has received
	// the rest of a request.
	uploadPollInterval = 2 * time.Millisecond
	// tcpCloseWait is the state of a connection that the other side has closed regularly, in
	// the numbering of TCP_INFO. After a reset the state is another one, also if the error
	// was already reported to a writer.
	tcpCloseWait = 8
	// tcpStateUnknown is what a system reports that supports the call but not the state.
	tcpStateUnknown = 0
)

// upload is the writing of a request.
type upload struct {
	done chan struct{} // closed at the end
	err  error         // valid after done
}

func (u *upload) write(c net.Conn, buffers net.Buffers) {
	defer close(u.done)
	_, u.err = buffers.WriteTo(c)
}

// written reports whether the whole request has been written.
func (u *upload) written() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// unframedBody is the body of a response that ends with its connection. The end of a broken
// connection looks the same to a reader if the writer of the request got the error first.
// Therefore the body is complete only if the endpoint has closed its side without a reset and
// its host has acknowledged the whole request.
type unframedBody struct {
	io.ReadCloser
	ctx    context.Context
	conn   *conn
	upload *upload
}

// Read implements io.Reader.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if cut := b.awaitUpload(); cut != nil {
			err = cut
		}
	}
	return n, err
}

// awaitUpload waits until the endpoint has received the whole request. It gives up once
// nothing more was received for tcpUserTimeout, or when the connection is broken.
func (b *unframedBody) awaitUpload() error {
	ticker := time.NewTicker(uploadPollInterval)
	defer ticker.Stop()
	progressAt, acked := time.Now(), uint64(0)
	for {
		info, err := b.conn.tcpInfo()
		if err != nil || info.State == tcpStateUnknown {
			// Without the state, only a request that was written whole and without an error is
			// known to have met no reset.
			if b.upload.written() {
				return nil
			}
			return ErrUploadCut
		}
		switch {
		case info.State != tcpCloseWait:
			return ErrUploadCut
		case b.upload.written() && info.Unacked == 0 && info.Notsent_bytes == 0:
			return nil
		case info.Bytes_acked != acked:
			progressAt, acked = time.Now(), info.Bytes_acked
		case time.Since(progressAt) >= tcpUserTimeout:
			return ErrUploadCut
		}
		select {
		case <-ticker.C:
		case <-b.ctx.Done():
			return context.Cause(b.ctx)
		}
	}
}

// tcpInfo returns the state of the connection.
func (c *conn) tcpInfo() (info *unix.TCPInfo, err error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, Error.New("the connection has no socket")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(controlErr, err)
}

// guardEnd makes the end of a body that ends with its connection depend on the upload.
func (r *Response) guardEnd(ctx context.Context) {
	if r.Body == http.NoBody || selfDelimited(r.Response) {
		return
	}
	r.Body = &unframedBody{ReadCloser: r.Body, ctx: ctx, conn: r.conn, upload: r.upload}
}
