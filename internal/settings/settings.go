// Package settings holds the tree of dynamic settings: its typed keys, the
// inheritance of values, validation, declarations in YAML and the index that
// requests are served from. A Tree is immutable; a change makes a new one that
// shares all untouched nodes with the old.
package settings

import (
	"fmt"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// Kind is the kind of a node.
type Kind string

// Kinds of nodes. A class below a service defines a request class. A class
// below a customer overrides the values of the class of that name for the
// requests of the customer.
const (
	Group    Kind = "group"
	Service  Kind = "service"
	Class    Kind = "class"
	Customer Kind = "customer"
)

// Kinds returns all kinds of nodes.
func Kinds() []Kind { return []Kind{Group, Service, Class, Customer} }

func (k Kind) valid() bool { return slices.Contains(Kinds(), k) }

// mayHold reports whether a node of kind k may be the parent of one of kind child.
func (k Kind) mayHold(child Kind) bool {
	switch k {
	case Group:
		return child != Class
	case Service, Customer:
		return child == Class
	default:
		return false
	}
}

// ErrUnknownNode is the class of errors for a path without a node.
var ErrUnknownNode = errs.Class("unknown node")

// ErrMalformed is the class of errors for operations and stored settings that
// have no meaning at all, such as a path without a leading slash.
var ErrMalformed = errs.Class("malformed settings")

// Problem is one reason why settings are refused. Key is empty where the
// problem concerns the node itself.
type Problem struct {
	Path    string
	Key     string
	Message string
}

// String returns the problem as "path key: message".
func (p Problem) String() string {
	if p.Key == "" {
		return fmt.Sprintf("%s: %s", p.Path, p.Message)
	}
	return fmt.Sprintf("%s %s: %s", p.Path, p.Key, p.Message)
}

// InvalidError lists the problems of refused settings, by path and key.
type InvalidError struct {
	Problems []Problem
}

// shownProblems bounds the length of an error message; Problems has all.
const shownProblems = 10

// Error returns the first problems on one line.
func (e *InvalidError) Error() string {
	var b strings.Builder
	for i, p := range e.Problems {
		if i == shownProblems {
			fmt.Fprintf(&b, "; and %d more", len(e.Problems)-i)
			break
		}
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(p.String())
	}
	return b.String()
}

// invalid returns an error for the problems in a stable order, or nil.
func invalid(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	slices.SortFunc(problems, func(a, b Problem) int {
		return strings.Compare(a.Path+"\x00"+a.Key+"\x00"+a.Message, b.Path+"\x00"+b.Key+"\x00"+b.Message)
	})
	return &InvalidError{Problems: slices.Compact(problems)}
}

// Limits of paths. They bound the work of a look-up and the size of a record.
const (
	maxDepth   = 8
	maxSegment = 63
)

// Root is the path of the node that every tree has.
const Root = "/"

// CheckPath reports why text is not the path of a node.
func CheckPath(path string) error {
	if path == Root {
		return nil
	}
	if !strings.HasPrefix(path, "/") {
		return ErrMalformed.New("path %q does not start with a slash", path)
	}
	segments := strings.Split(path[1:], "/")
	if len(segments) > maxDepth {
		return ErrMalformed.New("path %q has %d levels, %d are allowed", path, len(segments), maxDepth)
	}
	for _, s := range segments {
		if !validSegment(s) {
			return ErrMalformed.New("path %q: name %q must be 1 to %d of a-z 0-9 . _ - and start with a letter or digit",
				path, s, maxSegment)
		}
	}
	return nil
}

func validSegment(s string) bool {
	if s == "" || len(s) > maxSegment {
		return false
	}
	for i := range len(s) {
		c := s[i]
		alnum := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		if !alnum && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}
	return true
}

func parentOf(path string) string {
	i := strings.LastIndexByte(path, '/')
	if i <= 0 {
		return Root
	}
	return path[:i]
}

func nameOf(path string) string { return path[strings.LastIndexByte(path, '/')+1:] }

// below returns the prefix that all paths below path have.
func below(path string) string {
	if path == Root {
		return Root
	}
	return path + "/"
}
