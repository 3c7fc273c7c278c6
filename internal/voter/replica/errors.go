package replica

import "github.com/pkg/errors"

// ErrOutcomeUnknown means that a command was appended to the log and that its
// result was not seen. A resend with the same operation ID learns the result.
var ErrOutcomeUnknown = errors.New("voter: the outcome is unknown; resend with the same operation ID")

// NotLeaderError means that the command was not appended because this voter
// does not lead.
type NotLeaderError struct {
	// Leader is the name of the present leader; empty when none is known.
	Leader string
}

// Error returns the text of the error.
func (e NotLeaderError) Error() string {
	if e.Leader == "" {
		return "voter: not the leader, and no leader is known"
	}
	return "voter: not the leader; the leader is " + e.Leader
}
