package ingress

import (
	"net/http"
	"strconv"
)

// writeJSON writes a response about a task or a job. The Location header is left
// out when location is empty.
func writeJSON(w http.ResponseWriter, status int, location string, body []byte) {
	h := w.Header()
	h["Content-Type"] = []string{"application/json"}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	if location != "" {
		h["Location"] = []string{location}
	}
	w.WriteHeader(status)
	// An error means that the caller has disconnected. The status is already sent.
	_, _ = w.Write(body)
}
