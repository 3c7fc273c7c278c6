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
	// requestsPerSecond is the load of all callers together.
	requestsPerSecond = 400

	// callerTimeout is how long a caller waits for one response.
	callerTimeout = 3 * time.Second

	// mostResends bounds the resends of one operation.
	mostResends = 3

	// keyedPart of the requests are operations that must not repeat.
	keyedPart = 0.5
)

// callers send requests with the keys of the teams to the entry hosts.
type callers struct {
	client *resty.Client
	fleet  *fleet
	tally  *tally
	// routes are the pairs of team key and queue that requests are made for.
	routes []route
	group  sync.WaitGroup
}

type route struct {
	key, queue string
}

// refusal is the part of a problem details object that callers use.
type refusal struct {
	Detail string `json:"detail"`
	Run    string `json:"run"`
}

func newCallers(d loader.Deployment, keys map[string]string, f *fleet, t *tally) *callers {
	c := &callers{
		client: resty.New().SetTimeout(callerTimeout),
		fleet:  f,
		tally:  t,
		routes: routesOf(d, keys, "requests"),
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = 256
	c.client.SetTransport(transport)
	return c
}

// run sends requests at a constant rate until ctx ends and waits for their ends.
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
			keyed := random.Float64() < keyedPart
			host := random.IntN(len(c.fleet.hosts))
			c.group.Go(func() { c.operate(r, keyed, host) })
		}
	}
}

// operate sends one operation and resends it as a careful caller does: after a
// lost response or an open outcome only with the same key, to the next host.
func (c *callers) operate(r route, keyed bool, host int) {
	o := outcome{
		operation: uuid.NewString(),
		keyed:     keyed,
	}
	start := time.Now()
	for attempt := range mostResends + 1 {
		o.resends = attempt
		wait, final := c.send(r, &o, host+attempt)
		if final {
			break
		}
		time.Sleep(wait)
	}
	o.took = time.Since(start)
	c.tally.add(o)
}

// send makes one attempt. It reports how long to wait before the next one, or
// that the outcome is final.
func (c *callers) send(r route, o *outcome, host int) (time.Duration, bool) {
	var problem refusal
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
		o.own = response.String() == o.operation
		return 0, true
	}
	o.run, o.detail = problem.Run, problem.Detail
	seconds, err := strconv.Atoi(response.Header().Get("Retry-After"))
	if err != nil {
		return 0, true
	}
	return time.Duration(seconds) * time.Second, false
}
