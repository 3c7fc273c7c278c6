package deduplicator

import "time"

// Outcome is the result of a Begin.
type Outcome int

const (
	// Granted lets the attempt send the request.
	Granted Outcome = iota + 1
	// NeedsCopy means that the intent is recorded here only. The caller copies
	// the entry to the copy holder and then calls Confirm or Withdraw.
	NeedsCopy
	// InProgress means that another attempt holds the intent.
	InProgress
	// Replay means that the outcome is held.
	Replay
	// RanForgotten means that the request ran and its answer is no longer held.
	RanForgotten
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
	// Mismatch means that the key was used for another request.
	Mismatch
	// Refused means that nothing is granted now; the attempt may ask again.
	Refused
)

// Request is a Begin of one attempt.
type Request struct {
	// Key identifies the operation.
	Key string
	// Fingerprint is a hash of the request.
	Fingerprint string
	// Attempt identifies one received request. Invariant: an attempt sends the
	// request at most once, and never after it was given up.
	Attempt string
}

// Decision is the answer to a Begin, Confirm or Finish.
type Decision struct {
	// Outcome is the result.
	Outcome Outcome
	// Entry is the entry to copy with NeedsCopy and holds the answer with Replay.
	Entry Entry
	// Copies is the number of hosts that hold the entry of a grant. It is 1 in
	// a view of a single host, whose loss loses the entry.
	Copies int
	// Reason explains a refusal.
	Reason string
}

func refused(reason string) Decision {
	return Decision{
		Outcome: Refused,
		Reason:  reason,
	}
}

func outcome(o Outcome, e Entry) Decision {
	return Decision{
		Outcome: o,
		Entry:   e,
	}
}

// decideBegin returns the decision on a Begin. With NeedsCopy the entry of the
// decision is to be stored.
func decideBegin(held Entry, ok, lost bool, req Request, now time.Time) Decision {
	intent := Entry{
		Key:         req.Key,
		State:       Begun,
		Fingerprint: req.Fingerprint,
		Attempt:     req.Attempt,
		Generation:  held.Generation + 1,
		Changed:     now,
	}
	switch {
	case !ok && lost:
		return outcome(OutcomeUnknown, Entry{})
	case !ok:
		return outcome(NeedsCopy, intent)
	case held.State == Abandoned && held.Attempt == req.Attempt:
		// A Begin that was delayed past the attempt's own Abandon would leave
		// an intent that nobody finishes.
		return refused("the attempt was abandoned")
	case held.State == Abandoned:
		return outcome(NeedsCopy, intent)
	case held.Fingerprint != req.Fingerprint:
		return outcome(Mismatch, Entry{})
	}
	return decideRepeat(held, req)
}

// decideRepeat decides on a Begin of a key whose request may have run.
func decideRepeat(held Entry, req Request) Decision {
	switch held.State {
	case Begun:
		if held.Attempt != req.Attempt {
			return outcome(InProgress, Entry{})
		}
		// The attempt asks again because the response was lost.
		if held.confirmed {
			return outcome(Granted, held)
		}
		return outcome(NeedsCopy, held)
	case Finished:
		return outcome(Replay, held)
	case Forgotten:
		return outcome(RanForgotten, Entry{})
	}
	return outcome(OutcomeUnknown, Entry{})
}

// decideFinish returns the entry to hold after an attempt has reported its
// outcome, and why the report is refused when it is.
func decideFinish(held Entry, ok, lost bool, report Entry) (next Entry, reason string) {
	next = report
	next.Generation = max(held.Generation, 1)
	switch {
	case report.State.rank() <= Begun.rank():
		return held, "the report has no outcome"
	case !ok && lost && report.State == Abandoned:
		// Another attempt, whose entry was lost, may have run.
		return held, "the entries of the slot were lost"
	case !ok:
		return next, ""
	case held.Attempt != report.Attempt:
		return decideForeign(held, next)
	case held.Fingerprint != report.Fingerprint:
		return held, "the fingerprint differs"
	case report.State.rank() > held.State.rank():
		return next, ""
	case report.State.rank() < held.State.rank():
		return held, "a later outcome is held"
	}
	return held, ""
}

// decideForeign decides on the report of an attempt that does not hold the
// intent of the key.
func decideForeign(held, next Entry) (Entry, string) {
	switch {
	case held.State != Abandoned:
		return held, "another attempt holds the key"
	case next.State == Abandoned:
		return held, ""
	}
	// A report that it ran outweighs the proof of another attempt that it did not.
	return next, ""
}
