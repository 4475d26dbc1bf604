package settings

import "iter"

// pmap is a persistent sorted map: put and remove return a new map that shares
// all but O(log n) nodes with the old. It is a treap whose priorities are
// hashes of the keys, so that its shape depends only on its content.
type pmap[V any] struct {
	root *pnode[V]
	size int
}

type pnode[V any] struct {
	key         string
	value       V
	priority    uint64
	left, right *pnode[V]
}

func priorityOf(key string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * prime
	}
	// Mixes the high bits, which FNV-1a leaves weak for short keys.
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}

func (m pmap[V]) get(key string) (V, bool) {
	for n := m.root; n != nil; {
		switch {
		case key == n.key:
			return n.value, true
		case key < n.key:
			n = n.left
		default:
			n = n.right
		}
	}
	var none V
	return none, false
}

func (m pmap[V]) put(key string, value V) pmap[V] {
	root, added := insert(m.root, key, value, priorityOf(key))
	if added {
		m.size++
	}
	m.root = root
	return m
}

func insert[V any](n *pnode[V], key string, value V, priority uint64) (*pnode[V], bool) {
	if n == nil {
		return &pnode[V]{key: key, value: value, priority: priority}, true
	}
	if key == n.key {
		c := *n
		c.value = value
		return &c, false
	}
	// A key that is present sits above all nodes of lower priority, so it is
	// absent below here.
	if priority > n.priority {
		left, right := split(n, key)
		return &pnode[V]{key: key, value: value, priority: priority, left: left, right: right}, true
	}
	c := *n
	var added bool
	if key < n.key {
		c.left, added = insert(n.left, key, value, priority)
	} else {
		c.right, added = insert(n.right, key, value, priority)
	}
	return &c, added
}

// split divides n into the keys below and above key, which n does not hold.
func split[V any](n *pnode[V], key string) (left, right *pnode[V]) {
	if n == nil {
		return nil, nil
	}
	c := *n
	if n.key < key {
		c.right, right = split(n.right, key)
		return &c, right
	}
	left, c.left = split(n.left, key)
	return left, &c
}

func (m pmap[V]) remove(key string) pmap[V] {
	if _, ok := m.get(key); !ok {
		return m
	}
	return pmap[V]{root: cut(m.root, key), size: m.size - 1}
}

func cut[V any](n *pnode[V], key string) *pnode[V] {
	if key == n.key {
		return merge(n.left, n.right)
	}
	c := *n
	if key < n.key {
		c.left = cut(n.left, key)
	} else {
		c.right = cut(n.right, key)
	}
	return &c
}

func merge[V any](left, right *pnode[V]) *pnode[V] {
	if left == nil {
		return right
	}
	if right == nil {
		return left
	}
	if left.priority > right.priority {
		c := *left
		c.right = merge(left.right, right)
		return &c
	}
	c := *right
	c.left = merge(left, right.left)
	return &c
}

// from iterates over the keys that are not below start, in order.
func (m pmap[V]) from(start string) iter.Seq2[string, V] {
	return func(yield func(string, V) bool) { walk(m.root, start, yield) }
}

func walk[V any](n *pnode[V], start string, yield func(string, V) bool) bool {
	if n == nil {
		return true
	}
	if n.key >= start && (!walk(n.left, start, yield) || !yield(n.key, n.value)) {
		return false
	}
	return walk(n.right, start, yield)
}

// prefixed iterates over the keys with the given prefix, in order.
func (m pmap[V]) prefixed(prefix string) iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for k, v := range m.from(prefix) {
			if len(k) < len(prefix) || k[:len(prefix)] != prefix || !yield(k, v) {
				return
			}
		}
	}
}
