package ingress

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/heathermux/heathermux/internal/forwarder"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/deduplicator"
)

// submitKeyedTask submits a task with an idempotency key: it asks the registry for
// permission, submits the task if granted, and stores the response. A scheduler
// detects duplicates only among its own tasks, and a resend through another entry
// host may go to the scheduler of another data centre, so only the registry keeps
// a resend from becoming a second task.
func (g *Ingress) submitKeyedTask(ctx context.Context, body []byte, task *wire.Task) (int, *taskStatusJSON, *Problem) {
	entry := &wire.RegistryEntry{
		Key:         "tasks/" + deduplicator.JoinKey(task.GetTeam(), task.GetIdempotencyKey()),
		Fingerprint: deduplicator.Fingerprint(http.MethodPost, tasksPath, body),
		Attempt:     g.nextID(),
	}
	begin := g.cfg.Registry.Begin(ctx, entry.GetKey(), entry.GetFingerprint(), entry.GetAttempt())
	if begin.GetOutcome() != wire.BeginOutcome_BEGIN_OUTCOME_GRANTED {
		return replayOrRefuseTask(begin)
	}
	status, answer, refusal := g.sendToScheduler(ctx, task)
	entry.State = entryState(refusal)
	if answer != nil {
		entry.Answer = storedAnswer(&forwarder.Response{
			Status: status,
			Body:   answer.encode(),
		})
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if !g.cfg.Registry.Finish(ctx, entry) {
		g.cfg.Logger.Warn("ingress: registry did not confirm the outcome of a task submission with an idempotency key; resends may be refused as outcome-unknown", "task", task.GetId())
	}
	return status, answer, refusal
}

// replayOrRefuseTask returns the stored response of an earlier attempt, or a
// refusal, for a submission that the registry did not grant.
func replayOrRefuseTask(begin *wire.BeginResponse) (int, *taskStatusJSON, *Problem) {
	stored, refusal := replayOrRefuse(begin)
	if refusal != nil {
		return 0, nil, refusal
	}
	answer := &taskStatusJSON{
		replayed: true,
	}
	if err := json.Unmarshal(stored.Body, answer); err != nil {
		return 0, nil, newProblem(http.StatusConflict, "answer-not-held", "Answer is no longer held",
			"the task was accepted from an earlier attempt; its answer can't be read").withRun(WasRun, NotRun)
	}
	return stored.Status, answer, nil
}

// encode returns the status as JSON.
func (a *taskStatusJSON) encode() []byte {
	body, err := json.Marshal(a)
	if err != nil {
		// Not reached: strings and numbers can always be encoded.
		panic(err)
	}
	return body
}
