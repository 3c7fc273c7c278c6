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

// leaseRetry is the Retry-After without an authority lease. A new leader takes
// up to 2 s, and other entry hosts may hold a lease already.
const leaseRetry = time.Second

// credential is the hash of the key that came with a request. The key itself
// is not kept, so that it can't reach a log, a span or a metric.
type credential struct {
	hash    [sha256.Size]byte
	present bool
}

// takeCredential removes the key from the header and returns its hash.
func takeCredential(h http.Header) (credential, *Problem) {
	values := h["Authorization"]
	delete(h, "Authorization")
	if len(values) == 0 {
		return credential{}, nil
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if len(values) > 1 || !ok || key == "" || !strings.EqualFold(scheme, "Bearer") {
		return credential{}, problem(http.StatusUnauthorized, "bad-authorization", "Authorization is not readable",
			`Authorization must be "Bearer KEY", once`)
	}
	return credential{
		hash:    sha256.Sum256([]byte(key)),
		present: true,
	}, nil
}

// team returns the team that the key belongs to. The look-up by hash takes no
// secret; the comparison of the record found is in constant time.
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

func noLease() *Problem {
	return problem(http.StatusServiceUnavailable, "no-lease", "No authority lease",
		"this entry host has lost contact with the control state; another one may serve the request").after(leaseRetry)
}

func keyUnknown() *Problem {
	return problem(http.StatusUnauthorized, "key-unknown", "Key is not valid",
		"the key is not known, was withdrawn or is no submitter's key")
}

// authorise checks lease, key and scope for a queue. On an open queue it
// returns a nil team for a request without a usable key.
func authorise(view *follower.View, now time.Time, c *credential, queue *wire.Queue, needsLease bool) (*wire.Team, *Problem) {
	live := view.Live(now)
	if !live && (needsLease || !queue.GetOpen()) {
		return nil, noLease()
	}
	if queue.GetOpen() {
		if !live || !c.present {
			return nil, nil
		}
		team, _ := c.team(&view.State)
		return team, nil
	}
	if !c.present {
		return nil, problem(http.StatusUnauthorized, "key-missing", "Key is missing",
			"this queue takes work only with a key: Authorization: Bearer KEY")
	}
	team, ok := c.team(&view.State)
	if !ok {
		return nil, keyUnknown()
	}
	if !slices.Contains(team.GetQueues(), queue.GetName()) {
		return nil, problem(http.StatusForbidden, "queue-not-in-scope", "Queue is not in the key's scope",
			"the team of this key may not use queue "+queue.GetName())
	}
	return team, nil
}
