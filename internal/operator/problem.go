package operator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Problem is a refusal in the form of RFC 9457 (problem details), sent as
// application/problem+json. The members after Detail are extensions.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Code is the refusal as one word for programs, such as "conflict".
	Code        string `json:"code"`
	OperationID string `json:"operation-id,omitempty"`
	// Winner is the operation that was accepted instead; set with a conflict.
	Winner string `json:"winner,omitempty"`
	// Revision of the control state that the refusal was decided on.
	Revision uint64 `json:"revision,omitempty"`
	// Run is "not-run" or "unknown", for all attempts with the operation ID.
	Run string `json:"run,omitempty"`
	// ThisAttempt is "not-run" or "unknown", for this request alone.
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

// Error returns the detail, so that clients can pass a problem on as an error.
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
	// Answers hold revisions and granted keys, which no cache may keep.
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// An error here means that the client is gone; nobody is left to tell.
	_ = encoder.Encode(value)
}
