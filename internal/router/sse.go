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
const maxEventBytes = 1 << 20

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
}

// readEvent reads the next event. At the end of the body it returns io.EOF,
// together with the bytes of an unterminated event, if any.
func readEvent(r *bufio.Reader) (streamEvent, error) {
	e := streamEvent{id: -1}
	for {
		line, err := r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEventBytes {
			return e, errEventTooLarge
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return e, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil && n >= 0 {
				e.id = n
			}
		}
	}
}

// isCleanEOF reports whether an error of readEvent is the regular end of the body.
func isCleanEOF(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}
