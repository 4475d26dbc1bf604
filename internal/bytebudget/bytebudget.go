// Package bytebudget bounds the memory of bodies that are buffered at the same time.
package bytebudget

import (
	"errors"
	"io"
	"sync/atomic"
)

var (
	// ErrExhausted means that the budget has no room for more of a body.
	ErrExhausted = errors.New("the memory for buffered bodies is exhausted")
	// ErrTooLarge means that a body exceeds its own limit.
	ErrTooLarge = errors.New("the body is too large")
)

const (
	// initialBytes is the first allocation for a body of unknown length.
	initialBytes = 4 << 10
	// maxInitialBytes bounds the first allocation for a body of known length. The sender
	// may never send what it declares.
	maxInitialBytes = 64 << 10
)

// Budget is a number of bytes that bodies share. It is safe for concurrent use.
type Budget struct {
	total int64
	used  atomic.Int64
	// parent is charged as well, nil for none.
	parent *Budget
}

// New returns a budget of total bytes.
func New(total int64) *Budget { return &Budget{total: total} }

// NewPart returns a budget of total bytes that are also taken from parent, which may be nil.
func NewPart(parent *Budget, total int64) *Budget { return &Budget{total: total, parent: parent} }

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// TakeAbove takes n bytes if at least reserved bytes remain, and reports whether it did.
func (b *Budget) TakeAbove(n, reserved int64) bool {
	for {
		used := b.used.Load()
		if used+n > b.total-reserved {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			break
		}
	}
	if b.parent != nil && !b.parent.TakeAbove(n, 0) {
		b.used.Add(-n)
		return false
	}
	return true
}

// Give returns n bytes.
func (b *Budget) Give(n int64) {
	b.used.Add(-n)
	if b.parent != nil {
		b.parent.Give(n)
	}
}

func (b *Budget) take(n int64) bool { return b.TakeAbove(n, 0) }

// Body is a buffered body. The zero value is an empty body without a budget.
type Body struct {
	Bytes  []byte
	budget *Budget
	taken  int64
	// makeRoom is called where the budget has no room, nil for none.
	makeRoom func(take func() bool) bool
}

// Release returns the memory of the body to its budget. The body is empty afterwards.
func (b *Body) Release() {
	if b.budget != nil {
		b.budget.Give(b.taken)
	}
	*b = Body{}
}

// grow makes room for n bytes in all.
func (b *Body) grow(n int64) bool {
	take := func() bool { return b.budget.take(n - b.taken) }
	if !take() && (b.makeRoom == nil || !b.makeRoom(take)) {
		return false
	}
	b.taken = n
	bytes := make([]byte, len(b.Bytes), n)
	copy(bytes, b.Bytes)
	b.Bytes = bytes
	return true
}

// ReadAll reads a body of at most limit bytes. length is its declared length, negative if
// unknown. A body whose declared length exceeds the limit is not read at all. On error,
// nothing stays taken from the budget.
func (b *Budget) ReadAll(r io.Reader, length, limit int64) (Body, error) {
	return b.ReadAllWith(r, length, limit, nil)
}

// ReadAllWith is ReadAll with a function that is called where the budget has no room. It may
// free some and reports whether take has succeeded.
func (b *Budget) ReadAllWith(r io.Reader, length, limit int64, makeRoom func(take func() bool) bool) (Body, error) {
	body := Body{budget: b, makeRoom: makeRoom}
	if length > limit {
		return Body{}, ErrTooLarge
	}
	size := min(length, maxInitialBytes)
	if size < 0 {
		size = min(initialBytes, limit)
	}
	// One byte more than the body shows its end without another allocation.
	if !body.grow(size + 1) {
		return Body{}, ErrExhausted
	}
	for {
		n, err := r.Read(body.Bytes[len(body.Bytes):cap(body.Bytes)])
		body.Bytes = body.Bytes[:len(body.Bytes)+n]
		switch {
		case int64(len(body.Bytes)) > limit:
			body.Release()
			return Body{}, ErrTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			body.Release()
			return Body{}, err
		}
		if len(body.Bytes) == cap(body.Bytes) && !body.grow(min(2*int64(cap(body.Bytes)), limit+1)) {
			body.Release()
			return Body{}, ErrExhausted
		}
	}
}
