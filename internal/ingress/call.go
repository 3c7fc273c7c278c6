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

// call is a request under /q/ that passed the checks of newCall.
type call struct {
	// id of this request. Each attempt sends it to the upstream, followed by the
	// number of the attempt.
	id         string
	credential credential
	queue      *wire.Queue
	// team is nil on an open queue when there is no lease or no valid key.
	team *wire.Team
	// idempotencyKey is the value of Idempotency-Key, or "".
	idempotencyKey string
	method         string
	url            *url.URL
	header         http.Header
	body           []byte
	deadline       time.Time
	// serviceTime is the measured service time, retries included; 0 means that
	// there is no measurement.
	serviceTime time.Duration
}

// keyed reports whether the call has an idempotency key, so that the registry
// decides whether it may run.
func (c *call) keyed() bool { return c.idempotencyKey != "" }

// idempotent reports whether the method allows running the call twice (RFC 9110,
// section 9.2.2). A call with an idempotency key counts as not idempotent,
// whatever its method.
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

// markNotRun sets the run members of a refusal from before the registry was
// asked. This attempt was not run, but an earlier one with the same idempotency
// key may have been.
func (c *call) markNotRun(p *Problem) *Problem {
	if c.keyed() {
		return p.withRun(RunUnknown, NotRun)
	}
	return p.withRun(NotRun, NotRun)
}

// newCall makes a call from a request after all checks that don't block: key,
// queue, scope, deadline and size of the header.
func (g *Ingress) newCall(r *http.Request, now time.Time) (*call, *Problem) {
	cred, refusal := takeCredential(r.Header)
	if refusal != nil {
		return nil, refusal
	}
	current := g.cfg.View()
	view := g.recordRevision(&current)
	name, path := splitPath(r.URL)
	c := &call{
		credential: cred,
		method:     r.Method,
		url:        upstreamURL(r.URL, path),
		header:     r.Header,
	}
	if c.idempotencyKey, refusal = idempotencyKey(r.Header); refusal != nil {
		return nil, refusal
	}
	if c.queue, refusal = findQueue(view, now, wire.QueueKind_QUEUE_KIND_REQUESTS, name); refusal != nil {
		return nil, refusal
	}
	if c.team, refusal = authorise(view, now, &c.credential, c.queue, c.keyed()); refusal != nil {
		return nil, refusal
	}
	timeout, refusal := g.requestTimeout(r.Header)
	if refusal != nil {
		return nil, refusal
	}
	if headerSize(r.Header) > g.cfg.Limits.Header {
		return nil, g.headerTooLargeProblem()
	}
	c.deadline = now.Add(timeout)
	c.id = g.nextID()
	return c, nil
}

// findQueue returns the queue of the given kind and name. Without a lease the view
// may be out of date and lack a new queue, so the refusal is then no-lease instead
// of unknown-queue.
func findQueue(view *follower.View, now time.Time, kind wire.QueueKind, name string) (*wire.Queue, *Problem) {
	queue, ok := view.State.Queue(name)
	switch {
	case ok && queue.GetKind() == kind:
		return queue, nil
	case !view.Live(now):
		return nil, noLeaseProblem()
	}
	kindName := strings.ToLower(strings.TrimPrefix(kind.String(), "QUEUE_KIND_"))
	return nil, newProblem(http.StatusNotFound, "unknown-queue", "Queue is not known",
		"there is no queue of "+kindName+" named "+strconv.Quote(name))
}

// splitPath returns the queue and the rest of "/q/{queue}/{path...}". The rest
// keeps the escaping of the caller.
func splitPath(u *url.URL) (queue, rest string) {
	escaped := strings.TrimPrefix(u.EscapedPath(), requestPrefix)
	name, rest, _ := strings.Cut(escaped, "/")
	queue, err := url.PathUnescape(name)
	if err != nil {
		queue = name
	}
	return queue, "/" + rest
}

// upstreamURL returns the URL that is sent to the upstream: the given escaped path
// with the query of u.
func upstreamURL(u *url.URL, escapedPath string) *url.URL {
	out := &url.URL{
		RawQuery:   u.RawQuery,
		ForceQuery: u.ForceQuery,
		Path:       escapedPath,
	}
	if path, err := url.PathUnescape(escapedPath); err == nil && path != escapedPath {
		out.Path, out.RawPath = path, escapedPath
	}
	return out
}

// registryKey returns the key of the call in the registry. Idempotency keys are
// separate for each team or, without a team, for each queue.
func (c *call) registryKey() string {
	if c.team == nil {
		return "queue/" + deduplicator.JoinKey(c.queue.GetName(), c.idempotencyKey)
	}
	return "team/" + deduplicator.JoinKey(c.team.GetName(), c.idempotencyKey)
}
