package queuer

// account holds the waiting items of one account in order of arrival.
type account[T any] struct {
	name       string
	weight     int64
	head, tail *Item[T]
	size       int
	// onHold excludes the account from ready. Invariant: false without items.
	onHold bool
	// Invariant: the start tag of the head, if there is one.
	startTag uint64
	// Invariant: the finish tag of the last item served.
	finishTag uint64
	// activationNumber decides between equal start tags; the lower one is served
	// first.
	activationNumber uint64
	// Invariant: the index in the heap Queue.ready or Queue.idle, or -1 if not
	// in it.
	readyIndex int
	idleIndex  int
}

// virtualBefore reports whether virtual time a is before b. It takes into account
// that virtual time may have wrapped around.
func virtualBefore(a, b uint64) bool { return int64(a-b) < 0 }

func servedBefore[T any](a, b *account[T]) bool {
	if a.startTag != b.startTag {
		return virtualBefore(a.startTag, b.startTag)
	}
	return a.activationNumber < b.activationNumber
}

func (a *account[T]) append(item *Item[T]) {
	item.prev = a.tail
	if a.tail != nil {
		a.tail.next = item
	} else {
		a.head = item
	}
	a.tail = item
	a.size++
}

func (a *account[T]) unlink(item *Item[T]) {
	if item.prev != nil {
		item.prev.next = item.next
	} else {
		a.head = item.next
	}
	if item.next != nil {
		item.next.prev = item.prev
	} else {
		a.tail = item.prev
	}
	item.prev, item.next = nil, nil
	a.size--
}

func (q *Queue[T]) getOrCreateAccount(name string) *account[T] {
	a := q.accounts[name]
	if a == nil {
		a = &account[T]{
			name:       name,
			finishTag:  q.virtualTime,
			readyIndex: -1,
			idleIndex:  -1,
		}
		q.accounts[name] = a
	}
	return a
}

func clampWeight(weight int64) int64 { return min(max(weight, 1), MaxWeight) }

// setWeight sets the weight of an account that is about to receive an item, and
// updates the total weight.
func (q *Queue[T]) setWeight(a *account[T], weight int64) {
	if a.size > 0 {
		q.totalWeight -= a.weight
	}
	a.weight = clampWeight(weight)
	q.totalWeight += a.weight
}

// activate makes an account eligible when it receives its first item. An account
// that was idle starts at the current virtual time, so that it gains no credit
// for the service that it did not use.
func (q *Queue[T]) activate(a *account[T]) {
	if a.idleIndex >= 0 {
		q.idle.remove(a.idleIndex)
	}
	q.pushReady(a)
}

func (q *Queue[T]) pushReady(a *account[T]) {
	a.startTag = a.finishTag
	if virtualBefore(a.startTag, q.virtualTime) {
		a.startTag = q.virtualTime
	}
	q.lastActivation++
	a.activationNumber = q.lastActivation
	q.ready.push(a)
}

// detach removes an item from its account and from the deadline heap. An account
// without further items becomes idle.
func (q *Queue[T]) detach(item *Item[T]) {
	a := item.account
	a.unlink(item)
	item.account = nil
	q.size--
	if item.deadlineIndex >= 0 {
		q.deadlines.remove(item.deadlineIndex)
	}
	if a.size > 0 {
		return
	}
	if a.readyIndex >= 0 {
		q.ready.remove(a.readyIndex)
	}
	a.onHold = false
	q.totalWeight -= a.weight
	q.idle.push(a)
}

// removeIdle removes the idle accounts whose finish tag virtual time has reached.
// A new account would start at the same tag, so nothing is lost.
func (q *Queue[T]) removeIdle() {
	for q.idle.len() > 0 && !virtualBefore(q.virtualTime, q.idle.items[0].finishTag) {
		a := q.idle.items[0]
		q.idle.remove(0)
		delete(q.accounts, a.name)
	}
}
