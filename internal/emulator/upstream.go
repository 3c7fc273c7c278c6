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

// OperationHeader names the operation that a request is for, so that the
// ledger can count its runs and the caller can tell whose response it got.
const OperationHeader = "Operation"

// UpstreamOptions sets up an Upstream. All fields are needed.
type UpstreamOptions struct {
	// ID, Queue, DataCentre and Rack are announced.
	ID, Queue, DataCentre, Rack string
	// Slots is how many requests are worked on at once; others wait.
	Slots int64
	// Service is the mean time to work on one request.
	Service time.Duration
	// EntryHosts are the URLs to announce to, the nearest first.
	EntryHosts []string
	// Ledger counts the runs.
	Ledger *Ledger
	// Clock times renewals and service.
	Clock timer.Clock
	// Seed fixes the sequence of service times.
	Seed uint64
}

// Upstream answers requests on loopback and announces itself. Make one with
// NewUpstream.
type Upstream struct {
	opts     UpstreamOptions
	announce announcer.Upstream
	client   *announcer.Client
	server   *http.Server
	listener net.Listener
	slots    chan struct{}
	group    sync.WaitGroup
	cancel   context.CancelFunc

	mu     sync.Mutex
	random *rand.Rand
}

// NewUpstream starts an upstream.
func NewUpstream(opts UpstreamOptions) (*Upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "emulator: upstream")
	}
	u := &Upstream{
		opts: opts,
		announce: announcer.Upstream{
			ID:          opts.ID,
			Incarnation: uuid.NewString(),
			Queue:       opts.Queue,
			Address:     listener.Addr().String(),
			DataCentre:  opts.DataCentre,
			Rack:        opts.Rack,
			Slots:       opts.Slots,
			Connections: connectionsOf(opts.Slots),
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

// connectionsOf gives eight connections for each slot.
func connectionsOf(slots int64) int64 {
	const perSlot = 8
	return slots * perSlot
}

// renew announces until ctx ends. A failed announcement is repeated with the
// next renewal.
func (u *Upstream) renew(ctx context.Context) {
	for {
		_ = u.client.Announce(ctx, u.announce)
		t := u.opts.Clock.NewTimer(announcer.RenewInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C():
		}
	}
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	u.slots <- struct{}{}
	defer func() { <-u.slots }()
	operation := r.Header.Get(OperationHeader)
	u.opts.Ledger.Run(operation)
	t := u.opts.Clock.NewTimer(u.serviceTime())
	<-t.C()
	w.Header().Set(OperationHeader, operation)
	w.Header().Set("Upstream", u.opts.ID)
	_, _ = w.Write(body)
}

// serviceTime is exponential with the given mean, at most five times of it.
func (u *Upstream) serviceTime() time.Duration {
	const most = 5
	u.mu.Lock()
	defer u.mu.Unlock()
	return time.Duration(min(u.random.ExpFloat64(), most) * float64(u.opts.Service))
}

// Leave ends the announcement, works on for drain and stops.
func (u *Upstream) Leave(ctx context.Context, drain time.Duration) error {
	u.cancel()
	err := u.client.Leave(ctx, u.announce)
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

// Kill stops at once, without a word to anybody.
func (u *Upstream) Kill() {
	u.cancel()
	_ = u.server.Close()
	u.group.Wait()
	u.client.Close()
}
