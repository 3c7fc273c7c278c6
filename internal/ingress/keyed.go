package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/heathermux/heathermux/internal/forwarder"
	"github.com/heathermux/heathermux/internal/recorder"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/deduplicator"
)

// finishTimeout limits the time for storing an outcome, which may continue after
// the deadline of the request. The answer is sent only after that.
const finishTimeout = 2 * time.Second

// replayedHeader marks an answer that the registry had stored for an earlier
// attempt.
const replayedHeader = "Idempotent-Replayed"

// runKeyed runs a call with an idempotency key: it asks the registry for
// permission, sends the call if granted, and stores the outcome.
func (g *Ingress) runKeyed(ctx context.Context, c *call) (*forwarder.Response, *Problem) {
	fingerprint := c.fingerprint()
	begin := g.cfg.Registry.Begin(ctx, c.registryKey(), fingerprint, c.id)
	if begin.GetOutcome() != wire.BeginOutcome_BEGIN_OUTCOME_GRANTED {
		return replayOrRefuse(begin)
	}
	answer, refusal := g.run(ctx, c)
	entry := &wire.RegistryEntry{
		Key:         c.registryKey(),
		Fingerprint: fingerprint,
		Attempt:     c.id,
		State:       entryState(refusal),
	}
	if answer != nil {
		entry.Answer = storedAnswer(answer)
	}
	// The outcome is stored even when the caller has disconnected.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if !g.cfg.Registry.Finish(ctx, entry) {
		g.cfg.Logger.Warn("ingress: registry did not confirm the outcome of a request with an idempotency key; resends may be refused as outcome-unknown", "queue", c.queue.GetName(), "attempt", c.id)
	}
	return answer, refusal
}

// entryState returns the state that the registry stores for a call that ended with
// the refusal, or with an answer when it is nil.
func entryState(refusal *Problem) wire.EntryState {
	switch {
	case refusal == nil:
		return wire.EntryState_ENTRY_STATE_FINISHED
	case refusal.ThisAttempt == NotRun:
		return wire.EntryState_ENTRY_STATE_ABANDONED
	case refusal.ThisAttempt == WasRun:
		return wire.EntryState_ENTRY_STATE_FORGOTTEN
	default:
		return wire.EntryState_ENTRY_STATE_UNKNOWN
	}
}

// replayOrRefuse returns the stored answer of an earlier attempt, or a refusal, for
// a call that the registry did not grant.
func replayOrRefuse(begin *wire.BeginResponse) (*forwarder.Response, *Problem) {
	if begin.GetOutcome() == wire.BeginOutcome_BEGIN_OUTCOME_FINISHED && forwarder.ValidStatus(int(begin.GetAnswer().GetStatus())) {
		return replayedAnswer(begin.GetAnswer()), nil
	}
	run, thisAttempt := recorder.RunStatus(begin)
	return nil, registryProblem(begin).withRun(RunStatus(run), RunStatus(thisAttempt))
}

// registryProblem returns the refusal for the response of a Begin that was not
// granted.
func registryProblem(begin *wire.BeginResponse) *Problem {
	retry := time.Duration(max(begin.GetRetryAfterNanos(), int64(time.Second)))
	switch begin.GetOutcome() {
	case wire.BeginOutcome_BEGIN_OUTCOME_IN_PROGRESS:
		return newProblem(http.StatusConflict, "in-progress", "Request is in progress",
			"an earlier attempt with this idempotency key has not ended").withRetryAfter(retry)
	case wire.BeginOutcome_BEGIN_OUTCOME_FINISHED, wire.BeginOutcome_BEGIN_OUTCOME_FORGOTTEN:
		return newProblem(http.StatusConflict, "answer-not-held", "Answer is no longer held",
			"the request was run by an earlier attempt; its answer is no longer held").withRetryAfter(retry)
	case wire.BeginOutcome_BEGIN_OUTCOME_UNKNOWN:
		return newProblem(http.StatusConflict, "outcome-unknown", "Outcome is not known",
			"an earlier attempt with this idempotency key may have run").withRetryAfter(retry)
	case wire.BeginOutcome_BEGIN_OUTCOME_MISMATCH:
		return newProblem(http.StatusUnprocessableEntity, "key-reused", "Idempotency key is in use",
			"this idempotency key belongs to a request with another method, path or body")
	default:
		detail := "the registry of idempotency keys can't hold the request now"
		if reason := begin.GetReason(); reason != "" {
			detail += ": " + reason
		}
		return newProblem(http.StatusServiceUnavailable, "registry-refused", "Registry is not available",
			detail).withRetryAfter(retry)
	}
}

// fingerprint returns the hash of queue, method, path, query and body. A queue's
// name has no slash, so it can't run into the path that follows it.
func (c *call) fingerprint() []byte {
	return deduplicator.Fingerprint(c.method, c.queue.GetName()+c.url.RequestURI(), c.body)
}

// storedAnswer converts an answer to the form that the registry stores.
func storedAnswer(a *forwarder.Response) *wire.StoredAnswer {
	stored := &wire.StoredAnswer{
		Status: int32(a.Status),
		Body:   a.Body,
		Header: make([]*wire.HeaderField, 0, len(a.Header)),
	}
	for name, values := range a.Header {
		stored.Header = append(stored.Header, &wire.HeaderField{
			Name:   name,
			Values: values,
		})
	}
	return stored
}

// replayedAnswer converts a stored answer back and adds replayedHeader.
func replayedAnswer(stored *wire.StoredAnswer) *forwarder.Response {
	a := &forwarder.Response{
		Status: int(stored.GetStatus()),
		Body:   stored.GetBody(),
		Header: make(http.Header, len(stored.GetHeader())+1),
	}
	for _, field := range stored.GetHeader() {
		a.Header[field.GetName()] = field.GetValues()
	}
	a.Header[replayedHeader] = []string{"true"}
	return a
}
