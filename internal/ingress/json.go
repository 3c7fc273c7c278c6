package ingress

import (
	"net/http"
	"strconv"
)

// writeJSON writes the answer to a call about tasks or jobs. The location of
// what was accepted may be empty.
func writeJSON(w http.ResponseWriter, status int, location string, body []byte) {
	h := w.Header()
	h["Content-Type"] = []string{"application/json"}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	if location != "" {
		h["Location"] = []string{location}
	}
	w.WriteHeader(status)
	// The caller has gone when this fails; the status is already sent.
	_, _ = w.Write(body)
}
