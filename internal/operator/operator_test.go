package operator_test

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/operator"
	"github.com/heathermux/heathermux/internal/wire"
)

// A refused request must have the right status and code, because clients decide on
// them whether to resend it, and must not change anything.
func TestRefusals(t *testing.T) {
	const out = `{"operation-id": "op-1", "revision": 1}`
	// Each case is a key, a request line, a body and the refusal.
	tests := map[string][4]string{
		"no key":            {"", "GET /v1/zones", "", "401 key-missing"},
		"unknown key":       {"x", "GET /v1/zones", "", "401 key-unknown"},
		"submitter":         {"example-qhapaq-markets", "GET /v1/zones", "", "403 not-operator"},
		"submitter changes": {"example-qhapaq-markets", "POST /v1/zones/callao/out", out, "403 not-operator"},
		"unknown path":      {operatorKey, "GET /v1/foo", "", "404 not-found"},
		"unknown customer":  {operatorKey, "GET /v1/contracts/x", "", "404 not-found"},
		"method":            {operatorKey, "PUT /v1/zones", "", "405 method-not-allowed"},
		"not JSON":          {operatorKey, "POST /v1/zones/callao/out", "x", "400 malformed"},
		"two values":        {operatorKey, "POST /v1/zones/callao/out", out + out, "400 malformed"},
		"unknown member":    {operatorKey, "POST /v1/zones/callao/out", `{"operation-id": "o", "revision": 1, "force": true}`, "400 malformed"},
		"no operation":      {operatorKey, "POST /v1/zones/callao/out", `{"revision": 1}`, "400 malformed"},
		"derived operation": {operatorKey, "POST /v1/zones/callao/out", `{"operation-id": "a/b", "revision": 1}`, "400 malformed"},
		"no revision":       {operatorKey, "POST /v1/zones/callao/out", `{"operation-id": "o"}`, "400 malformed"},
		"body too large":    {operatorKey, "POST /v1/zones/callao/out", strings.Repeat(" ", 5<<20), "413 too-large"},
		"old revision":      {operatorKey, "POST /v1/zones/callao/out", `{"operation-id": "o", "revision": 0}`, "409 conflict"},
		"unknown zone":      {operatorKey, "POST /v1/zones/x/out", out, "422 rejected"},
		"bad contract":      {operatorKey, "POST /v1/contracts", `{"operation-id": "o", "revision": 0, "contract": {"customer": "c", "teams": [{"name": "t", "share": 0}]}}`, "422 rejected"},
		"bad unit":          {operatorKey, "POST /v1/contracts", `{"operation-id": "o", "revision": 0, "contract": {"teams": [{"request-rate": "5"}]}}`, "400 malformed"},
		"bad role":          {operatorKey, "POST /v1/keys", `{"operation-id": "o", "role": "root"}`, "400 malformed"},
		"operator of team":  {operatorKey, "POST /v1/keys", `{"operation-id": "o", "role": "operator", "team": "markets"}`, "400 malformed"},
		"short hash":        {operatorKey, "POST /v1/keys", `{"operation-id": "o", "role": "operator", "sha256": "ab"}`, "400 malformed"},
		"unknown team":      {operatorKey, "POST /v1/keys", `{"operation-id": "o", "role": "submitter", "team": "x"}`, "422 rejected"},
		"move to own pool":  {operatorKey, "POST /v1/hosts/w-norte-1/move", `{"operation-id": "o", "revision": 1, "pool": "issue"}`, "422 rejected"},
		"return an active":  {operatorKey, "POST /v1/hosts/w-norte-1/return", out, "422 rejected"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t)
			method, path, _ := strings.Cut(tt[1], " ")
			p := s.refusal(t, tt[0], method, path, tt[2])
			is.Equal(fmt.Sprintf("%d %s", p.Status, p.Code), tt[3])
			is.Equal(s.control.View().State.Revision(), uint64(1)) // nothing has changed
		})
	}
}

// If it is unknown whether a change was made, the response must say so and not
// claim that it was not made. Without a valid lease, no change may be made.
func TestLostLeader(t *testing.T) {
	tests := map[string]struct {
		lease       time.Duration
		failure     error
		code        string
		thisAttempt string
	}{
		"no lease": {
			lease:       0,
			code:        "no-leader",
			thisAttempt: operator.NotRun,
		},
		"no leader": {
			lease:       time.Second,
			failure:     operator.ErrNoLeader,
			code:        "no-leader",
			thisAttempt: operator.NotRun,
		},
		"unknown outcome": {
			lease:       time.Second,
			failure:     errors.New("lost"),
			code:        "unknown-outcome",
			thisAttempt: operator.Unknown,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t)
			s.control.lease, s.control.errNotApplied = tt.lease, tt.failure
			p := s.refusal(t, operatorKey, "POST", "/v1/zones/callao/out", `{"operation-id": "op-1", "revision": 1}`)
			is.Equal(p.Code, tt.code)
			is.Equal(p.Run, operator.Unknown) // an earlier attempt may have been accepted
			is.Equal(p.ThisAttempt, tt.thisAttempt)
		})
	}
}

// Checks the invariant in-force: an accepted change states the time from which it
// is in force. Of two changes based on the same revision, only the first must be
// accepted.
func TestCompetingChanges(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	var first operator.Answer
	s.call(t, operatorKey, "POST", "/v1/zones/callao/out", `{"operation-id": "op-1", "revision": 1}`, &first)
	is.True(first.InForceAt.After(startTime))
	is.Equal(first.Revision, uint64(2))
	var second operator.Problem
	response := s.call(t, operatorKey, "POST", "/v1/zones/callao/in", `{"operation-id": "op-2", "revision": 1}`, &second)
	is.Equal(response.StatusCode, http.StatusConflict)
	is.Equal(second.Winner, "op-1")
	var zones operator.ZoneList
	s.call(t, operatorKey, "GET", "/v1/zones", "", &zones)
	is.Equal(zones.Zones[0].State, "out")
	is.True(zones.Zones[0].ChangedAt.Equal(startTime))
}

// A change that is resent after its response was lost must not be made twice and
// must not be reported as a conflict with itself.
func TestResendAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	const body = `{"operation-id": "op-1", "revision": 1}`
	s.control.errApplied = errors.New("the connection broke")
	var lost operator.Problem
	s.call(t, operatorKey, "POST", "/v1/zones/callao/out", body, &lost)
	is.Equal(lost.Code, "unknown-outcome")
	is.Equal(lost.Run, operator.Unknown)
	s.control.errApplied = nil
	var answer operator.Answer
	response := s.call(t, operatorKey, "POST", "/v1/zones/callao/out", body, &answer)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(s.control.View().State.Revision(), uint64(2))
}

// Checks the invariant key-scope: a granted key works, is not stored in readable
// form, and stops working once it is withdrawn.
func TestKeyIsGrantedAndWithdrawn(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	var granted operator.Answer
	const grant = `{"operation-id": "op-1", "role": "operator", "id": "second"}`
	s.call(t, operatorKey, "POST", "/v1/keys", grant, &granted)
	is.Equal(len(granted.Key.Key), len("hmx_")+43) // 256 bits in base64
	record, _ := s.control.View().State.Key("second")
	is.True(!strings.Contains(string(record.GetHash()), granted.Key.Key))

	var resent operator.Problem
	s.call(t, operatorKey, "POST", "/v1/keys", grant, &resent)
	is.Equal(resent.Code, "granted-before") // a resend must not show a key that was not stored

	var withdrawn operator.Answer
	response := s.call(t, granted.Key.Key, "POST", "/v1/keys/second/withdraw", `{"operation-id": "op-2", "revision": 2}`, &withdrawn)
	is.Equal(response.StatusCode, http.StatusOK)
	var p operator.Problem
	s.call(t, granted.Key.Key, "GET", "/v1/zones", "", &p)
	is.Equal(p.Code, "key-unknown")
}

// Checks the invariant availability-budget: draining a pool drains no more hosts
// than the budget allows. A resent drain must give the same answer and drain no
// further hosts, and the drained hosts can be returned together with the pool.
func TestPoolDrainKeepsBudget(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	var drained operator.Answer
	s.call(t, operatorKey, "POST", "/v1/pools/issue/drain", `{"operation-id": "op-1", "revision": 1}`, &drained)
	is.Equal(drained.Hosts, []string{"w-callao-1", "w-callao-7"})
	is.Equal(drained.HostsLeft, 7)
	pool, _ := s.control.View().State.Pool("issue")
	is.Equal(pool.GetState(), wire.ServiceState_SERVICE_STATE_OUT)

	var resent operator.Answer
	s.call(t, operatorKey, "POST", "/v1/pools/issue/drain", `{"operation-id": "op-1", "revision": 1}`, &resent)
	is.Equal(resent, drained)
	is.Equal(s.control.View().State.Unavailable("issue"), int64(2))
	is.True(s.control.View().State.Unavailable("issue") <= pool.GetAvailabilityBudget())
	is.True(drained.HostsLeft > 0) // the budget has bounded the drain, not the size of the pool

	var back operator.Answer
	s.call(t, operatorKey, "POST", "/v1/pools/issue/in", `{"operation-id": "op-2", "revision": 2, "return-hosts": true}`, &back)
	is.Equal(back.Hosts, drained.Hosts)
	is.Equal(s.control.View().State.Unavailable("issue"), int64(0))
}
