package replica

import "github.com/pkg/errors"

// ErrOutcomeUnknown means that a command was appended to the log but its result
// is not known: it may or may not be committed. Resending it with the same
// operation ID returns the result.
var ErrOutcomeUnknown = errors.New("voter: the outcome is unknown; resend with the same operation ID")

// NotLeaderError means that the command was not appended because this replica
// is not the leader.
type NotLeaderError struct {
	// Leader is the host name of the current leader; empty if none is known.
	Leader string
}

// Error names the leader if it is known.
func (e NotLeaderError) Error() string {
	if e.Leader == "" {
		return "voter: not the leader, and no leader is known"
	}
	return "voter: not the leader; the leader is " + e.Leader
}
