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

// maxBody bounds the body of one change. A contract of 1,024 teams with a
// hundred queues each takes about 2 MiB.
const maxBody = 4 << 20

// Change has the members that every change takes.
type Change struct {
	// OperationID is chosen by the sender; a resend carries the same one and
	// gets the first result.
	OperationID string `json:"operation-id"`
	// Revision of the object that the change was made from; 0 for a new object.
	Revision *uint64 `json:"revision,omitempty"`
	// Region that the change is for; empty means the home region.
	Region string `json:"region,omitempty"`
}

// Answer tells of an accepted change.
type Answer struct {
	OperationID string `json:"operation-id"`
	// Revision of the control state with the change.
	Revision uint64 `json:"revision"`
	// InForceAt is when the change is in force on every entry host.
	InForceAt time.Time `json:"in-force-at"`
	// Key is set when a key was granted.
	Key *GrantedKey `json:"key,omitempty"`
	// Hosts are those that a change of a pool started to drain or returned.
	Hosts []string `json:"hosts,omitempty"`
	// HostsLeft is the number of hosts that the availability budget kept active.
	HostsLeft int `json:"hosts-left,omitempty"`
}

// Slashes are left out: they join an operation ID to the steps derived from it.
var operationID = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// decode reads the body of a change into value. With needRevision a change
// without a revision is refused, so that none is made blindly.
func decode(r *http.Request, value any, change *Change, needRevision bool) *Problem {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBody))
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
	case !operationID.MatchString(change.OperationID):
		return newProblem(http.StatusBadRequest, "malformed", "operation-id is missing or wrong; allowed: 1 to 128 letters, digits, dots, colons, hyphens and underscores")
	case needRevision && change.Revision == nil:
		return newProblem(http.StatusBadRequest, "malformed", "revision is missing; allowed: the revision of the object that the change was made from")
	}
	return nil
}

// command returns the command of a change, still without the change itself.
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

// propose returns the answer to an accepted command, else a problem.
func (a *api) propose(ctx context.Context, cmd *wire.Command) (*Answer, *Problem) {
	bounded, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	result, err := a.Control.Propose(bounded, cmd)
	if err != nil {
		return nil, undecided(cmd, err)
	}
	switch result.GetOutcome() {
	case wire.Outcome_OUTCOME_ACCEPTED:
		// A client that reads its own change back here finds it.
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
		return nil, undecided(cmd, errors.New("the result has no outcome"))
	}
}

func refused(status int, code string, cmd *wire.Command, result *wire.Result) *Problem {
	p := newProblem(status, code, result.GetReason())
	p.OperationID = cmd.GetOperationId()
	p.Winner = result.GetWinner()
	p.Revision = result.GetRevision()
	p.Run = NotRun
	p.ThisAttempt = NotRun
	return p
}

func undecided(cmd *wire.Command, err error) *Problem {
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

// notProposed tells that this attempt changed nothing. An earlier attempt of
// the same operation may have been accepted.
func notProposed(reason, operation string) *Problem {
	p := newProblem(http.StatusServiceUnavailable, "no-leader", reason+"; nothing was changed by this request, resend it with the same operation-id")
	p.OperationID = operation
	p.Run = Unknown
	p.ThisAttempt = NotRun
	p.retryAfter = leaderWait
	return p
}

const (
	// viewWait bounds the wait for the own view after a change. Followers ask
	// for changes every 400 ms.
	viewWait = time.Second
	viewPoll = 10 * time.Millisecond
)

// awaitRevision waits until the own view has the revision; it reports false
// when that takes too long.
func (a *api) awaitRevision(ctx context.Context, revision uint64) bool {
	deadline := a.Clock.Now().Add(viewWait)
	for a.Control.View().State.Revision() < revision {
		if !a.Clock.Now().Before(deadline) {
			return false
		}
		tick := a.Clock.NewTimer(viewPoll)
		select {
		case <-tick.C():
		case <-ctx.Done():
			tick.Stop()
			return false
		}
	}
	return true
}
