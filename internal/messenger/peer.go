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
	// maxCallsInFlight bounds the calls to one peer that await a response.
	maxCallsInFlight = 512

	// silenceTimeout is how long a peer with a timed-out call may send nothing
	// before its connection is closed, which fails all calls that await a
	// response on it.
	silenceTimeout = time.Second

	// dialTimeout bounds one attempt to connect.
	dialTimeout = 500 * time.Millisecond

	// dialRetryInterval is the minimum time from a failed attempt to connect to
	// the next one. Calls in between fail at once with ErrUnreachable.
	dialRetryInterval = 100 * time.Millisecond
)

// ErrUnreachable is returned when no connection to the peer could be made, or
// when the client is closed. The call was not sent.
var ErrUnreachable error = notSentError("messenger: the peer is not reachable")

// ErrNotEncodable is returned when a message can't be encoded, for example because a text in it
// is not UTF-8. Any peer would get the same error.
var ErrNotEncodable error = notSentError("messenger: the message can't be encoded")

// peer holds the connection to one address. It is safe for concurrent use.
type peer struct {
	address string
	tls     func() *tls.Config
	// slots is a semaphore with one slot for each call in flight.
	slots chan struct{}
	// lastResponseAt is the Unix time in nanoseconds of the last response, or
	// of the connection if there was none.
	lastResponseAt atomic.Int64

	// ctx ends when the peer is closed.
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	client *rpc.Client
	codec  *clientCodec
	// dialing is the attempt to connect that is in progress; nil if there is none.
	dialing *dialing
	// Invariant: not zero if and only if the last attempt to connect failed.
	dialFailedAt time.Time
	closed       bool
}

// dialing is one attempt to connect. All calls that need a connection meanwhile wait
// for it, each no longer than its own context.
type dialing struct {
	// done is closed at the end, after client or err has been set.
	done   chan struct{}
	client *rpc.Client
	err    error
}

func newPeer(address string, tlsConfig func() *tls.Config) *peer {
	ctx, cancel := context.WithCancel(context.Background())
	return &peer{
		address: address,
		tls:     tlsConfig,
		slots:   make(chan struct{}, maxCallsInFlight),
		ctx:     ctx,
		cancel:  cancel,
	}
}

// call sends the request and waits for the response or the end of ctx. After an
// error other than ErrUnreachable, ErrBusy and ErrNotEncodable the peer may have executed
// the call.
func (p *peer) call(ctx context.Context, method string, request, response proto.Message) error {
	args, err := newCallArgs(ctx, request)
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
	// The response may arrive after this function has returned, so it is decoded
	// into a message that the caller doesn't see.
	decoded := response.ProtoReflect().New().Interface()
	pending := client.Go(method, args, decoded, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		<-p.slots
		return p.complete(client, pending, response, decoded)
	case <-ctx.Done():
		go p.awaitTimedOut(client, pending)
		return ctx.Err()
	}
}

// complete returns the result of a call that net/rpc reports as done.
func (p *peer) complete(client *rpc.Client, done *rpc.Call, response, decoded proto.Message) error {
	if done.Error == nil {
		proto.Merge(response, decoded)
		return nil
	}
	var serverErr rpc.ServerError
	if errors.As(done.Error, &serverErr) {
		return newRemoteError(serverErr)
	}
	if errors.Is(done.Error, ErrBusy) || errors.Is(done.Error, ErrNotEncodable) {
		return done.Error
	}
	// rpc.ErrShutdown does not prove that nothing was sent: a call also ends
	// with it if this host closed the connection in the meantime.
	p.dropConnection(client)
	return errors.Wrap(done.Error, "messenger: connection lost during the call")
}

// awaitTimedOut keeps the slot of a timed-out call until its response arrives or
// its connection is closed. It closes the connection when the peer has sent
// nothing for silenceTimeout.
func (p *peer) awaitTimedOut(client *rpc.Client, pending *rpc.Call) {
	defer func() { <-p.slots }()
	timer := time.NewTimer(silenceTimeout)
	defer timer.Stop()
	for {
		select {
		case <-pending.Done:
			return
		case <-timer.C:
			if time.Since(time.Unix(0, p.lastResponseAt.Load())) >= silenceTimeout {
				p.dropConnection(client)
				return
			}
			timer.Reset(silenceTimeout)
		}
	}
}

// connect returns the client of the current connection, or waits for a new one. The
// attempt to connect does not end with ctx: other calls may need the connection.
func (p *peer) connect(ctx context.Context) (*rpc.Client, error) {
	client, attempt, err := p.current()
	if client != nil || err != nil {
		return client, err
	}
	select {
	case <-attempt.done:
		return attempt.client, attempt.err
	case <-ctx.Done():
		return nil, errors.Wrap(ErrUnreachable, ctx.Err().Error())
	}
}

// current returns the client of the current connection, or an attempt to connect, which
// it starts if there is none.
func (p *peer) current() (*rpc.Client, *dialing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return nil, nil, ErrUnreachable
	case p.client != nil:
		return p.client, nil, nil
	case p.dialing != nil:
		return nil, p.dialing, nil
	case time.Since(p.dialFailedAt) < dialRetryInterval:
		return nil, nil, ErrUnreachable
	}
	p.dialing = &dialing{
		done: make(chan struct{}),
	}
	go p.finishDialing(p.dialing)
	return nil, p.dialing, nil
}

// finishDialing makes a connection and reports it to the calls that wait for it.
func (p *peer) finishDialing(attempt *dialing) {
	conn, err := p.dial()
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(attempt.done)
	p.dialing = nil
	switch {
	case err != nil:
		p.dialFailedAt = time.Now()
		attempt.err = errors.Wrap(ErrUnreachable, err.Error())
		return
	case p.closed:
		_ = conn.Close()
		attempt.err = ErrUnreachable
		return
	}
	p.dialFailedAt = time.Time{}
	p.lastResponseAt.Store(time.Now().UnixNano())
	p.codec = newClientCodec(conn, func() { p.lastResponseAt.Store(time.Now().UnixNano()) })
	p.client = rpc.NewClientWithCodec(p.codec)
	attempt.client = p.client
}

func (p *peer) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(p.ctx, dialTimeout)
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

// dropConnection closes the connection of client, unless it has already been
// replaced. The next call makes a new one.
func (p *peer) dropConnection(client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if client != nil && p.client == client {
		_ = p.codec.Close()
		p.client, p.codec = nil, nil
	}
}

func (p *peer) close() {
	p.cancel()
	p.mu.Lock()
	p.closed = true
	client := p.client
	p.mu.Unlock()
	p.dropConnection(client)
}
