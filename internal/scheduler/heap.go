package scheduler

// heap is a binary heap whose items store their own index, so that any item can
// be removed or moved in O(log n).
type heap[T any] struct {
	items    []T
	less     func(a, b T) bool
	setIndex func(item T, index int)
}

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) top() T { return h.items[0] }

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	h.setIndex(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *heap[T]) remove(i int) {
	last := len(h.items) - 1
	h.setIndex(h.items[i], -1)
	if i != last {
		h.items[i] = h.items[last]
		h.setIndex(h.items[i], i)
	}
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i != last {
		h.fix(i)
	}
}

// fix restores the order after the item at i has changed.
func (h *heap[T]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves the item at i towards the leaves and reports whether it moved.
func (h *heap[T]) down(i int) bool {
	start := i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], h.items[i]) {
			break
		}
		h.swap(i, child)
		i = child
	}
	return i > start
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}
