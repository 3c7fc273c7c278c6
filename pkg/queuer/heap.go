package queuer

// heap is a binary heap that tells each element its index, so that any element
// can be removed in O(log n). The least element is items[0].
type heap[E any] struct {
	items  []E
	before func(a, b E) bool
	// moved is called with an element's new index, or -1 when it has left.
	moved func(e E, index int)
}

func (h *heap[E]) len() int { return len(h.items) }

func (h *heap[E]) push(e E) {
	h.items = append(h.items, e)
	h.moved(e, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *heap[E]) remove(i int) {
	last := len(h.items) - 1
	gone := h.items[i]
	if i != last {
		h.swap(i, last)
	}
	var zero E
	h.items[last] = zero
	h.items = h.items[:last]
	h.moved(gone, -1)
	if i != last {
		h.fix(i)
	}
}

func (h *heap[E]) fix(i int) {
	if !h.down(i) {
		h.up(i)
	}
}

func (h *heap[E]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.moved(h.items[i], i)
	h.moved(h.items[j], j)
}

func (h *heap[E]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down reports whether the element moved.
func (h *heap[E]) down(i int) bool {
	start := i
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.before(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return i != start
		}
		h.swap(i, least)
		i = least
	}
}
