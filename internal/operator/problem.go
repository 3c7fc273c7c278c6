package operator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Problem is the response to a request that failed, in the format of RFC 9457
// (problem details). It is sent as application/problem+json. The members after
// Detail are extensions.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Code identifies the kind of failure for programs, such as "conflict".
	Code        string `json:"code"`
	OperationID string `json:"operation-id,omitempty"`
	// Winner is the ID of the operation that was accepted instead; set for
	// conflicts.
	Winner string `json:"winner,omitempty"`
	// Revision is the revision of the control state on which the decision was
	// based.
	Revision uint64 `json:"revision,omitempty"`
	// Run is "not-run" or "unknown": whether any attempt with the operation ID
	// was applied.
	Run string `json:"run,omitempty"`
	// ThisAttempt is "not-run" or "unknown": whether this request was applied.
	ThisAttempt string `json:"this-attempt,omitempty"`

	retryAfter time.Duration
}

// Values of Problem.Run and Problem.ThisAttempt.
const (
	NotRun  = "not-run"
	Unknown = "unknown"
)

func newProblem(status int, code, detail string) *Problem {
	return &Problem{
		Type:   "about:blank",
		Title:  http.StatusText(status),
		Status: status,
		Detail: detail,
		Code:   code,
	}
}

// Error returns the detail. It lets clients use a Problem as an error.
func (p *Problem) Error() string { return p.Detail }

func (p *Problem) write(w http.ResponseWriter) {
	if p.retryAfter > 0 {
		seconds := int((p.retryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", `Bearer realm="heathermux"`)
	}
	writeJSON(w, p.Status, "application/problem+json", p)
}

func writeJSON(w http.ResponseWriter, status int, contentType string, value any) {
	w.Header().Set("Content-Type", contentType)
	// Responses contain revisions and granted keys, which must not be cached.
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// An error means that the client has disconnected, so it can't be reported.
	_ = encoder.Encode(value)
}
