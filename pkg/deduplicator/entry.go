package deduplicator

import "time"

// State is what is known of a key.
type State int

const (
	// Begun means that the intent is held; the request may have run.
	Begun State = iota + 1
	// Finished means that the outcome is held.
	Finished
	// Abandoned means that the request was proved not to have run; the key may
	// be granted again.
	Abandoned
	// Forgotten means that the request ran and its answer is no longer held.
	Forgotten
	// Unknown means that the outcome cannot be known any more.
	Unknown
)

var stateNames = map[State]string{
	Begun:     "begun",
	Finished:  "finished",
	Abandoned: "abandoned",
	Forgotten: "forgotten",
	Unknown:   "unknown",
}

// String returns the name of the state in lower case.
func (s State) String() string {
	return stateNames[s]
}

// rank orders the states that one generation of a key may pass through. A
// proof of the attempt itself (abandoned, finished) outranks unknown, which is
// only the lack of one. Forgotten is equal to finished: both say that it ran.
func (s State) rank() int {
	switch s {
	case Begun:
		return 1
	case Unknown:
		return 2
	case Abandoned:
		return 3
	case Finished, Forgotten:
		return 4
	}
	return 0
}

// Entry is what a table holds for one key. Entries are values; the byte slice
// is never changed once an entry is stored.
type Entry struct {
	// Key identifies the operation.
	Key string
	// State is the progress of the newest generation.
	State State
	// Fingerprint is a hash of the request that the key was first used for.
	Fingerprint string
	// Attempt holds the intent. It is empty on an entry whose intent the owner
	// withdrew because it could not be copied.
	Attempt string
	// Generation counts the intents of the key from 1. Invariant: within one
	// epoch only the owner assigns it, so that one generation belongs to one attempt.
	Generation uint64
	// Answer is the whole stored answer; nil unless the state is Finished.
	Answer []byte
	// Changed is the time of the last change of state on the holder's clock.
	Changed time.Time

	// confirmed is set on the owner when the copy holder has acknowledged the
	// intent. Only a confirmed intent is granted.
	confirmed bool
}

// supersedes reports whether e replaces held in a merge. It is a strict order,
// so that late and duplicated messages never move an entry back.
func (e Entry) supersedes(held Entry) bool {
	if e.Generation != held.Generation {
		return e.Generation > held.Generation
	}
	return e.State.rank() > held.State.rank()
}

// same reports whether both entries are of the same intent.
func (e Entry) same(other Entry) bool {
	return e.Generation == other.Generation && e.Attempt == other.Attempt
}

// entryOverhead is an upper bound on the bytes of an entry beside its strings
// and answer: 137 bytes for the structure, its key and its control byte, in a
// map that is 7/16 full after it has grown. BenchmarkEntryMemory reports the
// measured bytes.
const entryOverhead = 320

func (e Entry) size() int64 {
	return int64(entryOverhead + len(e.Key) + len(e.Fingerprint) + len(e.Attempt) + len(e.Answer))
}

// aged returns the entry as it stands at the given time, and false when its
// retention time has passed. An intent that was not finished within the bound
// is unknown from that moment, and is then kept for the whole retention time.
func (l limits) aged(e Entry, now time.Time) (Entry, bool) {
	if e.State == Begun && now.Sub(e.Changed) >= l.grantBound {
		e.State = Unknown
		e.Changed = e.Changed.Add(l.grantBound)
	}
	return e, e.State == Begun || now.Sub(e.Changed) < l.retention
}

// limits are the time limits of a table.
type limits struct {
	retention  time.Duration
	grantBound time.Duration
}
