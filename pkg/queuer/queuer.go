// Package queuer provides a weighted fair queue. Items belong to accounts, and
// accounts with waiting items are served in proportion to their weights.
//
// The order follows start-time fair queueing: P. Goyal, H. M. Vin and H. Cheng,
// "Start-time Fair Queueing: A Scheduling Algorithm for Integrated Services
// Packet Switching Networks", SIGCOMM 1996. Virtual time is an integer, so the
// order is the same on every machine. All items have the same cost.
//
// An operation on one item or account takes O(log n) time for n waiting accounts
// or items.
package queuer

import "time"

const (
	// itemCost is the virtual time that one item takes in an account of weight 1.
	// It is large compared with MaxWeight, so that rounding down the quotient of
	// the two changes shares by less than one part in 4,000. Virtual times are
	// compared by their signed difference, so that they may wrap around.
	itemCost = 1 << 32
	// MaxWeight is the largest weight; larger weights are reduced to it.
	MaxWeight = 1 << 20
)

// Outcome is the result of Push.
type Outcome int

const (
	// Queued means that the item was added.
	Queued Outcome = iota + 1
	// AccountFull means that the item was rejected, because MaxAccount items of
	// its account wait already.
	AccountFull
	// Full means that the item was rejected, because MaxTotal items wait already.
	Full
)

// Options limits the number of waiting items. Zero values mean no limit.
type Options struct {
	// MaxPerAccount is the maximum number of waiting items of one account.
	MaxPerAccount int
	// MaxTotal is the maximum number of waiting items of all accounts.
	MaxTotal int
}

// Entry describes an item to push, or one that left the queue.
type Entry[T any] struct {
	Account string
	// Weight is the weight of the account from this entry on; values below 1
	// count as 1.
	Weight int64
	// Deadline is the time from which Expire removes the item; zero means never.
	Deadline time.Time
	Value    T
}

// Item identifies a waiting item in the queue that returned it.
type Item[T any] struct {
	entry Entry[T]
	// Invariant: nil after the item has left the queue.
	account    *account[T]
	prev, next *Item[T]
	// Invariant: the index in the heap Queue.deadlines, or -1 if not in it.
	deadlineIndex int
}

// Queue is a weighted fair queue. It is not safe for concurrent use; make one
// with New.
type Queue[T any] struct {
	opts Options
	// virtualTime is the start tag of the last item served.
	virtualTime uint64
	// Invariant: contains every account with items, and those accounts without
	// items whose finish tag is after the virtual time.
	accounts map[string]*account[T]
	// Invariant: contains the accounts with items that are not on hold, ordered
	// by start tag.
	ready heap[*account[T]]
	// Invariant: contains the accounts without items, ordered by finish tag.
	idle heap[*account[T]]
	// Invariant: contains the items with a deadline, ordered by it.
	deadlines heap[*Item[T]]
	// Invariant: the number of waiting items.
	size int
	// Invariant: the sum of the weights of the accounts with items.
	totalWeight int64
	// lastActivation is the number of the last entry of an account into ready. It
	// decides between accounts with equal start tags.
	lastActivation uint64
}

// New returns an empty queue.
func New[T any](opts Options) *Queue[T] {
	return &Queue[T]{
		opts:     opts,
		accounts: make(map[string]*account[T]),
		ready: heap[*account[T]]{
			less:     servedBefore[T],
			setIndex: func(a *account[T], i int) { a.readyIndex = i },
		},
		idle: heap[*account[T]]{
			less:     func(a, b *account[T]) bool { return virtualBefore(a.finishTag, b.finishTag) },
			setIndex: func(a *account[T], i int) { a.idleIndex = i },
		},
		deadlines: heap[*Item[T]]{
			less:     func(a, b *Item[T]) bool { return a.entry.Deadline.Before(b.entry.Deadline) },
			setIndex: func(item *Item[T], i int) { item.deadlineIndex = i },
		},
	}
}

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.size }

// AccountLen returns the number of waiting items of the named account.
func (q *Queue[T]) AccountLen(name string) int {
	if a := q.accounts[name]; a != nil {
		return a.size
	}
	return 0
}

// Ahead estimates how many items would be served before the next item pushed to
// the named account with the given weight. It assumes that no further items are
// pushed or removed and that no account is on hold.
func (q *Queue[T]) Ahead(name string, weight int64) int {
	ownItems, otherWeights := 0, q.totalWeight
	if a := q.accounts[name]; a != nil && a.size > 0 {
		ownItems = a.size
		otherWeights -= a.weight
	}
	othersServed := (int64(ownItems) + 1) * otherWeights / clampWeight(weight)
	return ownItems + int(min(int64(q.size-ownItems), othersServed))
}

// Push adds an item behind the others of its account. The returned item is nil
// unless the outcome is Queued.
func (q *Queue[T]) Push(e Entry[T]) (*Item[T], Outcome) {
	if q.opts.MaxTotal > 0 && q.size >= q.opts.MaxTotal {
		return nil, Full
	}
	if q.opts.MaxPerAccount > 0 && q.AccountLen(e.Account) >= q.opts.MaxPerAccount {
		return nil, AccountFull
	}
	a := q.getOrCreateAccount(e.Account)
	q.setWeight(a, e.Weight)
	item := &Item[T]{
		entry:         e,
		account:       a,
		deadlineIndex: -1,
	}
	a.append(item)
	q.size++
	if !e.Deadline.IsZero() {
		q.deadlines.push(item)
	}
	if a.size == 1 {
		q.activate(a)
	}
	return item, Queued
}

// Pop removes and returns the item that is next in fair order. It returns false
// if there are no items or all accounts with items are on hold.
func (q *Queue[T]) Pop() (Entry[T], bool) {
	if q.ready.len() == 0 {
		return Entry[T]{}, false
	}
	a := q.ready.items[0]
	item := a.head
	q.virtualTime = a.startTag
	a.finishTag = a.startTag + uint64(itemCost/a.weight)
	a.startTag = a.finishTag
	q.detach(item)
	if a.size > 0 {
		q.ready.fix(a.readyIndex)
	}
	q.removeIdle()
	return item.entry, true
}

// Remove removes a waiting item without serving it; it returns false if the item
// has already left the queue. The account keeps its place in the order, as if
// the item had never been pushed.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	if item == nil || item.account == nil {
		return false
	}
	q.detach(item)
	return true
}

// Expire removes and returns the items whose deadline is not after now, in order
// of their deadlines.
func (q *Queue[T]) Expire(now time.Time) []Entry[T] {
	var expired []Entry[T]
	for q.deadlines.len() > 0 && !q.deadlines.items[0].entry.Deadline.After(now) {
		item := q.deadlines.items[0]
		q.detach(item)
		expired = append(expired, item.entry)
	}
	return expired
}

// Peek returns the item that Pop would remove, or false if there is none.
func (q *Queue[T]) Peek() (Entry[T], bool) {
	if q.ready.len() == 0 {
		return Entry[T]{}, false
	}
	return q.ready.items[0].head.entry, true
}

// Hold stops the items of the named account from being popped, until Unhold is
// called or the account has no items left. The items still count towards the
// limits and expire. Hold does nothing for an account without items.
func (q *Queue[T]) Hold(name string) {
	a := q.accounts[name]
	if a == nil || a.onHold || a.size == 0 {
		return
	}
	a.onHold = true
	q.ready.remove(a.readyIndex)
}

// Unhold makes the items of the named account available to Pop again. The account
// is not compensated for the service that it missed while it was on hold.
func (q *Queue[T]) Unhold(name string) {
	a := q.accounts[name]
	if a == nil || !a.onHold {
		return
	}
	a.onHold = false
	q.pushReady(a)
}
