package ingress

import (
	"net/http"
	"strconv"
)

// MaxHeader is the default of Limits.Header.
const MaxHeader = 32 << 10

// headerSize is the size of a header on the wire.
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

func (g *Ingress) headerTooLarge() *Problem {
	return problem(http.StatusRequestHeaderFieldsTooLarge, "header-too-large", "Header is too large",
		"a request header has at most "+strconv.Itoa(g.cfg.Limits.Header)+" bytes")
}
