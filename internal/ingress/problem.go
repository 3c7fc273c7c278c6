package ingress

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// RunStatus says whether an operation or an attempt was run.
type RunStatus string

// The values of the members "run" and "this-attempt". RunUnknown means that it may
// have been run.
const (
	NotRun     RunStatus = "not-run"
	WasRun     RunStatus = "run"
	RunUnknown RunStatus = "unknown"
)

// problemTypePrefix is the start of each problem type, followed by the problem's
// name.
const problemTypePrefix = "urn:heathermux:problem:"

// Problem holds the problem details (RFC 9457) of a refusal, which is the final
// response to a request.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Run says whether the operation was run by any attempt with the same
	// idempotency key.
	Run RunStatus `json:"run"`
	// ThisAttempt says whether this request was run.
	ThisAttempt RunStatus `json:"this-attempt"`

	// retryAfter is sent as Retry-After, rounded up to seconds, unless it is zero.
	retryAfter time.Duration
}

// newProblem returns a refusal of a request that was not run. The type of the
// problem is problemTypePrefix followed by name.
func newProblem(status int, name, title, detail string) *Problem {
	return &Problem{
		Type:        problemTypePrefix + name,
		Title:       title,
		Status:      status,
		Detail:      detail,
		Run:         NotRun,
		ThisAttempt: NotRun,
	}
}

// withRetryAfter sets the time after which a resend may succeed and returns p. The
// Retry-After sent is at least 1 s.
func (p *Problem) withRetryAfter(d time.Duration) *Problem {
	p.retryAfter = max(d, time.Nanosecond)
	return p
}

// withRun sets the members run and this-attempt and returns p.
func (p *Problem) withRun(run, thisAttempt RunStatus) *Problem {
	p.Run = run
	p.ThisAttempt = thisAttempt
	return p
}

// unknownRunIfKeyed changes run from not-run to unknown if the header has an
// idempotency key, and returns p. It is for refusals from before the registry was
// asked, when an earlier attempt with the key may have run.
func (p *Problem) unknownRunIfKeyed(h http.Header) *Problem {
	if _, keyed := h["Idempotency-Key"]; keyed && p.Run == NotRun {
		p.Run = RunUnknown
	}
	return p
}

// write sends the problem as the response.
func (p *Problem) write(w http.ResponseWriter) {
	body, err := json.Marshal(p)
	if err != nil {
		// Not reached: strings and a number can always be encoded.
		panic(err)
	}
	h := w.Header()
	h["Content-Type"] = []string{"application/problem+json"}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	if p.retryAfter > 0 {
		h["Retry-After"] = []string{strconv.FormatInt(ceilSeconds(p.retryAfter), 10)}
	}
	if p.Status == http.StatusUnauthorized {
		h["Www-Authenticate"] = []string{"Bearer"}
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// ceilSeconds rounds a duration up to whole seconds, the unit of Retry-After.
func ceilSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
