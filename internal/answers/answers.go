// Package answers computes the responses of fake endpoints. A response depends on
// its request only, so that the load tool and tests can check whether a response is
// complete and belongs to the request.
package answers

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"regexp"
	"strconv"
	"strings"
)

// Bounds in tokens of the response length that ResponseTokens derives from the hash of a
// prompt, if neither a length marker nor a token limit sets the length.
const (
	minHashedTokens = 16
	maxHashedTokens = 256
)

const (
	consonants = "bcdfghjklmnprstvz"
	vowels     = "aeiou"
)

// Generator generates the tokens of the response to one prompt. Its value is the seed.
type Generator uint64

// NewGenerator returns the generator of the response to prompt.
func NewGenerator(prompt string) Generator {
	sum := sha256.Sum256([]byte(prompt))
	return Generator(binary.BigEndian.Uint64(sum[:8]))
}

// AppendToken appends token i of the response to b. Each token ends in a space.
func (s Generator) AppendToken(b []byte, i int) []byte {
	v := splitmix64(uint64(s) + uint64(i)*0x9e3779b97f4a7c15)
	for range 3 {
		b = append(b, consonants[v%uint64(len(consonants))])
		v /= uint64(len(consonants))
		b = append(b, vowels[v%uint64(len(vowels))])
		v /= uint64(len(vowels))
	}
	return append(b, ' ')
}

// ResponseText returns the text of the tokens with indexes in [from, to) of the response.
func (s Generator) ResponseText(from, to int) string {
	b := make([]byte, 0, 7*max(to-from, 0))
	for i := from; i < to; i++ {
		b = s.AppendToken(b, i)
	}
	return string(b)
}

// splitmix64 is the finalizer (output function) of the SplitMix64 generator.
func splitmix64(v uint64) uint64 {
	v = (v ^ v>>30) * 0xbf58476d1ce4e5b9
	v = (v ^ v>>27) * 0x94d049bb133111eb
	return v ^ v>>31
}

// ResponseText returns the first n tokens of the response to prompt.
func ResponseText(prompt string, n int) string { return NewGenerator(prompt).ResponseText(0, n) }

var lengthMarkerPattern = regexp.MustCompile(`\[tokens=(\d+)\]`)

// LengthMarker returns a text that, as part of a prompt, sets the number of tokens of
// the response. A load generator uses it to choose response lengths that the components
// between it and the engine cannot know in advance.
func LengthMarker(n int) string { return "[tokens=" + strconv.Itoa(n) + "]" }

// ResponseTokens returns the number of tokens of the response to prompt. It is the length
// set by a length marker, limited to maxTokens. Without a marker it is maxTokens, or,
// if maxTokens is 0, a length derived from the hash of the prompt.
func ResponseTokens(prompt string, maxTokens int) int {
	if m := lengthMarkerPattern.FindStringSubmatch(prompt); m != nil {
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
	return minHashedTokens + int(splitmix64(uint64(NewGenerator(prompt)))%(maxHashedTokens-minHashedTokens+1))
}

// Check reports whether text is the complete response to prompt.
func Check(prompt string, maxTokens int, text string) bool {
	return text == ResponseText(prompt, ResponseTokens(prompt, maxTokens))
}

// CountTokens returns the number of tokens in a prompt or a response.
func CountTokens(text string) int { return len(strings.Fields(text)) }

// Echo is the response of a plain endpoint to a lookup or a booking. Digest is the
// digest of the request body, or of the path and query if the request has no body.
type Echo struct {
	Path     string `json:"path"`
	Query    string `json:"query,omitempty"`
	Digest   string `json:"digest"`
	Sequence int    `json:"sequence,omitempty"`
}

// DigestOf returns the value of Echo.Digest for data.
func DigestOf(data string) string {
	sum := sha256.Sum256([]byte(data))
	return hex.EncodeToString(sum[:8])
}
