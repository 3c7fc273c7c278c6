package deduplicator

import "time"

// Outcome is the result of a Begin.
type Outcome int

const (
	// Granted allows the attempt to send the request.
	Granted Outcome = iota + 1
	// NeedsCopy means that the intent is recorded only on this host. The caller
	// copies the entry to the copy holder and then calls Confirm or Withdraw.
	NeedsCopy
	// InProgress means that the intent of another attempt is recorded.
	InProgress
	// Replay means that the request ran; the stored answer is returned.
	Replay
	// RanForgotten means that the request ran and its answer is not stored (any more).
	RanForgotten
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
	// Mismatch means that the key was used for a different request.
	Mismatch
	// Refused means that nothing is granted now; the attempt may call Begin again.
	Refused
)

// Request describes the attempt for which Begin is called.
type Request struct {
	// Key identifies the operation.
	Key string
	// Fingerprint is a hash of the request.
	Fingerprint string
	// Attempt identifies one received request. Invariant: an attempt sends the
	// request at most once, and never after it was abandoned.
	Attempt string
}

// Decision is the result of Begin or Confirm.
type Decision struct {
	// Outcome is the kind of the result.
	Outcome Outcome
	// Entry is the entry to copy with NeedsCopy, and has the answer with Replay.
	Entry Entry
	// Copies is the number of hosts that hold the entry of a grant. It is 1 when
	// the view has a single host, whose failure loses the entry.
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

func decided(o Outcome, e Entry) Decision {
	return Decision{
		Outcome: o,
		Entry:   e,
	}
}

// decideBegin returns the decision on a Begin. With NeedsCopy the caller has to store
// the entry of the decision.
func decideBegin(held Entry, found, lost bool, req Request, now time.Time) Decision {
	intent := Entry{
		Key:         req.Key,
		State:       Begun,
		Fingerprint: req.Fingerprint,
		Attempt:     req.Attempt,
		Generation:  held.Generation + 1,
		Changed:     now,
	}
	switch {
	case !found && lost:
		return decided(OutcomeUnknown, Entry{})
	case !found:
		return decided(NeedsCopy, intent)
	case held.State == Abandoned && held.Attempt == req.Attempt:
		// A Begin that arrives after the attempt was reported as abandoned would
		// leave an intent that is never finished.
		return refused("the attempt was abandoned")
	case held.State == Abandoned:
		return decided(NeedsCopy, intent)
	case held.Fingerprint != req.Fingerprint:
		return decided(Mismatch, Entry{})
	}
	return decideHeldKey(held, req)
}

// decideHeldKey decides on a Begin of a key whose request may have run.
func decideHeldKey(held Entry, req Request) Decision {
	switch held.State {
	case Begun:
		if held.Attempt != req.Attempt {
			return decided(InProgress, Entry{})
		}
		// The attempt calls Begin again because the response was lost.
		if held.confirmed {
			return decided(Granted, held)
		}
		return decided(NeedsCopy, held)
	case Finished:
		return decided(Replay, held)
	case Forgotten:
		return decided(RanForgotten, Entry{})
	}
	return decided(OutcomeUnknown, Entry{})
}

// decideFinish returns the entry to store after an attempt has reported its outcome,
// or the reason why the report is refused.
func decideFinish(held Entry, found, lost bool, report Entry) (next Entry, reason string) {
	next = report
	next.Generation = max(held.Generation, 1)
	switch {
	case report.State.rank() <= Begun.rank():
		return held, "the report has no outcome"
	case !found && lost && report.State == Abandoned:
		// The lost entry may be that of another attempt, which may have run.
		return held, "the entries of the slot were lost"
	case !found:
		return next, ""
	case held.Attempt != report.Attempt:
		return decideReportOfOtherAttempt(held, next)
	case held.Fingerprint != report.Fingerprint:
		return held, "the fingerprint differs"
	case report.State.rank() > held.State.rank():
		return next, ""
	case report.State.rank() < held.State.rank():
		return held, "a later outcome is held"
	}
	return held, ""
}

// decideReportOfOtherAttempt decides on the report of an attempt whose intent is not
// the one that is recorded for the key.
func decideReportOfOtherAttempt(held, next Entry) (Entry, string) {
	switch {
	case held.State != Abandoned:
		return held, "another attempt holds the key"
	case next.State == Abandoned:
		return held, ""
	}
	// The report that the request ran outweighs the report of another attempt that
	// it did not run.
	return next, ""
}
