package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/heathermux/heathermux/internal/wire"
)

// Key describes a granted key; neither the key nor its hash is shown.
type Key struct {
	ID       string `json:"id"`
	Team     string `json:"team,omitempty"`
	Role     string `json:"role"`
	Revision uint64 `json:"revision"`
}

// KeyList is the answer to GET /v1/keys.
type KeyList struct {
	Revision uint64 `json:"revision"`
	Keys     []Key  `json:"keys"`
}

// KeyGrant is the body of POST /v1/keys.
type KeyGrant struct {
	Change
	// ID of the key; empty means one made from the operation ID.
	ID   string `json:"id,omitempty"`
	Team string `json:"team,omitempty"`
	// Role is "submitter" or "operator".
	Role string `json:"role"`
	// SHA256 is the hash of a key that the sender made; empty lets the server
	// make one. With the sender's own key a resend after a lost answer needs
	// no new key, and the key itself is never sent.
	SHA256 string `json:"sha256,omitempty"`
}

// GrantedKey is a key that was just granted.
type GrantedKey struct {
	ID string `json:"id"`
	// Key is shown this once; empty when the sender made it.
	Key string `json:"key,omitempty"`
}

var roles = map[string]wire.Role{
	"submitter": wire.Role_ROLE_SUBMITTER,
	"operator":  wire.Role_ROLE_OPERATOR,
}

func roleName(role wire.Role) string {
	return strings.ToLower(strings.TrimPrefix(role.String(), "ROLE_"))
}

func (a *api) listKeys(*http.Request, string) (any, *Problem) {
	state := a.Control.View().State
	list := KeyList{
		Revision: state.Revision(),
		Keys:     make([]Key, 0),
	}
	for _, k := range state.Keys() {
		list.Keys = append(list.Keys, Key{
			ID:       k.GetId(),
			Team:     k.GetTeam(),
			Role:     roleName(k.GetRole()),
			Revision: k.GetRevision(),
		})
	}
	return list, nil
}

func (a *api) grantKey(r *http.Request, actor string) (any, *Problem) {
	var body KeyGrant
	if problem := decode(r, &body, &body.Change, false); problem != nil {
		return nil, problem
	}
	secret := ""
	if body.SHA256 == "" {
		secret = NewKey()
		body.SHA256 = HashKey(secret)
	}
	record, problem := body.record()
	if problem != nil {
		return nil, problem
	}
	cmd := body.command(actor)
	cmd.Change = &wire.Command_GrantKey{
		GrantKey: &wire.GrantKey{
			Key: record,
		},
	}
	answer, problem := a.propose(r.Context(), cmd)
	if problem != nil {
		return nil, problem
	}
	if problem := a.checkGranted(r, record, answer); problem != nil {
		return nil, problem
	}
	answer.Key = &GrantedKey{
		ID:  record.GetId(),
		Key: secret,
	}
	return answer, nil
}

func (g KeyGrant) record() (*wire.KeyRecord, *Problem) {
	hash, err := hex.DecodeString(g.SHA256)
	if err != nil || len(hash) != sha256.Size {
		return nil, newProblem(http.StatusBadRequest, "malformed", "sha256 can't be read; allowed: 64 hexadecimal digits")
	}
	role, ok := roles[g.Role]
	if !ok {
		return nil, newProblem(http.StatusBadRequest, "malformed", "role is wrong; allowed: submitter or operator")
	}
	if role == wire.Role_ROLE_OPERATOR && g.Team != "" {
		return nil, newProblem(http.StatusBadRequest, "malformed", "team is given with the role operator; allowed: a team with the role submitter only")
	}
	id := g.ID
	if id == "" {
		id = "key-" + g.OperationID
	}
	return &wire.KeyRecord{
		Id:   id,
		Team: g.Team,
		Hash: hash,
		Role: role,
	}, nil
}

// checkGranted makes sure that the stored key is the one of this request. A
// resent grant gets the first result, and then the key that the server made
// for this request is not the one that was stored.
func (a *api) checkGranted(r *http.Request, record *wire.KeyRecord, answer *Answer) *Problem {
	if !a.awaitRevision(r.Context(), answer.Revision) {
		p := newProblem(http.StatusGatewayTimeout, "unknown-outcome",
			"the key was granted, but this entry host can't confirm it yet; resend with the same operation-id")
		p.OperationID = answer.OperationID
		p.Run = Unknown
		p.ThisAttempt = Unknown
		return p
	}
	stored, ok := a.Control.View().State.Key(record.GetId())
	if ok && subtle.ConstantTimeCompare(stored.GetHash(), record.GetHash()) == 1 {
		return nil
	}
	p := newProblem(http.StatusConflict, "granted-before",
		"an earlier request with this operation-id granted the key, and it can't be shown again; withdraw "+record.GetId()+" and grant a new key")
	p.OperationID = answer.OperationID
	p.Winner = answer.OperationID
	p.Revision = answer.Revision
	return p
}

func (a *api) withdrawKey(r *http.Request, actor string) (any, *Problem) {
	var body Change
	if problem := decode(r, &body, &body, true); problem != nil {
		return nil, problem
	}
	cmd := body.command(actor)
	cmd.Change = &wire.Command_WithdrawKey{
		WithdrawKey: &wire.WithdrawKey{
			Id: r.PathValue("id"),
		},
	}
	return orProblem(a.propose(r.Context(), cmd))
}
