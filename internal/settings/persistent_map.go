package settings

import "iter"

// persistentMap is an immutable sorted map: put and remove return a new map that
// shares all but O(log n) nodes with the old map. It is a treap whose priorities
// are hashes of the keys, so that its shape depends only on its keys.
type persistentMap[V any] struct {
	root *treapNode[V]
	size int
}

type treapNode[V any] struct {
	key         string
	value       V
	priority    uint64
	left, right *treapNode[V]
}

// priorityOf returns the FNV-1a hash of a key with its bits mixed again.
func priorityOf(key string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(key) {
		h = (h ^ uint64(key[i])) * prime
	}
	// FNV-1a distributes the high bits poorly for short keys, so mix them.
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	return h ^ h>>33
}

func (m persistentMap[V]) get(key string) (V, bool) {
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
	var zero V
	return zero, false
}

func (m persistentMap[V]) put(key string, value V) persistentMap[V] {
	root, added := insert(m.root, key, value, priorityOf(key))
	if added {
		m.size++
	}
	m.root = root
	return m
}

// insert returns a copy of the subtree n with the key set to value, and whether
// the key was added.
func insert[V any](n *treapNode[V], key string, value V, priority uint64) (*treapNode[V], bool) {
	if n == nil {
		return &treapNode[V]{key: key, value: value, priority: priority}, true
	}
	if key == n.key {
		c := *n
		c.value = value
		return &c, false
	}
	// No node below n has a higher priority than n, but the key has one, so the
	// subtree does not contain the key.
	if priority > n.priority {
		left, right := split(n, key)
		return &treapNode[V]{key: key, value: value, priority: priority, left: left, right: right}, true
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

// split divides the subtree n, which must not contain key, into the nodes with
// smaller and with greater keys.
func split[V any](n *treapNode[V], key string) (left, right *treapNode[V]) {
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

func (m persistentMap[V]) remove(key string) persistentMap[V] {
	if _, ok := m.get(key); !ok {
		return m
	}
	return persistentMap[V]{root: removeKey(m.root, key), size: m.size - 1}
}

// removeKey returns a copy of the subtree n without key, which it must contain.
func removeKey[V any](n *treapNode[V], key string) *treapNode[V] {
	if key == n.key {
		return merge(n.left, n.right)
	}
	c := *n
	if key < n.key {
		c.left = removeKey(n.left, key)
	} else {
		c.right = removeKey(n.right, key)
	}
	return &c
}

// merge joins two subtrees. All keys of left must be less than those of right.
func merge[V any](left, right *treapNode[V]) *treapNode[V] {
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

// from iterates in order over the keys that are equal to or greater than start.
func (m persistentMap[V]) from(start string) iter.Seq2[string, V] {
	return func(yield func(string, V) bool) { ascend(m.root, start, yield) }
}

// ascend calls yield in order for the keys of the subtree n that are equal to or
// greater than start. It returns false if yield returned false.
func ascend[V any](n *treapNode[V], start string, yield func(string, V) bool) bool {
	if n == nil {
		return true
	}
	if n.key >= start && (!ascend(n.left, start, yield) || !yield(n.key, n.value)) {
		return false
	}
	return ascend(n.right, start, yield)
}

// withPrefix iterates in order over the keys with the given prefix.
func (m persistentMap[V]) withPrefix(prefix string) iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for k, v := range m.from(prefix) {
			if len(k) < len(prefix) || k[:len(prefix)] != prefix || !yield(k, v) {
				return
			}
		}
	}
}
