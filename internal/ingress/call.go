package ingress

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/deduplicator"
)

// call is one accepted request on its way.
type call struct {
	// id of this request; with the attempt number it is sent to the upstream.
	id         string
	credential credential
	queue      *wire.Queue
	// team is nil on an open queue without a usable key.
	team *wire.Team
	// key is the idempotency key, or "".
	key      string
	method   string
	url      *url.URL
	header   http.Header
	body     []byte
	deadline time.Time
	// service is how long the upstream took; 0 while nothing was learned.
	service time.Duration
}

// keyed reports whether the registry decides on the request.
func (c *call) keyed() bool { return c.key != "" }

// idempotent reports whether a second run does no harm (RFC 9110, section
// 9.2.2). A keyed request counts as not idempotent, whatever its method.
func (c *call) idempotent() bool {
	if c.keyed() {
		return false
	}
	switch c.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// notRun completes a refusal of a request that this attempt did not run.
// Without the registry's word an earlier attempt of the key may have run.
func (c *call) notRun(p *Problem) *Problem {
	if c.keyed() {
		return p.ran(Unknown, NotRun)
	}
	return p.ran(NotRun, NotRun)
}

// newCall checks everything that needs no waiting.
func (g *Ingress) newCall(r *http.Request, now time.Time) (*call, *Problem) {
	key, refusal := takeCredential(r.Header)
	if refusal != nil {
		return nil, refusal
	}
	present := g.cfg.View()
	view := g.saw(&present)
	name, path := splitPath(r.URL)
	c := &call{
		credential: key,
		method:     r.Method,
		url:        upstreamURL(r.URL, path),
		header:     r.Header,
	}
	if c.key, refusal = idempotencyKey(r.Header); refusal != nil {
		return nil, refusal
	}
	if c.queue, refusal = findQueue(view, now, wire.QueueKind_QUEUE_KIND_REQUESTS, name); refusal != nil {
		return nil, refusal
	}
	if c.team, refusal = authorise(view, now, &c.credential, c.queue, c.keyed()); refusal != nil {
		return nil, refusal
	}
	left, refusal := g.deadline(r.Header)
	if refusal != nil {
		return nil, refusal
	}
	if headerSize(r.Header) > g.cfg.Limits.Header {
		return nil, g.headerTooLarge()
	}
	c.deadline = now.Add(left)
	c.id = g.nextID()
	return c, nil
}

// findQueue returns a queue of the given kind. Without a lease a queue that is
// not known may have been defined since, so only a host with a lease denies it.
func findQueue(view *follower.View, now time.Time, kind wire.QueueKind, name string) (*wire.Queue, *Problem) {
	queue, ok := view.State.Queue(name)
	switch {
	case ok && queue.GetKind() == kind:
		return queue, nil
	case !view.Live(now):
		return nil, noLease()
	}
	work := strings.ToLower(strings.TrimPrefix(kind.String(), "QUEUE_KIND_"))
	return nil, problem(http.StatusNotFound, "unknown-queue", "Queue is not known",
		"there is no queue of "+work+" named "+strconv.Quote(name))
}

// splitPath returns the queue and the escaped rest of "/q/{queue}/{path...}".
// The rest stays in the caller's own escaping.
func splitPath(u *url.URL) (queue, rest string) {
	escaped := strings.TrimPrefix(u.EscapedPath(), requestPrefix)
	name, rest, _ := strings.Cut(escaped, "/")
	queue, err := url.PathUnescape(name)
	if err != nil {
		queue = name
	}
	return queue, "/" + rest
}

// upstreamURL returns the URL for the upstream with the given escaped path.
func upstreamURL(u *url.URL, escaped string) *url.URL {
	to := &url.URL{
		RawQuery:   u.RawQuery,
		ForceQuery: u.ForceQuery,
		Path:       escaped,
	}
	if path, err := url.PathUnescape(escaped); err == nil && path != escaped {
		to.Path, to.RawPath = path, escaped
	}
	return to
}

// registryKey joins the team and the key.
func (c *call) registryKey() string {
	if c.team == nil {
		return "queue/" + deduplicator.JoinKey(c.queue.GetName(), c.key)
	}
	return "team/" + deduplicator.JoinKey(c.team.GetName(), c.key)
}
