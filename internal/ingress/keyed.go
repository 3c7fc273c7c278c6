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

// finishTimeout bounds the storing of an outcome after the deadline of a
// request. The caller waits for it only when it has an answer to get.
const finishTimeout = 2 * time.Second

// replayedHeader marks an answer that came from the registry.
const replayedHeader = "Idempotent-Replayed"

// runKeyed runs a call under its idempotency key: intent first, then the
// attempts, then the outcome.
func (g *Ingress) runKeyed(ctx context.Context, c *call) (*forwarder.Answer, *Problem) {
	fingerprint := c.fingerprint()
	begun := g.cfg.Registry.Begin(ctx, c.registryKey(), fingerprint, c.id)
	if begun.GetOutcome() != wire.BeginOutcome_BEGIN_OUTCOME_GRANTED {
		return replay(begun)
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
	// The outcome is stored although the caller may have gone.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if !g.cfg.Registry.Finish(ctx, entry) {
		g.cfg.Logger.Warn("ingress: outcome of a keyed request was not stored", "queue", c.queue.GetName(), "attempt", c.id)
	}
	return answer, refusal
}

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

// replay answers a call that the registry did not grant.
func replay(b *wire.BeginResponse) (*forwarder.Answer, *Problem) {
	if b.GetOutcome() == wire.BeginOutcome_BEGIN_OUTCOME_FINISHED && forwarder.ValidStatus(int(b.GetAnswer().GetStatus())) {
		return replayedAnswer(b.GetAnswer()), nil
	}
	run, thisAttempt := recorder.Standing(b)
	return nil, notGranted(b).ran(Ran(run), Ran(thisAttempt))
}

// notGranted returns the refusal for the outcome of a Begin.
func notGranted(b *wire.BeginResponse) *Problem {
	retry := time.Duration(max(b.GetRetryAfterNanos(), int64(time.Second)))
	switch b.GetOutcome() {
	case wire.BeginOutcome_BEGIN_OUTCOME_IN_PROGRESS:
		return problem(http.StatusConflict, "in-progress", "Request is in progress",
			"an earlier attempt with this idempotency key has not ended").after(retry)
	case wire.BeginOutcome_BEGIN_OUTCOME_FINISHED, wire.BeginOutcome_BEGIN_OUTCOME_FORGOTTEN:
		return problem(http.StatusConflict, "answer-not-held", "Answer is no longer held",
			"the request was run by an earlier attempt; its answer is no longer held").after(retry)
	case wire.BeginOutcome_BEGIN_OUTCOME_UNKNOWN:
		return problem(http.StatusConflict, "outcome-unknown", "Outcome is not known",
			"an earlier attempt with this idempotency key may have run").after(retry)
	case wire.BeginOutcome_BEGIN_OUTCOME_MISMATCH:
		return problem(http.StatusUnprocessableEntity, "key-reused", "Idempotency key is in use",
			"this idempotency key belongs to a request with another method, path or body")
	default:
		detail := "the registry of idempotency keys can't hold the request now"
		if reason := b.GetReason(); reason != "" {
			detail += ": " + reason
		}
		return problem(http.StatusServiceUnavailable, "registry-refused", "Registry is not available",
			detail).after(retry)
	}
}

// fingerprint is the hash of queue, method, path, query and body. A queue's
// name has no slash, so that it is told from the path.
func (c *call) fingerprint() []byte {
	return deduplicator.Fingerprint(c.method, c.queue.GetName()+c.url.RequestURI(), c.body)
}

func storedAnswer(a *forwarder.Answer) *wire.StoredAnswer {
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

func replayedAnswer(stored *wire.StoredAnswer) *forwarder.Answer {
	a := &forwarder.Answer{
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
