package deduplicator

import "time"

// State is what is known about the request of a key.
type State int

const (
	// Begun means that an intent is recorded; the request may have run.
	Begun State = iota + 1
	// Finished means that the request ran and its answer is stored.
	Finished
	// Abandoned means that the request is known not to have run; the key may be
	// granted again.
	Abandoned
	// Forgotten means that the request ran and its answer is not stored (any more).
	Forgotten
	// Unknown means that it can no longer be found out whether the request ran.
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

// rank orders the states that one generation of a key may pass through. A report
// about the attempt itself (abandoned, finished) outranks unknown, which only means
// that there is no report. Forgotten equals finished: both say that the request ran.
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

// Entry is what a table stores for one key. Entries are passed by value; the Answer
// of a stored entry is never modified.
type Entry struct {
	// Key identifies the operation.
	Key string
	// State is the state of the newest generation.
	State State
	// Fingerprint is the hash of the request for which the key was first used.
	Fingerprint string
	// Attempt identifies the attempt that recorded the intent. It is empty when the
	// owner withdrew the intent because it could not be copied.
	Attempt string
	// Generation counts the intents of the key, starting at 1. Invariant: within
	// one epoch only the owner assigns it, so that each generation belongs to one
	// attempt.
	Generation uint64
	// Answer is the complete stored answer; nil unless the state is Finished.
	Answer []byte
	// Changed is the time of the last state change on the clock of this host.
	Changed time.Time

	// confirmed is set on the owner once the copy holder has acknowledged the
	// intent. Only a confirmed intent is granted.
	confirmed bool
}

// supersedes reports whether e replaces held in a merge. It is a strict order, so
// that delayed and duplicated messages never revert an entry to an earlier state.
func (e Entry) supersedes(held Entry) bool {
	if e.Generation != held.Generation {
		return e.Generation > held.Generation
	}
	return e.State.rank() > held.State.rank()
}

// sameIntent reports whether both entries belong to the same intent.
func (e Entry) sameIntent(other Entry) bool {
	return e.Generation == other.Generation && e.Attempt == other.Attempt
}

// entryOverhead is an upper bound on the bytes of an entry besides its strings and
// answer: 137 bytes for the structure, its key and its control byte, in a map that
// is 7/16 full after it has grown. BenchmarkEntryMemory reports the measured bytes.
const entryOverhead = 320

func (e Entry) size() int64 {
	return int64(entryOverhead + len(e.Key) + len(e.Fingerprint) + len(e.Attempt) + len(e.Answer))
}

// asOf returns the entry as it stands at the given time, or false when its
// retention time has passed. An intent without a report within the grant bound
// becomes unknown at that moment and is then kept for the full retention time.
func (lim limits) asOf(e Entry, now time.Time) (Entry, bool) {
	if e.State == Begun && now.Sub(e.Changed) >= lim.grantBound {
		e.State = Unknown
		e.Changed = e.Changed.Add(lim.grantBound)
	}
	return e, e.State == Begun || now.Sub(e.Changed) < lim.retention
}

// limits are the time limits of a table.
type limits struct {
	retention  time.Duration
	grantBound time.Duration
}
