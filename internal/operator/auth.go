package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// noLeaderRetryAfter is the Retry-After of answers that fail because there is no
// leader or no authority lease. A new leader is elected within 2 s.
const noLeaderRetryAfter = 2 * time.Second

// operatorsOnly returns an HTTP handler that calls h for requests of operators and
// refuses all others.
func (a *api) operatorsOnly(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		actor, problem := a.authenticate(r)
		if problem != nil {
			problem.write(w)
			return
		}
		value, problem := h(r, actor)
		if problem != nil {
			problem.write(w)
			return
		}
		writeJSON(w, http.StatusOK, "application/json", value)
	})
}

// authenticate returns the ID of the operator's key. If this entry host holds no
// valid authority lease, it refuses every request, because it may not know yet
// that the key was withdrawn.
func (a *api) authenticate(r *http.Request) (string, *Problem) {
	view := a.Control.View()
	if !view.Live(a.Clock.Now()) {
		return "", notProposed("this entry host has no contact with the leader", "")
	}
	scheme, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", newProblem(http.StatusUnauthorized, "key-missing", "the request has no key; send Authorization: Bearer KEY")
	}
	hash := sha256.Sum256([]byte(key))
	record, ok := view.State.KeyByHash(hash[:])
	if !ok || subtle.ConstantTimeCompare(record.GetHash(), hash[:]) != 1 {
		return "", newProblem(http.StatusUnauthorized, "key-unknown", "the key is not known")
	}
	if record.GetRole() != wire.Role_ROLE_OPERATOR {
		return "", newProblem(http.StatusForbidden, "not-operator", "the key "+record.GetId()+" has no operator role")
	}
	return record.GetId(), nil
}
