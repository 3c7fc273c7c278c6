package replicator

import "github.com/pkg/errors"

// ErrNotLeader means that this replica does not lead.
type ErrNotLeader struct {
	// Leader is the present leader; empty when none is known.
	Leader ID
}

// Error returns the text of the error.
func (e ErrNotLeader) Error() string {
	return "replicator: not the leader; the leader is " + string(e.Leader)
}

// ErrMembershipBusy means that a membership change can't start yet: another
// one is not committed, or the leader has committed nothing in its term.
var ErrMembershipBusy = errors.New("replicator: a membership change is under way")

// ErrMembershipChange means that the change does not fit the membership.
var ErrMembershipChange = errors.New("replicator: the change does not fit the membership")
