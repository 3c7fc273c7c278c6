package announcer

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/wire"
)

// RenewInterval is the time between two announcements of an upstream or job
// worker, or two polls of a worker.
const RenewInterval = 500 * time.Millisecond

// callTimeout limits one call to an entry host. It is short enough to try another
// one well before an announcement expires.
const callTimeout = 400 * time.Millisecond

// Client calls the announcement interface of entry hosts. It stays with one entry
// host until a call to it fails, then tries the next one. It is safe for concurrent
// use; create one with NewClient.
type Client struct {
	http *resty.Client
	// urls are the base URLs of the entry hosts, the nearest first.
	urls []string
	// preferred is the index of the entry host to call next, modulo their number.
	preferred atomic.Uint64
}

// NewClient returns a client for the entry hosts at the URLs, such as
// "http://127.0.0.1:8080", the nearest first.
func NewClient(urls ...string) *Client {
	return &Client{
		http: resty.New().SetTimeout(callTimeout),
		urls: urls,
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.GetClient().CloseIdleConnections()
}

// Announce adds or renews an upstream.
func (c *Client) Announce(ctx context.Context, u Upstream) error {
	_, err := c.post(ctx, "/v1/upstreams", u, nil)
	return err
}

// Leave withdraws the announcement of an upstream.
func (c *Client) Leave(ctx context.Context, u Upstream) error {
	_, err := c.post(ctx, "/v1/upstreams/"+u.ID+"/leave", u, nil)
	return err
}

// Poll sends a worker's report and returns its orders.
func (c *Client) Poll(ctx context.Context, poll *wire.WorkerPoll) (*wire.WorkerOrders, error) {
	var orders Orders
	_, err := c.post(ctx, "/v1/workers/"+poll.GetWorker()+"/poll", PollOf(poll), &orders)
	if err != nil {
		return nil, err
	}
	return orders.Wire(), nil
}

// rejections are the statuses with which an entry host answers a request that is wrong
// in itself, and that no other one would accept.
var rejections = []int{http.StatusBadRequest, http.StatusConflict, http.StatusUnprocessableEntity}

// post tries each entry host once, beginning with the preferred one, and returns
// the first successful response, the first rejection or the last error.
func (c *Client) post(ctx context.Context, path string, body, answer any) (*resty.Response, error) {
	var lastErr error
	for range c.urls {
		url := c.urls[c.preferred.Load()%uint64(len(c.urls))]
		request := c.http.R().SetContext(ctx).SetBody(body)
		if answer != nil {
			request.SetResult(answer)
		}
		response, err := request.Post(url + path)
		if err == nil && response.IsSuccess() {
			return response, nil
		}
		if err == nil {
			err = errors.Errorf("announcer: %s answered %s: %s", url, response.Status(), response.String())
		}
		if ctx.Err() != nil || response != nil && slices.Contains(rejections, response.StatusCode()) {
			return nil, err
		}
		lastErr = err
		c.preferred.Add(1)
	}
	return nil, lastErr
}
