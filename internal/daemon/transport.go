package daemon

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/heathermux/heathermux/internal/wire"
)

const (
	// stepTimeout bounds the sending of one message of the replicated log. A
	// message that is older than a few heartbeats is of no use any more.
	stepTimeout = 300 * time.Millisecond

	// stepWorkers is the number of messages in flight to one voter.
	stepWorkers = 8

	// stepQueue is the number of messages that wait for one voter; further ones are dropped.
	stepQueue = 256
)

// transport sends messages of the replicated log. Each voter has workers of
// its own, so that a frozen one delays no message to the others.
type transport struct {
	calls   *calls
	members map[string]*wire.Member
	pools   map[string]pond.Pool
}

func newTransport(c *calls, voters []*wire.Member) *transport {
	t := &transport{
		calls:   c,
		members: make(map[string]*wire.Member),
		pools:   make(map[string]pond.Pool),
	}
	for _, m := range voters {
		t.members[m.GetName()] = m
		t.pools[m.GetName()] = pond.NewPool(stepWorkers, pond.WithQueueSize(stepQueue), pond.WithNonBlocking(true))
	}
	return t
}

// Send passes env on to the voter of the given name; it never blocks.
func (t *transport) Send(to string, env *wire.Envelope) {
	pool, ok := t.pools[to]
	if !ok {
		return
	}
	_ = pool.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		defer cancel()
		// The log sends again what was lost.
		_, _ = t.calls.Step(ctx, t.members[to], env)
	})
}

func (t *transport) close() {
	for _, pool := range t.pools {
		pool.StopAndWait()
	}
}
