package queuer

// heap is a binary heap that reports the index of each element through setIndex,
// so that any element can be removed in O(log n). The least element is items[0].
type heap[E any] struct {
	items []E
	less  func(a, b E) bool
	// setIndex is called with an element's new index, or with -1 after its removal.
	setIndex func(e E, index int)
}

func (h *heap[E]) len() int { return len(h.items) }

func (h *heap[E]) push(e E) {
	h.items = append(h.items, e)
	h.setIndex(e, len(h.items)-1)
	h.up(len(h.items) - 1)
}

func (h *heap[E]) remove(i int) {
	last := len(h.items) - 1
	removed := h.items[i]
	if i != last {
		h.swap(i, last)
	}
	var zero E
	h.items[last] = zero
	h.items = h.items[:last]
	h.setIndex(removed, -1)
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
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

func (h *heap[E]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

// down moves the element down to its place and reports whether it moved.
func (h *heap[E]) down(i int) bool {
	start := i
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(h.items[child], h.items[least]) {
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
