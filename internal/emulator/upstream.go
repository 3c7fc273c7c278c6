package emulator

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/announcer"
	"github.com/heathermux/heathermux/pkg/timer"
)

// OperationHeader is the header with the id of a request's operation. The ledger
// counts executions by it, and the upstream repeats it in the response, so that
// the caller can check which operation a response belongs to.
const OperationHeader = "Operation"

// UpstreamOptions configures an Upstream. All fields are required.
type UpstreamOptions struct {
	// ID, Queue, DataCentre and Rack are announced to the entry hosts.
	ID, Queue, DataCentre, Rack string
	// Slots is the number of requests processed concurrently; further ones wait.
	Slots int64
	// Service is the mean service time of a request.
	Service time.Duration
	// EntryHosts are the URLs to announce to, the nearest first.
	EntryHosts []string
	// Ledger counts the executions of requests.
	Ledger *Ledger
	// Clock provides the timers for renewals and service times.
	Clock timer.Clock
	// Seed determines the sequence of service times.
	Seed uint64
}

// Upstream emulates an upstream: it listens on loopback, announces itself to the
// entry hosts and echoes the body of each request after a random service time.
// Create one with NewUpstream and stop it with Leave or Kill.
type Upstream struct {
	opts         UpstreamOptions
	announcement announcer.Upstream
	client       *announcer.Client
	server       *http.Server
	listener     net.Listener
	slots        chan struct{}
	group        sync.WaitGroup
	cancel       context.CancelFunc

	mu     sync.Mutex
	random *rand.Rand
}

// NewUpstream starts an upstream on a free loopback port.
func NewUpstream(opts UpstreamOptions) (*Upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "emulator: listen for requests to an upstream")
	}
	u := &Upstream{
		opts: opts,
		announcement: announcer.Upstream{
			ID:          opts.ID,
			Incarnation: uuid.NewString(),
			Queue:       opts.Queue,
			Address:     listener.Addr().String(),
			DataCentre:  opts.DataCentre,
			Rack:        opts.Rack,
			Slots:       opts.Slots,
			Connections: connectionLimit(opts.Slots),
		},
		client:   announcer.NewClient(opts.EntryHosts...),
		listener: listener,
		slots:    make(chan struct{}, opts.Slots),
		random:   rand.New(rand.NewPCG(opts.Seed, 1)),
	}
	u.server = &http.Server{
		Handler: http.HandlerFunc(u.serve),
	}
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.group.Go(func() { _ = u.server.Serve(listener) })
	u.group.Go(func() { u.renew(ctx) })
	return u, nil
}

// connectionLimit returns the announced number of connections, eight for each slot.
func connectionLimit(slots int64) int64 {
	const connectionsPerSlot = 8
	return slots * connectionsPerSlot
}

// renew announces the upstream at every renewal interval until ctx is done. A
// failed announcement is not retried; the next renewal replaces it.
func (u *Upstream) renew(ctx context.Context) {
	for {
		_ = u.client.Announce(ctx, u.announcement)
		t := u.opts.Clock.NewTimer(announcer.RenewInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C():
		}
	}
}

// serve waits for a free slot and for the service time, then echoes the body.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.slots <- struct{}{}
	defer func() { <-u.slots }()
	operation := r.Header.Get(OperationHeader)
	u.opts.Ledger.CountRun(operation)
	t := u.opts.Clock.NewTimer(u.serviceTime())
	<-t.C()
	w.Header().Set(OperationHeader, operation)
	w.Header().Set("Upstream", u.opts.ID)
	_, _ = w.Write(body)
}

// serviceTime draws from an exponential distribution with the configured mean,
// capped at five times the mean.
func (u *Upstream) serviceTime() time.Duration {
	const maxMultipleOfMean = 5
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(min(u.random.ExpFloat64(), maxMultipleOfMean) * float64(u.opts.Service))
}

// Leave withdraws the announcement, keeps serving for the drain time or until ctx
// is done, and shuts down. It returns the error of the withdrawal.
func (u *Upstream) Leave(ctx context.Context, drain time.Duration) error {
	u.cancel()
	err := u.client.Leave(ctx, u.announcement)
	t := u.opts.Clock.NewTimer(drain)
	select {
	case <-ctx.Done():
		t.Stop()
	case <-t.C():
	}
	_ = u.server.Shutdown(ctx)
	u.group.Wait()
	u.client.Close()
	return err
}

// Kill stops the upstream abruptly; nobody is notified.
func (u *Upstream) Kill() {
	u.cancel()
	_ = u.server.Close()
	u.group.Wait()
	u.client.Close()
}
