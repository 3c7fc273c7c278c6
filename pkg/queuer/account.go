package queuer

// account is the items of one account in order of arrival.
type account[T any] struct {
	name       string
	weight     int64
	head, tail *Item[T]
	size       int
	// Invariant: false without items.
	held bool
	// Invariant: start tag of the head, while there is one.
	start uint64
	// Invariant: finish tag of the last item served.
	finish uint64
	// activation breaks ties between equal start tags.
	activation uint64
	// Invariant: the index in the heap of that name, or -1.
	readyIndex int
	idleIndex  int
}

// earlier compares virtual times that may have wrapped around.
func earlier(a, b uint64) bool { return int64(a-b) < 0 }

func startsBefore[T any](a, b *account[T]) bool {
	if a.start != b.start {
		return earlier(a.start, b.start)
	}
	return a.activation < b.activation
}

func (a *account[T]) append(it *Item[T]) {
	it.prev = a.tail
	if a.tail != nil {
		a.tail.next = it
	} else {
		a.head = it
	}
	a.tail = it
	a.size++
}

func (a *account[T]) unlink(it *Item[T]) {
	if it.prev != nil {
		it.prev.next = it.next
	} else {
		a.head = it.next
	}
	if it.next != nil {
		it.next.prev = it.prev
	} else {
		a.tail = it.prev
	}
	it.prev, it.next = nil, nil
	a.size--
}

func (q *Queue[T]) account(name string) *account[T] {
	a := q.accounts[name]
	if a == nil {
		a = &account[T]{
			name:       name,
			finish:     q.virtual,
			readyIndex: -1,
			idleIndex:  -1,
		}
		q.accounts[name] = a
	}
	return a
}

func clampWeight(weight int64) int64 { return min(max(weight, 1), MaxWeight) }

// setWeight changes the weight of an account that is about to get an item.
func (q *Queue[T]) setWeight(a *account[T], weight int64) {
	if a.size > 0 {
		q.weight -= a.weight
	}
	a.weight = clampWeight(weight)
	q.weight += a.weight
}

// activate makes an account with a first item eligible. An account that was
// idle starts at virtual time, so that idling saves up no service.
func (q *Queue[T]) activate(a *account[T]) {
	if a.idleIndex >= 0 {
		q.idle.remove(a.idleIndex)
	}
	q.enter(a)
}

func (q *Queue[T]) enter(a *account[T]) {
	a.start = a.finish
	if earlier(a.start, q.virtual) {
		a.start = q.virtual
	}
	q.activations++
	a.activation = q.activations
	q.ready.push(a)
}

// detach takes an item out of its account and the deadline heap.
func (q *Queue[T]) detach(it *Item[T]) {
	a := it.account
	a.unlink(it)
	it.account = nil
	q.size--
	if it.index >= 0 {
		q.deadlines.remove(it.index)
	}
	if a.size > 0 {
		return
	}
	if a.readyIndex >= 0 {
		q.ready.remove(a.readyIndex)
	}
	a.held = false
	q.weight -= a.weight
	q.idle.push(a)
}

// forgetIdle drops idle accounts that virtual time has caught up with: a new
// account would start at the same tag.
func (q *Queue[T]) forgetIdle() {
	for q.idle.len() > 0 && !earlier(q.virtual, q.idle.items[0].finish) {
		a := q.idle.items[0]
		q.idle.remove(0)
		delete(q.accounts, a.name)
	}
}
