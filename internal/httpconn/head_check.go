package httpconn

import (
	"errors"
	"net/http"
)

// ErrInvalidHead means that a response does not begin with the status line of an HTTP/1
// response with a status from 100 to 599, or that it has version 1.0 and a transfer encoding.
var ErrInvalidHead = errors.New("the endpoint sent no valid head of a response")

const (
	protocolPrefix = "HTTP/1."
	// maxStatus is the highest valid status (RFC 9110, section 15).
	maxStatus = 599
	// transferEncoding begins a header line that makes the framing of an HTTP/1.0 response
	// faulty (RFC 9112, section 6.1). http.ReadResponse drops it, and the framing of chunks
	// would become a part of the body.
	transferEncoding = "transfer-encoding:"
)

// headPhase is a part of the head of a response.
type headPhase int

const (
	// unchecked is everything after the checked part of the final response.
	unchecked headPhase = iota
	inStatusLine
	inInterimHead
	inOldHead // that of a final HTTP/1.0 response
)

// HeadCheck checks the heads of the interim responses and of the final response to one request
// as their bytes arrive. http.ReadResponse is more lenient: it takes statuses such as 000, 20
// or 999 and the HTTP versions 0.9, 2.0 and 3.0. The zero value checks nothing.
type HeadCheck struct {
	phase headPhase
	line  statusLine
	// column is the position in a line of a head. matched is the number of bytes of
	// transferEncoding that the line begins with.
	column, matched int
}

// Start begins the check of the responses to a request.
func (h *HeadCheck) Start() { *h = HeadCheck{phase: inStatusLine} }

// FinalSeen reports whether the status line of the final response has been checked.
func (h *HeadCheck) FinalSeen() bool { return h.phase == unchecked || h.phase == inOldHead }

// Check checks the next bytes of the connection.
func (h *HeadCheck) Check(p []byte) error {
	for i := 0; i < len(p) && h.phase != unchecked; i++ {
		if err := h.next(p[i]); err != nil {
			return err
		}
	}
	return nil
}

func (h *HeadCheck) next(b byte) error {
	if h.phase != inStatusLine {
		return h.nextInHead(b)
	}
	status, err := h.line.next(b)
	switch {
	case err != nil || status == 0:
		return err
	case status < http.StatusOK:
		h.phase = inInterimHead
	case h.line.oldVersion:
		h.phase = inOldHead
	default:
		h.phase = unchecked
	}
	h.column, h.matched = 1, 0
	if b == '\n' {
		h.column = 0
	}
	return nil
}

// nextInHead checks a byte after a status.
func (h *HeadCheck) nextInHead(b byte) error {
	switch {
	case b == '\n' && h.column == 0: // the empty line at the end
		if h.phase == inOldHead {
			h.phase = unchecked
		} else {
			h.Start()
		}
		return nil
	case b == '\n':
		h.column, h.matched = 0, 0
		return nil
	case b == '\r' && h.column == 0:
		return nil
	}
	if h.matched == h.column && h.matched < len(transferEncoding) && toLower(b) == transferEncoding[h.matched] {
		h.matched++
	}
	h.column++
	if h.phase == inOldHead && h.matched == len(transferEncoding) {
		return ErrInvalidHead
	}
	return nil
}

func toLower(b byte) byte {
	if b >= 'A' && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// statusLine checks the bytes of a status line up to the one after the status, one by one. The
// zero value is ready for the first byte of a response.
type statusLine struct {
	position, status int
	oldVersion       bool // HTTP/1.0
}

// next checks the next byte. It returns the status with the byte after it, and 0 before.
func (l *statusLine) next(b byte) (status int, err error) {
	const version, space, firstDigit, end = len(protocolPrefix), len(protocolPrefix) + 1, len(protocolPrefix) + 2, len(protocolPrefix) + 5
	isDigit := b >= '0' && b <= '9'
	valid := false
	switch p := l.position; {
	case p < version:
		valid = b == protocolPrefix[p]
	case p == version:
		valid = isDigit
		l.oldVersion = b == '0'
	case p == space:
		valid = b == ' '
	case p < end:
		valid = isDigit
		l.status = l.status*10 + int(b) - '0'
		if p == firstDigit && b == '0' {
			valid = false
		}
	default: // The reason and the space before it may be missing.
		valid = b == ' ' || b == '\r' || b == '\n'
	}
	if !valid {
		return 0, ErrInvalidHead
	}
	if l.position++; l.position <= end {
		return 0, nil
	}
	if l.status > maxStatus || l.status == http.StatusSwitchingProtocols {
		return 0, ErrInvalidHead // No request asks for another protocol.
	}
	return l.status, nil
}
