package upstream

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

// chunkDecoder decodes chunks with the usual keys in one pass. It exists because
// encoding/json takes about 5.6 us for a chunk, which is most of the cost of a token in
// this package. For anything unusual (other keys, escapes in names, nested values) it
// fails, and encoding/json decodes the chunk instead. FuzzQuick checks that both give the
// same result for every chunk that chunkDecoder accepts.
type chunkDecoder struct {
	data []byte
	pos  int
}

var nullLiteral = []byte("null")

// skipSpace moves to the next byte that is not white space and returns it. It returns 0 at
// the end of the data.
func (dec *chunkDecoder) skipSpace() byte {
	for ; dec.pos < len(dec.data); dec.pos++ {
		switch b := dec.data[dec.pos]; b {
		case ' ', '\t', '\r', '\n':
		default:
			return b
		}
	}
	return 0
}

// consume consumes b after optional white space.
func (dec *chunkDecoder) consume(b byte) bool {
	if dec.skipSpace() != b {
		return false
	}
	dec.pos++
	return true
}

// rawString consumes a string and returns it with its quotes. plain is false if the string
// contains an escape.
func (dec *chunkDecoder) rawString() (raw []byte, plain, ok bool) {
	if !dec.consume('"') {
		return nil, false, false
	}
	start := dec.pos - 1
	plain = true
	for dec.pos < len(dec.data) {
		b := dec.data[dec.pos]
		dec.pos++
		switch {
		case b == '"':
			return dec.data[start:dec.pos], plain, true
		case b == '\\':
			plain = false
			dec.pos++
		case b < ' ':
			return nil, false, false
		}
	}
	return nil, false, false
}

// stringValue consumes a string and returns its value.
func (dec *chunkDecoder) stringValue() (string, bool) {
	raw, plain, ok := dec.rawString()
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

// integer consumes an integer of up to 15 digits without a sign.
func (dec *chunkDecoder) integer() (int, bool) {
	dec.skipSpace()
	start, n := dec.pos, 0
	for dec.pos < len(dec.data) && dec.data[dec.pos] >= '0' && dec.data[dec.pos] <= '9' {
		n = n*10 + int(dec.data[dec.pos]-'0')
		dec.pos++
	}
	digits := dec.pos - start
	return n, digits > 0 && digits <= 15 && (digits == 1 || dec.data[start] != '0')
}

// consumeNull consumes the literal null.
func (dec *chunkDecoder) consumeNull() bool {
	dec.skipSpace()
	if !bytes.HasPrefix(dec.data[dec.pos:], nullLiteral) {
		return false
	}
	dec.pos += 4
	return true
}

// skipScalar consumes a string, an integer or null and discards its value.
func (dec *chunkDecoder) skipScalar() bool {
	switch dec.skipSpace() {
	case '"':
		raw, plain, ok := dec.rawString()
		return ok && (plain || json.Valid(raw))
	case 'n':
		return dec.consumeNull()
	default:
		_, ok := dec.integer()
		return ok
	}
}

// decodeObject consumes an object. It calls field with each name; field consumes the value.
func (dec *chunkDecoder) decodeObject(field func(name []byte) bool) bool {
	if !dec.consume('{') {
		return false
	}
	if dec.consume('}') {
		return true
	}
	for {
		raw, plain, ok := dec.rawString()
		if !ok || !plain || !dec.consume(':') || !field(raw[1:len(raw)-1]) {
			return false
		}
		if dec.consume('}') {
			return true
		}
		if !dec.consume(',') {
			return false
		}
	}
}

// decode decodes a complete chunk with at most one choice into w. It returns false if the
// chunk is not one that chunkDecoder supports.
func (dec *chunkDecoder) decode(w *wireChunk) bool {
	ok := dec.decodeObject(func(name []byte) (ok bool) {
		switch string(name) {
		case "id":
			w.ID, ok = dec.stringValue()
		case "auburnstep_offset":
			w.inlineOffset, ok = dec.integer()
			w.Offset = &w.inlineOffset
		case "choices":
			ok = w.Choices == nil && dec.decodeChoices(w)
		case "object", "created", "model", "system_fingerprint", "service_tier":
			ok = dec.skipScalar()
		}
		return ok
	})
	return ok && dec.skipSpace() == 0 && dec.pos == len(dec.data)
}

func (dec *chunkDecoder) decodeChoices(w *wireChunk) bool {
	if !dec.consume('[') {
		return false
	}
	w.Choices = w.inlineChoice[:1]
	c := &w.Choices[0]
	return dec.decodeObject(func(name []byte) (ok bool) {
		switch string(name) {
		case "index":
			_, ok = dec.integer()
		case "logprobs":
			ok = dec.consumeNull()
		case "finish_reason":
			if dec.skipSpace() == 'n' {
				c.FinishReason = nil
				return dec.consumeNull()
			}
			var reason string
			reason, ok = dec.stringValue()
			c.FinishReason = &reason
		case "delta":
			ok = dec.decodeDelta(&c.Delta)
		}
		return ok
	}) && dec.consume(']')
}

func (dec *chunkDecoder) decodeDelta(d *wireDelta) bool {
	return dec.decodeObject(func(name []byte) (ok bool) {
		switch string(name) {
		case "content":
			if dec.skipSpace() == 'n' {
				return dec.consumeNull()
			}
			d.Content, ok = dec.stringValue()
		case "role":
			ok = dec.skipScalar()
		}
		return ok
	})
}
