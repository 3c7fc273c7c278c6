package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// callsInFlight bounds the unanswered calls to one peer.
	callsInFlight = 512

	// silenceLimit is how long a peer with a timed-out call may send nothing
	// before its connection is closed and its unanswered calls are given up.
	silenceLimit = time.Second

	// dialTimeout bounds one attempt to connect.
	dialTimeout = 500 * time.Millisecond

	// dialPause is the least time between two attempts to connect.
	dialPause = 100 * time.Millisecond
)

// ErrUnreachable is returned when there is no connection to the peer. The
// call was not sent.
var ErrUnreachable error = unsentError("messenger: the peer is not reachable")

// peer holds the connection to one address.
type peer struct {
	address string
	tls     func() *tls.Config
	slots   chan struct{}
	heardAt atomic.Int64

	mu     sync.Mutex
	client *rpc.Client
	codec  *clientCodec
	// Invariant: not zero while the last attempt to connect has failed.
	failedAt time.Time
	closed   bool
}

func newPeer(address string, cfg func() *tls.Config) *peer {
	return &peer{
		address: address,
		tls:     cfg,
		slots:   make(chan struct{}, callsInFlight),
	}
}

// call sends the request and waits for the answer or the end of ctx. An error
// other than ErrUnreachable and ErrBusy leaves open whether the peer acted.
func (p *peer) call(ctx context.Context, method string, request, response proto.Message) error {
	arg, err := newCall(ctx, request)
	if err != nil {
		return err
	}
	select {
	case p.slots <- struct{}{}:
	default:
		return ErrBusy
	}
	client, err := p.connect(ctx)
	if err != nil {
		<-p.slots
		return err
	}
	// The answer may arrive after this call has returned, so it is decoded
	// into a message of its own.
	answer := response.ProtoReflect().New().Interface()
	pending := client.Go(method, arg, answer, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		<-p.slots
		return p.finish(client, pending, response, answer)
	case <-ctx.Done():
		go p.abandon(client, pending)
		return ctx.Err()
	}
}

func (p *peer) finish(client *rpc.Client, done *rpc.Call, response, answer proto.Message) error {
	if done.Error == nil {
		proto.Merge(response, answer)
		return nil
	}
	var refused rpc.ServerError
	if errors.As(done.Error, &refused) {
		return newRemoteError(refused)
	}
	if errors.Is(done.Error, ErrBusy) {
		return done.Error
	}
	// A call whose connection this host closed meanwhile ends with ErrShutdown
	// too, so that error does not prove that nothing was sent.
	p.drop(client)
	return errors.Wrap(done.Error, "messenger: connection lost during the call")
}

// abandon keeps the slot of a timed-out call until it is answered or its
// connection is closed, which happens when the peer sends nothing for silenceLimit.
func (p *peer) abandon(client *rpc.Client, pending *rpc.Call) {
	defer func() { <-p.slots }()
	timer := time.NewTimer(silenceLimit)
	defer timer.Stop()
	for {
		select {
		case <-pending.Done:
			return
		case <-timer.C:
			if time.Since(time.Unix(0, p.heardAt.Load())) >= silenceLimit {
				p.drop(client)
				return
			}
			timer.Reset(silenceLimit)
		}
	}
}

func (p *peer) connect(ctx context.Context) (*rpc.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrUnreachable
	}
	if p.client != nil {
		return p.client, nil
	}
	if time.Since(p.failedAt) < dialPause {
		return nil, ErrUnreachable
	}
	conn, err := p.dial(ctx)
	if err != nil {
		p.failedAt = time.Now()
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	p.failedAt = time.Time{}
	p.heardAt.Store(time.Now().UnixNano())
	p.codec = newClientCodec(conn, func() { p.heardAt.Store(time.Now().UnixNano()) })
	p.client = rpc.NewClientWithCodec(p.codec)
	return p.client, nil
}

func (p *peer) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if p.tls == nil {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", p.address)
	}
	d := tls.Dialer{
		Config: p.tls(),
	}
	return d.DialContext(ctx, "tcp", p.address)
}

// drop closes the connection of client unless a newer one has replaced it;
// the next call makes a new one.
func (p *peer) drop(client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if client != nil && p.client == client {
		_ = p.codec.Close()
		p.client, p.codec = nil, nil
	}
}

func (p *peer) close() {
	p.mu.Lock()
	p.closed = true
	client := p.client
	p.mu.Unlock()
	p.drop(client)
}
