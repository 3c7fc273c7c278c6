package ingress

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/wire"
)

// leaseRetryAfter is the Retry-After of refusals for want of an authority lease.
// Electing a new leader takes up to 2 s, but other entry hosts may already hold a
// lease.
const leaseRetryAfter = time.Second

// credential holds the hash of the API key of a request. The key itself is not
// kept, so that it can't reach a log, a span or a metric.
type credential struct {
	hash    [sha256.Size]byte
	present bool
}

// takeCredential removes the Authorization header and returns the hash of its
// key.
func takeCredential(h http.Header) (credential, *Problem) {
	values := h["Authorization"]
	delete(h, "Authorization")
	if len(values) == 0 {
		return credential{}, nil
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if len(values) > 1 || !ok || key == "" || !strings.EqualFold(scheme, "Bearer") {
		return credential{}, newProblem(http.StatusUnauthorized, "bad-authorization", "Authorization is not readable",
			`Authorization must be "Bearer KEY", once`)
	}
	return credential{
		hash:    sha256.Sum256([]byte(key)),
		present: true,
	}, nil
}

// team returns the team that the key belongs to, if it is a submitter's key. The
// look-up uses the hash, not the secret; the hash of the record found is compared
// in constant time.
func (c *credential) team(state *controller.State) (*wire.Team, bool) {
	record, ok := state.KeyByHash(c.hash[:])
	if !ok || subtle.ConstantTimeCompare(record.GetHash(), c.hash[:]) != 1 {
		return nil, false
	}
	if record.GetRole() != wire.Role_ROLE_SUBMITTER {
		return nil, false
	}
	ref, ok := state.Team(record.GetTeam())
	return ref.Team, ok
}

// noLeaseProblem returns the refusal of an entry host without an authority lease.
func noLeaseProblem() *Problem {
	return newProblem(http.StatusServiceUnavailable, "no-lease", "No authority lease",
		"this entry host has lost contact with the control state; another one may serve the request").withRetryAfter(leaseRetryAfter)
}

// unknownKeyProblem returns the refusal of a key that is not a valid submitter's
// key.
func unknownKeyProblem() *Problem {
	return newProblem(http.StatusUnauthorized, "key-unknown", "Key is not valid",
		"the key is not known, was withdrawn or is no submitter's key")
}

// authorise checks the authority lease, the key and its scope for a queue and
// returns the team of the key. An open queue needs no key, and a lease only if
// needsLease is set; its team is nil when there is no lease or no valid key.
func authorise(view *follower.View, now time.Time, c *credential, queue *wire.Queue, needsLease bool) (*wire.Team, *Problem) {
	live := view.Live(now)
	if !live && (needsLease || !queue.GetOpen()) {
		return nil, noLeaseProblem()
	}
	if queue.GetOpen() {
		if !live || !c.present {
			return nil, nil
		}
		team, _ := c.team(&view.State)
		return team, nil
	}
	if !c.present {
		return nil, newProblem(http.StatusUnauthorized, "key-missing", "Key is missing",
			"this queue takes work only with a key: Authorization: Bearer KEY")
	}
	team, ok := c.team(&view.State)
	if !ok {
		return nil, unknownKeyProblem()
	}
	if !slices.Contains(team.GetQueues(), queue.GetName()) {
		return nil, newProblem(http.StatusForbidden, "queue-not-in-scope", "Queue is not in the key's scope",
			"the team of this key may not use queue "+queue.GetName())
	}
	return team, nil
}
