// Package answers defines the answers of stand-in endpoints as a pure function of
// the request, so that the load tool and tests can tell whether an answer is
// whole and belongs to its own request.
package answers

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"regexp"
	"strconv"
	"strings"
)

// Bounds of the length of an answer to a prompt that does not set one.
const (
	minSeededTokens = 16
	maxSeededTokens = 256
)

const (
	consonants = "bcdfghjklmnprstvz"
	vowels     = "aeiou"
)

// Script produces the tokens of the answer to one prompt.
type Script uint64

// ScriptOf returns the script of the answer to prompt.
func ScriptOf(prompt string) Script {
	sum := sha256.Sum256([]byte(prompt))
	return Script(binary.BigEndian.Uint64(sum[:8]))
}

// AppendToken appends token i of the answer. Each token ends in a space.
func (s Script) AppendToken(b []byte, i int) []byte {
	v := mix(uint64(s) + uint64(i)*0x9e3779b97f4a7c15)
	for range 3 {
		b = append(b, consonants[v%uint64(len(consonants))])
		v /= uint64(len(consonants))
		b = append(b, vowels[v%uint64(len(vowels))])
		v /= uint64(len(vowels))
	}
	return append(b, ' ')
}

// Answer returns tokens from (inclusive) to to (exclusive) of the answer.
func (s Script) Answer(from, to int) string {
	b := make([]byte, 0, 7*max(to-from, 0))
	for i := from; i < to; i++ {
		b = s.AppendToken(b, i)
	}
	return string(b)
}

// mix is the finalizer of splitmix64.
func mix(v uint64) uint64 {
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}

// Answer returns the first n tokens of the answer to prompt.
func Answer(prompt string, n int) string { return ScriptOf(prompt).Answer(0, n) }

var lengthMark = regexp.MustCompile(`\[tokens=(\d+)\]`)

// LengthMark returns a text that sets the length of the answer when it is part
// of a prompt. A load generator uses it to choose lengths that nothing between
// it and the engine can know in advance.
func LengthMark(n int) string { return "[tokens=" + strconv.Itoa(n) + "]" }

// Length returns the number of tokens of the answer to prompt: the length mark,
// limited by maxTokens, or maxTokens, or a length seeded by the prompt.
func Length(prompt string, maxTokens int) int {
	if m := lengthMark.FindStringSubmatch(prompt); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil {
			if maxTokens > 0 {
				return min(n, maxTokens)
			}
			return n
		}
	}
	if maxTokens > 0 {
		return maxTokens
	}
	return minSeededTokens + int(mix(uint64(ScriptOf(prompt)))%(maxSeededTokens-minSeededTokens+1))
}

// Check reports whether text is the whole answer to prompt.
func Check(prompt string, maxTokens int, text string) bool {
	return text == Answer(prompt, Length(prompt, maxTokens))
}

// CountTokens returns the number of tokens in a prompt or an answer.
func CountTokens(text string) int { return len(strings.Fields(text)) }

// Echo is the answer to a lookup and to a booking. Digest is of the body of the
// request, or of its path and query where it has none.
type Echo struct {
	Path     string `json:"path"`
	Query    string `json:"query,omitempty"`
	Digest   string `json:"digest"`
	Sequence int    `json:"sequence,omitempty"`
}

// DigestOf returns the digest that an Echo carries for data.
func DigestOf(data string) string {
	sum := sha256.Sum256([]byte(data))
	return hex.EncodeToString(sum[:8])
}
