// Package settings implements the tree of dynamic settings: the registry of typed
// keys, the inheritance and validation of values, declarations in YAML, and the
// index that the request path reads. A Tree is immutable: a change returns a new
// Tree that shares all unchanged nodes with the old one.
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
// below a customer overrides the values of the request class with the same name
// for the requests of the customer.
const (
	Group    Kind = "group"
	Service  Kind = "service"
	Class    Kind = "class"
	Customer Kind = "customer"
)

// Kinds returns all kinds of nodes.
func Kinds() []Kind { return []Kind{Group, Service, Class, Customer} }

func (k Kind) valid() bool { return slices.Contains(Kinds(), k) }

// mayContain reports whether a node of kind k may be the parent of a node of kind
// child.
func (k Kind) mayContain(child Kind) bool {
	switch k {
	case Group:
		return child != Class
	case Service, Customer:
		return child == Class
	default:
		return false
	}
}

// ErrUnknownNode is the class of errors for a path at which no node exists.
var ErrUnknownNode = errs.Class("unknown node")

// ErrMalformed is the class of errors for operations and stored settings that
// no version accepts, such as a path without a leading slash.
var ErrMalformed = errs.Class("malformed settings")

// Problem is one reason why settings are refused. Key is empty if the problem
// concerns the node itself.
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

// InvalidError lists the problems of refused settings, sorted by path and key.
type InvalidError struct {
	Problems []Problem
}

// maxShownProblems is the maximum number of problems in an error message.
// InvalidError.Problems contains all of them.
const maxShownProblems = 10

// Error returns the first maxShownProblems problems on one line.
func (e *InvalidError) Error() string {
	var b strings.Builder
	for i, p := range e.Problems {
		if i == maxShownProblems {
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

// problemsError returns an *InvalidError with the problems sorted and without
// duplicates, or nil if there are none.
func problemsError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	slices.SortFunc(problems, func(a, b Problem) int {
		return strings.Compare(a.Path+"\x00"+a.Key+"\x00"+a.Message, b.Path+"\x00"+b.Key+"\x00"+b.Message)
	})
	return &InvalidError{Problems: slices.Compact(problems)}
}

// Limits of paths, which bound the cost of a look-up and the size of a record.
const (
	maxDepth         = 8
	maxSegmentLength = 63
)

// Root is the path of the node that every tree has.
const Root = "/"

// CheckPath returns an error if path is not a well-formed path of a node.
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
				path, s, maxSegmentLength)
		}
	}
	return nil
}

func validSegment(s string) bool {
	if s == "" || len(s) > maxSegmentLength {
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

// descendantPrefix returns the prefix of the paths of all nodes below path.
func descendantPrefix(path string) string {
	if path == Root {
		return Root
	}
	return path + "/"
}
