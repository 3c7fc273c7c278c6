package replicator

import "github.com/pkg/errors"

// ErrNotLeader means that this replica is not the leader.
type ErrNotLeader struct {
	// Leader is the current leader; empty when none is known.
	Leader ID
}

// Error returns the text of the error.
func (e ErrNotLeader) Error() string {
	return "replicator: not the leader; the leader is " + string(e.Leader)
}

// ErrMembershipBusy means that a membership change cannot start yet: the previous
// change is not committed, or the leader has not committed an entry of its own
// term.
var ErrMembershipBusy = errors.New("replicator: the previous membership change or the first entry of the leader's term is not committed yet")

// ErrMembershipChange means that the change does not apply to the current
// membership: the replica to add is a member already, the replica to promote or
// remove is not a member, or no voter would remain.
var ErrMembershipChange = errors.New("replicator: the change does not apply to the current membership")
