// Package queuer provides a weighted fair queue. Items belong to accounts, and
// accounts that wait are served in proportion to their weights.
//
// The order follows start-time fair queueing: P. Goyal, H. M. Vin and H. Cheng,
// "Start-time Fair Queueing: A Scheduling Algorithm for Integrated Services
// Packet Switching Networks", SIGCOMM 1996. Virtual time is an integer, so the
// order is the same on every machine. Every item costs one.
//
// All operations take O(log n) of the accounts or items waiting.
package queuer

import "time"

const (
	// unit is the virtual time that one item of weight 1 takes. It is large
	// against MaxWeight, so that rounding a cost down changes shares by less
	// than one part in 4,000, and virtual times are compared by their signed
	// difference, so that they may wrap around.
	unit = 1 << 32
	// MaxWeight is the largest weight; larger ones count as this one.
	MaxWeight = 1 << 20
)

// Outcome is the result of Push.
type Outcome int

const (
	// Queued means that the item waits.
	Queued Outcome = iota + 1
	// AccountFull means that the account has MaxAccount items waiting.
	AccountFull
	// Full means that the queue has MaxTotal items waiting.
	Full
)

// Options bounds a queue. Zero values mean no bound.
type Options struct {
	// MaxAccount is the most items of one account.
	MaxAccount int
	// MaxTotal is the most items of all accounts.
	MaxTotal int
}

// Entry is one item to queue.
type Entry[T any] struct {
	Account string
	// Weight of the account from now on; below 1 means 1.
	Weight int64
	// Deadline after which Expire removes the item; zero means never.
	Deadline time.Time
	Value    T
}

// Item is a waiting item. It is of use only to the queue that made it.
type Item[T any] struct {
	entry Entry[T]
	// Invariant: nil when the item no longer waits.
	account    *account[T]
	prev, next *Item[T]
	// Invariant: the index in the deadline heap, or -1.
	index int
}

// Queue is a weighted fair queue. It is not safe for concurrent use; make one
// with New.
type Queue[T any] struct {
	opts Options
	// virtual is the start tag of the last item served.
	virtual uint64
	// Invariant: holds every account with items, and those without whose
	// finish tag is still ahead of virtual time.
	accounts map[string]*account[T]
	// Invariant: accounts with items that are not held, by start tag.
	ready heap[*account[T]]
	// Invariant: accounts without items, by finish tag.
	idle heap[*account[T]]
	// Invariant: items with a deadline.
	deadlines heap[*Item[T]]
	// Invariant: number of items that wait.
	size int
	// Invariant: sum of the weights of the accounts with items.
	weight int64
	// activations numbers the times that an account became ready; it breaks ties.
	activations uint64
}

// New returns an empty queue.
func New[T any](opts Options) *Queue[T] {
	return &Queue[T]{
		opts:     opts,
		accounts: make(map[string]*account[T]),
		ready: heap[*account[T]]{
			before: startsBefore[T],
			moved:  func(a *account[T], i int) { a.readyIndex = i },
		},
		idle: heap[*account[T]]{
			before: func(a, b *account[T]) bool { return earlier(a.finish, b.finish) },
			moved:  func(a *account[T], i int) { a.idleIndex = i },
		},
		deadlines: heap[*Item[T]]{
			before: func(a, b *Item[T]) bool { return a.entry.Deadline.Before(b.entry.Deadline) },
			moved:  func(it *Item[T], i int) { it.index = i },
		},
	}
}

// Len returns the number of items that wait.
func (q *Queue[T]) Len() int { return q.size }

// AccountLen returns the number of items of an account that wait.
func (q *Queue[T]) AccountLen(name string) int {
	if a := q.accounts[name]; a != nil {
		return a.size
	}
	return 0
}

// Ahead estimates how many items are served before a next item of an account
// of the given weight, if every account keeps its items.
func (q *Queue[T]) Ahead(name string, weight int64) int {
	own, others := 0, q.weight
	if a := q.accounts[name]; a != nil && a.size > 0 {
		own = a.size
		others -= a.weight
	}
	served := (int64(own) + 1) * others / clampWeight(weight)
	return own + int(min(int64(q.size-own), served))
}

// Push adds an item behind the others of its account. The item is nil unless
// it was queued.
func (q *Queue[T]) Push(e Entry[T]) (*Item[T], Outcome) {
	if q.opts.MaxTotal > 0 && q.size >= q.opts.MaxTotal {
		return nil, Full
	}
	if q.opts.MaxAccount > 0 && q.AccountLen(e.Account) >= q.opts.MaxAccount {
		return nil, AccountFull
	}
	a := q.account(e.Account)
	q.setWeight(a, e.Weight)
	it := &Item[T]{
		entry:   e,
		account: a,
		index:   -1,
	}
	a.append(it)
	q.size++
	if !e.Deadline.IsZero() {
		q.deadlines.push(it)
	}
	if a.size == 1 {
		q.activate(a)
	}
	return it, Queued
}

// Pop removes the item that is next in fair order. It reports false when every
// account with items is held or there is none.
func (q *Queue[T]) Pop() (Entry[T], bool) {
	if q.ready.len() == 0 {
		return Entry[T]{}, false
	}
	a := q.ready.items[0]
	it := a.head
	q.virtual = a.start
	a.finish = a.start + uint64(unit/a.weight)
	a.start = a.finish
	q.detach(it)
	if a.size > 0 {
		q.ready.fix(a.readyIndex)
	}
	q.forgetIdle()
	return it.entry, true
}

// Remove removes an item that still waits; it reports false when it does not.
// The account keeps its place, as if the item had never been there.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it == nil || it.account == nil {
		return false
	}
	q.detach(it)
	return true
}

// Expire removes and returns the items whose deadline is not after now, the
// earliest first.
func (q *Queue[T]) Expire(now time.Time) []Entry[T] {
	var expired []Entry[T]
	for q.deadlines.len() > 0 && !q.deadlines.items[0].entry.Deadline.After(now) {
		it := q.deadlines.items[0]
		q.detach(it)
		expired = append(expired, it.entry)
	}
	return expired
}

// Peek returns the item that Pop would remove.
func (q *Queue[T]) Peek() (Entry[T], bool) {
	if q.ready.len() == 0 {
		return Entry[T]{}, false
	}
	return q.ready.items[0].head.entry, true
}

// Hold keeps an account's items from being popped until Unhold or until none
// is left. They still count and expire. An account without items can't be held.
func (q *Queue[T]) Hold(name string) {
	a := q.accounts[name]
	if a == nil || a.held || a.size == 0 {
		return
	}
	a.held = true
	q.ready.remove(a.readyIndex)
}

// Unhold ends a hold. The account takes up service from now on; it does not
// catch up on what it was held from.
func (q *Queue[T]) Unhold(name string) {
	a := q.accounts[name]
	if a == nil || !a.held {
		return
	}
	a.held = false
	q.enter(a)
}
