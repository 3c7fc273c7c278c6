package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"regexp"
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// maxBodyBytes limits the request body of a change. A contract of 1,024 teams with
// a hundred queues each has about 2 MiB.
const maxBodyBytes = 4 << 20

// Change holds the members that the request bodies of all changes have in common.
type Change struct {
	// OperationID identifies the change and is chosen by the client. A resent
	// request has the same ID and gets the result of the first one.
	OperationID string `json:"operation-id"`
	// Revision is the revision of the object on which the change is based; 0 for
	// a new object.
	Revision *uint64 `json:"revision,omitempty"`
	// Region is the region to which the change applies; empty means the home
	// region.
	Region string `json:"region,omitempty"`
}

// Answer is the response to an accepted change.
type Answer struct {
	OperationID string `json:"operation-id"`
	// Revision is the first revision of the control state that contains the
	// change.
	Revision uint64 `json:"revision"`
	// InForceAt is the time from which the change is in force on all entry hosts.
	InForceAt time.Time `json:"in-force-at"`
	// Key is set if a key was granted.
	Key *GrantedKey `json:"key,omitempty"`
	// Hosts are the hosts that a change of a pool started to drain or returned to
	// service.
	Hosts []string `json:"hosts,omitempty"`
	// HostsLeft is the number of hosts that a change of a pool left as they were,
	// because of the availability budget or a concurrent change.
	HostsLeft int `json:"hosts-left,omitempty"`
}

// operationIDPattern matches valid operation IDs. Slashes are reserved for the IDs
// that are derived from an operation ID, see hostCommand.
var operationIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// decode decodes the body of a change into value, which contains change. If
// needRevision is set, a change without a revision is refused, so that clients
// can't overwrite a state that they have not seen.
func decode(r *http.Request, value any, change *Change, needRevision bool) *Problem {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(value)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return newProblem(http.StatusRequestEntityTooLarge, "too-large", "the body is larger than 4 MiB")
	case err != nil:
		return newProblem(http.StatusBadRequest, "malformed", "the body can't be read: "+err.Error())
	case decoder.Decode(&struct{}{}) != io.EOF:
		return newProblem(http.StatusBadRequest, "malformed", "the body has more than one JSON value")
	case !operationIDPattern.MatchString(change.OperationID):
		return newProblem(http.StatusBadRequest, "malformed", "operation-id is missing or wrong; allowed: 1 to 128 letters, digits, dots, colons, hyphens and underscores")
	case needRevision && change.Revision == nil:
		return newProblem(http.StatusBadRequest, "malformed", "revision is missing; allowed: the revision of the object that the change was made from")
	}
	return nil
}

// command returns a command for the change. The caller sets its Change field.
func (c Change) command(actor string) *wire.Command {
	cmd := &wire.Command{
		OperationId: c.OperationID,
		Actor:       "key/" + actor,
		Region:      c.Region,
	}
	if c.Revision != nil {
		cmd.ExpectedRevision = *c.Revision
	}
	return cmd
}

// propose proposes the command and waits for its result. It returns an answer if
// the command was accepted, otherwise a problem.
func (a *api) propose(ctx context.Context, cmd *wire.Command) (*Answer, *Problem) {
	timeoutCtx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	result, err := a.Control.Propose(timeoutCtx, cmd)
	if err != nil {
		return nil, unknownOutcome(cmd, err)
	}
	switch result.GetOutcome() {
	case wire.Outcome_OUTCOME_ACCEPTED:
		// Wait until this entry host has the change, so that a client that reads
		// from it next sees the change.
		a.awaitRevision(ctx, result.GetRevision())
		return &Answer{
			OperationID: cmd.GetOperationId(),
			Revision:    result.GetRevision(),
			InForceAt:   time.Unix(0, result.GetInForceAtUnixNanos()).UTC(),
		}, nil
	case wire.Outcome_OUTCOME_CONFLICT:
		return nil, refused(http.StatusConflict, "conflict", cmd, result)
	case wire.Outcome_OUTCOME_REJECTED:
		return nil, refused(http.StatusUnprocessableEntity, "rejected", cmd, result)
	default:
		return nil, unknownOutcome(cmd, errors.New("the result has no outcome"))
	}
}

// refused returns the problem for a command that was decided and not accepted.
func refused(status int, code string, cmd *wire.Command, result *wire.Result) *Problem {
	p := newProblem(status, code, result.GetReason())
	p.OperationID = cmd.GetOperationId()
	p.Winner = result.GetWinner()
	p.Revision = result.GetRevision()
	p.Run = NotRun
	p.ThisAttempt = NotRun
	return p
}

// unknownOutcome returns the problem for a command without a result. Unless the
// error says that it was not proposed, it may have been accepted.
func unknownOutcome(cmd *wire.Command, err error) *Problem {
	if errors.Is(err, ErrNoLeader) {
		return notProposed("no leader is known", cmd.GetOperationId())
	}
	p := newProblem(http.StatusGatewayTimeout, "unknown-outcome",
		"whether the change was accepted is not known ("+err.Error()+"); resend it with the same operation-id")
	p.OperationID = cmd.GetOperationId()
	p.Run = Unknown
	p.ThisAttempt = Unknown
	return p
}

// notProposed returns the problem for a command that was not proposed, so that
// this attempt changed nothing. An earlier attempt of the same operation may have
// been accepted.
func notProposed(reason, operation string) *Problem {
	p := newProblem(http.StatusServiceUnavailable, "no-leader", reason+"; nothing was changed by this request, resend it with the same operation-id")
	p.OperationID = operation
	p.Run = Unknown
	p.ThisAttempt = NotRun
	p.retryAfter = noLeaderRetryAfter
	return p
}

const (
	// revisionTimeout limits the wait until this entry host has applied a change.
	// Followers fetch changes from the leader every 400 ms.
	revisionTimeout      = time.Second
	revisionPollInterval = 10 * time.Millisecond
)

// awaitRevision waits until this entry host has applied the revision. It returns
// false after revisionTimeout or when ctx ends.
func (a *api) awaitRevision(ctx context.Context, revision uint64) bool {
	deadline := a.Clock.Now().Add(revisionTimeout)
	for a.Control.View().State.Revision() < revision {
		if !a.Clock.Now().Before(deadline) {
			return false
		}
		tick := a.Clock.NewTimer(revisionPollInterval)
		select {
		case <-tick.C():
		case <-ctx.Done():
			tick.Stop()
			return false
		}
	}
	return true
}
