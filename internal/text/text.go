// Package text checks text from outside that other processes get to see: in protobuf messages,
// which must be UTF-8, in the heads of HTTP messages, where a line break ends a field, and in
// names that are kept for as long as what they name. Text is checked where it enters.
package text

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

const (
	// MaxIDBytes and MaxNameBytes bound the length of ids and names.
	MaxIDBytes   = 128
	MaxNameBytes = 256
)

// IsID reports whether s can be used as an identifier: 1 to MaxIDBytes printable ASCII characters
// without spaces.
func IsID(s string) bool {
	return s != "" && len(s) <= MaxIDBytes && strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}

// CheckID returns an error unless s is an identifier. what says what s identifies.
func CheckID(what, s string) error {
	if !IsID(s) {
		return fmt.Errorf("%s %s must be 1 to %d printable ASCII characters without spaces", what, quote(s), MaxIDBytes)
	}
	return nil
}

// IsName reports whether s can be used as a name: 1 to MaxNameBytes bytes of UTF-8 without control
// characters, and without white space at its ends, which receivers of a header would remove.
func IsName(s string) bool {
	return s != "" && len(s) <= MaxNameBytes && utf8.ValidString(s) && strings.IndexFunc(s, unicode.IsControl) < 0 && strings.TrimSpace(s) == s
}

// CheckName returns an error unless s is a name. what says what s names.
func CheckName(what, s string) error {
	if !IsName(s) {
		return fmt.Errorf("%s %s must be 1 to %d bytes of UTF-8 without control characters and without spaces at its ends", what, quote(s), MaxNameBytes)
	}
	return nil
}

// maxPrintedBytes is the part of other text that Printable keeps: its quoted form is up to four
// times as long.
const maxPrintedBytes = 56

// Printable returns s if it is a name, and otherwise the quoted beginning of s, which is one. It is
// for text that has to be accepted as it is, such as ids that callers choose.
func Printable(s string) string {
	switch {
	case IsName(s):
		return s
	case len(s) > maxPrintedBytes:
		return fmt.Sprintf("%s... (%d bytes)", strconv.QuoteToASCII(s[:maxPrintedBytes]), len(s))
	}
	return strconv.QuoteToASCII(s)
}

// IsFieldValue reports whether s can be the value of a field in the head of an HTTP message
// (RFC 9110, section 5.5): it has no control characters but tabs.
func IsFieldValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// quote returns the beginning of s for a message.
func quote(s string) string {
	if len(s) > MaxIDBytes {
		return fmt.Sprintf("%q... (%d bytes)", s[:MaxIDBytes], len(s))
	}
	return fmt.Sprintf("%q", s)
}
