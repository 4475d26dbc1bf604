package router

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 256 << 10

// errEventTooLarge means that an event exceeds maxEventBytes.
var errEventTooLarge = errors.New("an event of the stream is too large")

// splitList returns the elements of a comma-separated header value.
func splitList(s string) []string {
	var out []string
	for _, e := range strings.Split(s, ",") {
		if e = strings.TrimSpace(e); e != "" {
			out = append(out, e)
		}
	}
	return out
}

// streamEvent is one server-sent event, including the empty line that terminates
// it.
type streamEvent struct {
	raw []byte
	// id is the event's id, or -1 if it has no numeric id.
	id int64
	// empty is set if there are no fields, only comments or nothing. Endpoints may send
	// such blocks to keep the connection open; they are no progress.
	empty bool
}

// readEvent reads the next event. At the end of the body it returns io.EOF,
// together with the bytes of an unterminated event, if any.
func readEvent(r *bufio.Reader) (streamEvent, error) {
	e := streamEvent{id: -1, empty: true}
	lineStart := true
	for {
		line, err := r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		rest := !lineStart // The line is the rest of one that exceeds the reader's buffer.
		lineStart = err == nil
		if len(e.raw) > maxEventBytes {
			return e, errEventTooLarge
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			e.empty = e.empty && (rest || line[0] == ':')
			continue
		case err != nil:
			return e, err
		case rest:
			continue
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		e.empty = e.empty && line[0] == ':'
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil && n >= 0 {
				e.id = n
			}
		}
	}
}

// hasField reports whether text has a line other than empty ones and comments.
func hasField(text []byte) bool {
	for line := range bytes.Lines(text) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// isCleanEOF reports whether an error of readEvent is the regular end of the body.
func isCleanEOF(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}
