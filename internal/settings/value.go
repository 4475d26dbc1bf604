package settings

import (
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Type is the type of the values of a key.
type Type int

// Types of values.
const (
	TypeInt Type = iota + 1
	TypeDuration
	TypeSize
	TypeRatio
	TypeBool
	TypeName
	TypeNames
	TypeHashes
)

// String returns the name of the type for documentation and error messages.
func (t Type) String() string {
	return [...]string{"unknown", "integer", "duration", "size", "ratio", "bool", "name", "list of names",
		"list of sha256 hashes"}[t]
}

// Value is the value of a setting. The zero Value has no type.
type Value struct {
	typ  Type
	text string
	num  int64 // integer, nanoseconds, bytes, 0 or 1 of a bool, or float64 bits of a ratio
}

// String returns the canonical text. Parsing it gives the same value.
func (v Value) String() string { return v.text }

// Int returns the number of an integer value.
func (v Value) Int() int { return int(v.num) }

// Bytes returns the number of bytes of a size value.
func (v Value) Bytes() int64 { return v.num }

// Duration returns the duration of a duration value.
func (v Value) Duration() time.Duration { return time.Duration(v.num) }

// Ratio returns the number of a ratio value; 5% is 0.05.
func (v Value) Ratio() float64 { return math.Float64frombits(uint64(v.num)) }

// Bool returns the truth value of a bool value.
func (v Value) Bool() bool { return v.num != 0 }

// List returns the items of a list value.
func (v Value) List() []string {
	if v.text == "" {
		return nil
	}
	return strings.Split(v.text, ",")
}

// Parse parses a value of the key. An error states which values the key allows.
func (k *Key) Parse(text string) (Value, error) {
	v, err := parseType(k.Type, strings.TrimSpace(text))
	if err != nil {
		return Value{}, err
	}
	return v, k.checkRange(v)
}

func (k *Key) checkRange(v Value) error {
	if len(k.Allowed) > 0 && !slices.Contains(k.Allowed, v.text) {
		return fmt.Errorf("%q is not one of %s%s", v.text, strings.Join(k.Allowed, ", "), suggestion(v.text, k.Allowed))
	}
	if k.min.typ != 0 && (less(v, k.min) || less(k.max, v)) {
		return fmt.Errorf("%s is outside %s to %s", v, k.min, k.max)
	}
	if k.MaxItems > 0 && len(v.List()) > k.MaxItems {
		return fmt.Errorf("%d items, %d are allowed", len(v.List()), k.MaxItems)
	}
	return nil
}

func less(a, b Value) bool {
	if a.typ == TypeRatio {
		return a.Ratio() < b.Ratio()
	}
	return a.num < b.num
}

func parseType(t Type, text string) (Value, error) {
	switch t {
	case TypeInt:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return Value{}, fmt.Errorf("%q is not a whole number", text)
		}
		return Value{t, strconv.FormatInt(n, 10), n}, nil
	case TypeDuration:
		return parseDuration(text)
	case TypeSize:
		return parseSize(text)
	case TypeRatio:
		return parseRatio(text)
	case TypeBool:
		switch text {
		case "true":
			return Value{t, text, 1}, nil
		case "false":
			return Value{t, text, 0}, nil
		}
		return Value{}, fmt.Errorf("%q is not true or false", text)
	case TypeName:
		if !validItem(text) {
			return Value{}, fmt.Errorf("%q is not a name", text)
		}
		return Value{typ: t, text: text}, nil
	case TypeNames, TypeHashes:
		return parseList(t, text)
	}
	return Value{}, fmt.Errorf("values of type %s are not supported", t)
}

func parseDuration(text string) (Value, error) {
	d, err := time.ParseDuration(text)
	if err != nil || text == "0" || d%time.Microsecond != 0 {
		return Value{}, fmt.Errorf("%q is not a duration with a unit, such as 450ms, 20s or 24h", text)
	}
	return Value{TypeDuration, formatUnits(int64(d), durationUnits, "s"), int64(d)}, nil
}

func parseRatio(text string) (Value, error) {
	number, percent := strings.CutSuffix(text, "%")
	f, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return Value{}, fmt.Errorf("%q is not a ratio, such as 0.05 or 5%%", text)
	}
	if percent {
		// Rounding to 12 digits removes the rounding error of the division, so that
		// 7% equals 0.07.
		f, _ = strconv.ParseFloat(strconv.FormatFloat(f/100, 'g', 12, 64), 64)
	}
	if f == 0 {
		f = 0 // replaces negative zero
	}
	return Value{TypeRatio, strconv.FormatFloat(f, 'f', -1, 64), int64(math.Float64bits(f))}, nil
}

type unit struct {
	name string
	size int64
}

// Units, sorted from large to small. A canonical text uses the largest unit that
// divides the value.
var (
	durationUnits = []unit{{"h", int64(time.Hour)}, {"m", int64(time.Minute)}, {"s", int64(time.Second)},
		{"ms", int64(time.Millisecond)}, {"us", int64(time.Microsecond)}}
	sizeUnits    = []unit{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}
	decimalUnits = []unit{{"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}, {"kB", 1e3}}
)

// formatUnits returns n in the largest unit that divides it. zeroUnit is the unit
// of 0.
func formatUnits(n int64, units []unit, zeroUnit string) string {
	if n == 0 {
		return "0" + zeroUnit
	}
	for _, u := range units {
		if n%u.size == 0 {
			return strconv.FormatInt(n/u.size, 10) + u.name
		}
	}
	return strconv.FormatInt(n, 10)
}

func parseSize(text string) (Value, error) {
	for _, u := range append(slices.Clone(decimalUnits), sizeUnits...) {
		number, ok := strings.CutSuffix(text, u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/u.size {
			break
		}
		return Value{TypeSize, formatUnits(n*u.size, sizeUnits, "B"), n * u.size}, nil
	}
	return Value{}, fmt.Errorf("%q is not a size with a unit, such as 512KiB or 4MiB", text)
}

// ParseSize returns the number of bytes of a size with a unit, such as 4MiB.
func ParseSize(text string) (int64, error) {
	v, err := parseSize(text)
	return v.Bytes(), err
}

func parseList(t Type, text string) (Value, error) {
	if text == "" {
		return Value{typ: t}, nil
	}
	items := strings.Split(text, ",")
	seen := make(map[string]bool, len(items))
	for i, item := range items {
		item = strings.TrimSpace(item)
		if t == TypeHashes {
			item = strings.ToLower(item)
			if raw, err := hex.DecodeString(item); err != nil || len(raw) != 32 {
				return Value{}, fmt.Errorf("an item is not a sha256 hash of 64 hex digits")
			}
		} else if !validItem(item) {
			return Value{}, fmt.Errorf("%q is not a name", item)
		}
		if seen[item] {
			return Value{}, fmt.Errorf("%q is listed twice", item)
		}
		seen[item] = true
		items[i] = item
	}
	if t == TypeHashes {
		slices.Sort(items)
	}
	return Value{typ: t, text: strings.Join(items, ",")}, nil
}

// maxItemLength is the maximum length of a name value and of an item in a list of
// names, such as a model name.
const maxItemLength = 128

func validItem(s string) bool {
	if s == "" || len(s) > maxItemLength {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || c == ',' || c == '"' {
			return false
		}
	}
	return true
}
