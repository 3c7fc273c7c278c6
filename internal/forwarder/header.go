package forwarder

import (
	"net/http"
	"strings"
)

// hopByHop lists the header fields that apply to a single connection (RFC 9110,
// section 7.6.1), including those that only older senders use.
var hopByHop = [...]string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// StripHopByHop removes the hop-by-hop header fields, and those that are listed
// in Connection.
func StripHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// toUpstreamHeader turns the header of a caller's request, in place, into the
// one that is sent to the upstream.
func toUpstreamHeader(h http.Header) http.Header {
	StripHopByHop(h)
	delete(h, "Expect")
	if _, ok := h["User-Agent"]; !ok {
		// If the field were absent, net/http would add its own User-Agent.
		h["User-Agent"] = nil
	}
	return h
}
