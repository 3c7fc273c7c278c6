package demonstrator

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/google/uuid"

	"github.com/heathermux/heathermux/internal/emulator"
	"github.com/heathermux/heathermux/internal/loader"
)

const (
	// requestsPerSecond is the total request rate of all callers.
	requestsPerSecond = 400

	// callerTimeout is the client timeout of one request.
	callerTimeout = 3 * time.Second

	// maxResends is the maximum number of resends of one operation.
	maxResends = 3

	// keyedFraction is the fraction of requests that carry an idempotency key,
	// because they must not run twice.
	keyedFraction = 0.5
)

// callers generates request load: it sends requests to the entry hosts with the
// teams' keys.
type callers struct {
	client *resty.Client
	fleet  *fleet
	tally  *tally
	// routes lists the team key and queue pairs that requests are drawn from.
	routes []route
	group  sync.WaitGroup
}

// route is a queue with the key of a team that may use it.
type route struct {
	key, queue string
}

// problemDetails has the members of a problem details object (RFC 9457) that
// the load generators read.
type problemDetails struct {
	Detail string `json:"detail"`
	Run    string `json:"run"`
}

func newCallers(d loader.Deployment, keys map[string]string, f *fleet, t *tally) *callers {
	c := &callers{
		client: resty.New().SetTimeout(callerTimeout),
		fleet:  f,
		tally:  t,
		routes: routesForKind(d, keys, "requests"),
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 256
	c.client.SetTransport(transport)
	return c
}

// run sends requests at a constant rate until ctx ends, and then waits for those
// in flight.
func (c *callers) run(ctx context.Context) {
	random := rand.New(rand.NewPCG(1, 2))
	ticker := time.NewTicker(time.Second / requestsPerSecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.group.Wait()
			c.client.GetClient().CloseIdleConnections()
			return
		case <-ticker.C:
			r := c.routes[random.IntN(len(c.routes))]
			keyed := random.Float64() < keyedFraction
			host := random.IntN(len(c.fleet.hosts))
			c.group.Go(func() { c.performOperation(r, keyed, host) })
		}
	}
}

// performOperation sends one operation and resends it, to the next entry host,
// only when that is safe: after a lost response only with the same idempotency
// key, and after a refusal only if it carries Retry-After.
func (c *callers) performOperation(r route, keyed bool, host int) {
	o := outcome{
		operation: uuid.NewString(),
		keyed:     keyed,
	}
	start := time.Now()
	for attempt := range maxResends + 1 {
		o.resends = attempt
		wait, final := c.send(r, &o, host+attempt)
		if final {
			break
		}
		time.Sleep(wait)
	}
	o.duration = time.Since(start)
	c.tally.add(o)
}

// send makes one attempt and records its result in o. It returns how long to wait
// before the next attempt, and true if the outcome is final.
func (c *callers) send(r route, o *outcome, host int) (time.Duration, bool) {
	var problem problemDetails
	request := c.client.R().
		SetAuthToken(r.key).
		SetHeader(emulator.OperationHeader, o.operation).
		SetBody(o.operation).
		SetError(&problem)
	if o.keyed {
		request.SetHeader("Idempotency-Key", o.operation)
	}
	response, err := request.Post(c.fleet.hosts[host%len(c.fleet.hosts)].url + "/q/" + r.queue + "/")
	if err != nil {
		o.run, o.detail = "unknown", "no response"
		return 100 * time.Millisecond, !o.keyed
	}
	if response.IsSuccess() {
		o.answered = true
		o.bodyMatches = response.String() == o.operation
		return 0, true
	}
	o.run, o.detail = problem.Run, problem.Detail
	seconds, err := strconv.Atoi(response.Header().Get("Retry-After"))
	if err != nil {
		return 0, true
	}
	return time.Duration(seconds) * time.Second, false
}
