package voter

import (
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/voter/replica"
)

// ErrClosed means that the voter was closed.
var ErrClosed = errors.New("voter: closed")

// ErrOutcomeUnknown means that a command was appended to the log and that its
// result was not seen. A resend with the same operation ID learns the result.
var ErrOutcomeUnknown = replica.ErrOutcomeUnknown

// NotLeaderError means that the command was not appended because this voter
// does not lead.
type NotLeaderError = replica.NotLeaderError

// FollowerStatus is what the leader knows of one entry host.
type FollowerStatus = replica.FollowerStatus
