package ingress

import (
	"net/http"
	"strconv"
)

// DefaultMaxHeaderBytes is the default of Limits.Header, in bytes.
const DefaultMaxHeaderBytes = 32 << 10

// headerSize returns the size of a header in HTTP/1.1, in bytes.
func headerSize(h http.Header) int {
	const separators = len(": \r\n")
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}

// headerTooLargeProblem returns the refusal of a header larger than
// Limits.Header.
func (g *Ingress) headerTooLargeProblem() *Problem {
	return newProblem(http.StatusRequestHeaderFieldsTooLarge, "header-too-large", "Header is too large",
		"a request header has at most "+strconv.Itoa(g.cfg.Limits.Header)+" bytes")
}
