package forwarder

import (
	"net/http"
	"strings"
)

// hopByHop lists the fields that concern one connection only (RFC 9110,
// section 7.6.1), with those that older senders use.
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

// StripHopByHop removes the fields that concern one connection only, and the
// ones that Connection names.
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

// upstreamHeader makes a caller's header the one that goes to the upstream.
func upstreamHeader(h http.Header) http.Header {
	StripHopByHop(h)
	delete(h, "Expect")
	if _, ok := h["User-Agent"]; !ok {
		// Without a value net/http would add its own name.
		h["User-Agent"] = nil
	}
	return h
}
