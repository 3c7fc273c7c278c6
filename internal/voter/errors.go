package voter

import (
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/voter/replica"
)

// ErrClosed means that the voter was closed before the call could be carried out.
var ErrClosed = errors.New("voter: closed")

// ErrOutcomeUnknown means that a command was appended to the log but its result
// is not known: it may or may not be committed. Resending it with the same
// operation ID returns the result.
var ErrOutcomeUnknown = replica.ErrOutcomeUnknown

// NotLeaderError means that the command was not appended because this voter is not
// the leader.
type NotLeaderError = replica.NotLeaderError

// FollowerStatus is the leader's view of one entry host.
type FollowerStatus = replica.FollowerStatus
