package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Ran tells whether an operation or an attempt was run.
type Ran string

// The values of the members "run" and "this-attempt".
const (
	NotRun  Ran = "not-run"
	WasRun  Ran = "run"
	Unknown Ran = "unknown"
)

// typePrefix starts the type of every problem; the rest is its short name.
const typePrefix = "urn:heathermux:problem:"

// Problem is a final refusal (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Run is about the operation: all attempts with the same idempotency key.
	Run Ran `json:"run"`
	// ThisAttempt is about this request only.
	ThisAttempt Ran `json:"this-attempt"`

	// retryAfter is sent as Retry-After unless it is zero.
	retryAfter time.Duration
}

// problem returns a refusal of a request that was not run.
func problem(status int, name, title, detail string) *Problem {
	return &Problem{
		Type:        typePrefix + name,
		Title:       title,
		Status:      status,
		Detail:      detail,
		Run:         NotRun,
		ThisAttempt: NotRun,
	}
}

// after returns the problem with a time after which a resend may succeed.
func (p *Problem) after(d time.Duration) *Problem {
	p.retryAfter = max(d, time.Nanosecond)
	return p
}

// ran returns the problem with other values of run and this-attempt.
func (p *Problem) ran(run, thisAttempt Ran) *Problem {
	p.Run = run
	p.ThisAttempt = thisAttempt
	return p
}

// seenKey returns a refusal from before the registry was asked. With an
// idempotency key an earlier attempt may have run, so only this attempt is
// known not to have.
func (p *Problem) seenKey(h http.Header) *Problem {
	if _, keyed := h["Idempotency-Key"]; keyed && p.Run == NotRun {
		p.Run = Unknown
	}
	return p
}

func (p *Problem) write(w http.ResponseWriter) {
	body, err := json.Marshal(p)
	if err != nil {
		// A Problem holds only strings and a number.
		panic(err)
	}
	h := w.Header()
	h["Content-Type"] = []string{"application/problem+json"}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	if p.retryAfter > 0 {
		h["Retry-After"] = []string{strconv.FormatInt(wholeSeconds(p.retryAfter), 10)}
	}
	if p.Status == http.StatusUnauthorized {
		h["Www-Authenticate"] = []string{"Bearer"}
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// wholeSeconds rounds up, because Retry-After has no smaller unit.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
