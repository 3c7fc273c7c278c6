package submitter

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/pkg/errors"
)

// announceInterval is the time between announcements. An announcement expires
// after 2 s.
const announceInterval = 500 * time.Millisecond

// Announcement is the body of POST /v1/upstreams.
type Announcement struct {
	ID string `json:"id"`
	// Incarnation identifies one start of the upstream; ServeUpstream sets it.
	Incarnation string `json:"incarnation"`
	Queue       string `json:"queue"`
	Address     string `json:"address"`
	DataCentre  string `json:"data-centre"`
	Rack        string `json:"rack"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// ServeUpstream serves the handler on a free loopback port as an upstream of
// the announcement's queue until the context ends; then the upstream leaves the
// deployment and shuts down. It returns once the first announcement is accepted;
// the returned function waits for the shutdown.
func ServeUpstream(ctx context.Context, server string, announcement Announcement, handler http.Handler) (wait func(), err error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "submitter: listen for upstream")
	}
	announcement.Address = listener.Addr().String()
	announcement.Incarnation = rand.Text()
	u := &upstream{
		client:       resty.New().SetBaseURL(server).SetTimeout(2 * time.Second).SetDisableWarn(true),
		announcement: announcement,
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: time.Second,
		},
	}
	go func() { _ = u.http.Serve(listener) }()
	if err := u.announce(); err != nil {
		_ = u.http.Close()
		return nil, err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		u.renew(ctx)
	}()
	return func() { <-done }, nil
}

// upstream is a running HTTP server that is announced to the deployment.
type upstream struct {
	client       *resty.Client
	announcement Announcement
	http         *http.Server
}

func (u *upstream) announce() error {
	return u.post("/v1/upstreams", u.announcement)
}

// renew repeats the announcement until the context ends. It then leaves the
// deployment before it shuts the server down, so that no request is interrupted.
func (u *upstream) renew(ctx context.Context) {
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			// The next announcement replaces one that failed.
			_ = u.announce()
		case <-ctx.Done():
		}
	}
	_ = u.post("/v1/upstreams/"+u.announcement.ID+"/leave", nil)
	shutdownCtx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = u.http.Shutdown(shutdownCtx)
}

func (u *upstream) post(path string, body any) error {
	response, err := u.client.R().SetBody(body).Post(path)
	if err != nil {
		return errors.Wrap(err, "submitter: upstream")
	}
	if response.IsError() {
		return errors.Errorf("submitter: upstream: %s: %s %s", path, response.Status(), response.String())
	}
	return nil
}
