package ingress

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/heathermux/heathermux/internal/forwarder"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/deduplicator"
)

// submitOnce submits a task under its idempotency key: intent first, then the
// submission, then the response. A scheduler finds repeats only among its own
// tasks, and a resend through another entry host may go to another data centre,
// so only the registry keeps it from being a second task.
func (g *Ingress) submitOnce(ctx context.Context, body []byte, task *wire.Task) (int, *taskAnswer, *Problem) {
	entry := &wire.RegistryEntry{
		Key:         "tasks/" + deduplicator.JoinKey(task.GetTeam(), task.GetIdempotencyKey()),
		Fingerprint: deduplicator.Fingerprint(http.MethodPost, tasksPath, body),
		Attempt:     g.nextID(),
	}
	begun := g.cfg.Registry.Begin(ctx, entry.GetKey(), entry.GetFingerprint(), entry.GetAttempt())
	if begun.GetOutcome() != wire.BeginOutcome_BEGIN_OUTCOME_GRANTED {
		return replayTask(begun)
	}
	status, answer, refusal := g.submitTask(ctx, task)
	entry.State = entryState(refusal)
	if answer != nil {
		entry.Answer = storedAnswer(&forwarder.Answer{
			Status: status,
			Body:   answer.encode(),
		})
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if !g.cfg.Registry.Finish(ctx, entry) {
		g.cfg.Logger.Warn("ingress: outcome of a keyed task was not stored", "task", task.GetId())
	}
	return status, answer, refusal
}

// replayTask answers a submission that the registry did not grant.
func replayTask(begun *wire.BeginResponse) (int, *taskAnswer, *Problem) {
	stored, refusal := replay(begun)
	if refusal != nil {
		return 0, nil, refusal
	}
	answer := &taskAnswer{
		replayed: true,
	}
	if err := json.Unmarshal(stored.Body, answer); err != nil {
		return 0, nil, problem(http.StatusConflict, "answer-not-held", "Answer is no longer held",
			"the task was accepted from an earlier attempt; its answer can't be read").ran(WasRun, NotRun)
	}
	return stored.Status, answer, nil
}

// encode returns the JSON form of the answer.
func (a *taskAnswer) encode() []byte {
	body, err := json.Marshal(a)
	if err != nil {
		// A taskAnswer holds only strings and numbers.
		panic(err)
	}
	return body
}
