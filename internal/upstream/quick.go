package upstream

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

// quick reads chunks of the usual shape in one pass. encoding/json takes about
// 5.6 us for a chunk, which is most of the cost of a token in this package.
// Whatever is unusual (other keys, escapes in names, nested values) makes it
// give up, and encoding/json reads the chunk in its place. FuzzQuick checks that
// both agree wherever quick does not give up.
type quick struct {
	data []byte
	at   int
}

var nullValue = []byte("null")

// skipSpace moves to the next byte that is not white space and returns it, or 0.
func (q *quick) skipSpace() byte {
	for ; q.at < len(q.data); q.at++ {
		switch b := q.data[q.at]; b {
		case ' ', '\t', '\r', '\n':
		default:
			return b
		}
	}
	return 0
}

// take consumes b.
func (q *quick) take(b byte) bool {
	if q.skipSpace() != b {
		return false
	}
	q.at++
	return true
}

// str consumes a string and returns it with its quotes. plain is false where it
// holds an escape.
func (q *quick) str() (raw []byte, plain, ok bool) {
	if !q.take('"') {
		return nil, false, false
	}
	start := q.at - 1
	plain = true
	for q.at < len(q.data) {
		b := q.data[q.at]
		q.at++
		switch {
		case b == '"':
			return q.data[start:q.at], plain, true
		case b == '\\':
			plain = false
			q.at++
		case b < ' ':
			return nil, false, false
		}
	}
	return nil, false, false
}

// text consumes a string and returns its value.
func (q *quick) text() (string, bool) {
	raw, plain, ok := q.str()
	if !ok {
		return "", false
	}
	if plain && utf8.Valid(raw) {
		return string(raw[1 : len(raw)-1]), true
	}
	var s string
	if json.Unmarshal(raw, &s) != nil {
		return "", false
	}
	return s, true
}

// number consumes an integer of up to 15 digits without a sign.
func (q *quick) number() (int, bool) {
	q.skipSpace()
	start, n := q.at, 0
	for q.at < len(q.data) && q.data[q.at] >= '0' && q.data[q.at] <= '9' {
		n = n*10 + int(q.data[q.at]-'0')
		q.at++
	}
	digits := q.at - start
	return n, digits > 0 && digits <= 15 && (digits == 1 || q.data[start] != '0')
}

// null consumes null.
func (q *quick) null() bool {
	q.skipSpace()
	if !bytes.HasPrefix(q.data[q.at:], nullValue) {
		return false
	}
	q.at += 4
	return true
}

// scalar consumes a string, an integer or null whose value does not matter.
func (q *quick) scalar() bool {
	switch q.skipSpace() {
	case '"':
		raw, plain, ok := q.str()
		return ok && (plain || json.Valid(raw))
	case 'n':
		return q.null()
	default:
		_, ok := q.number()
		return ok
	}
}

// object consumes an object and calls field for each name, to consume the value.
func (q *quick) object(field func(name []byte) bool) bool {
	if !q.take('{') {
		return false
	}
	if q.take('}') {
		return true
	}
	for {
		raw, plain, ok := q.str()
		if !ok || !plain || !q.take(':') || !field(raw[1:len(raw)-1]) {
			return false
		}
		if q.take('}') {
			return true
		}
		if !q.take(',') {
			return false
		}
	}
}

// chunk reads a whole chunk with at most one choice.
func (q *quick) chunk(w *wireChunk) bool {
	ok := q.object(func(name []byte) (ok bool) {
		switch string(name) {
		case "id":
			w.ID, ok = q.text()
		case "auburnstep_offset":
			w.offset, ok = q.number()
			w.Offset = &w.offset
		case "choices":
			ok = w.Choices == nil && q.choices(w)
		case "object", "created", "model", "system_fingerprint", "service_tier":
			ok = q.scalar()
		}
		return ok
	})
	return ok && q.skipSpace() == 0 && q.at == len(q.data)
}

func (q *quick) choices(w *wireChunk) bool {
	if !q.take('[') {
		return false
	}
	w.Choices = w.one[:1]
	c := &w.Choices[0]
	return q.object(func(name []byte) (ok bool) {
		switch string(name) {
		case "index":
			_, ok = q.number()
		case "logprobs":
			ok = q.null()
		case "finish_reason":
			if q.skipSpace() == 'n' {
				c.FinishReason = nil
				return q.null()
			}
			var reason string
			reason, ok = q.text()
			c.FinishReason = &reason
		case "delta":
			ok = q.delta(&c.Delta)
		}
		return ok
	}) && q.take(']')
}

func (q *quick) delta(d *wireDelta) bool {
	return q.object(func(name []byte) (ok bool) {
		switch string(name) {
		case "content":
			if q.skipSpace() == 'n' {
				return q.null()
			}
			d.Content, ok = q.text()
		case "role":
			ok = q.scalar()
		}
		return ok
	})
}
