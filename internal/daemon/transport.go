package daemon

import (
	"context"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/heathermux/heathermux/internal/wire"
)

const (
	// stepTimeout bounds the sending of one message of the replicated log. A
	// message older than a few heartbeats is no longer useful.
	stepTimeout = 300 * time.Millisecond

	// stepWorkersPerVoter is the maximum number of messages in flight to one voter.
	stepWorkersPerVoter = 8

	// stepQueuePerVoter is the maximum number of messages queued for one voter;
	// further ones are dropped.
	stepQueuePerVoter = 256
)

// transport sends messages of the replicated log. Each voter has its own workers,
// so that an unresponsive voter delays no message to the others.
type transport struct {
	calls   *peerClient
	members map[string]*wire.Member
	pools   map[string]pond.Pool
}

func newTransport(c *peerClient, voters []*wire.Member) *transport {
	t := &transport{
		calls:   c,
		members: make(map[string]*wire.Member),
		pools:   make(map[string]pond.Pool),
	}
	for _, m := range voters {
		t.members[m.GetName()] = m
		t.pools[m.GetName()] = pond.NewPool(stepWorkersPerVoter, pond.WithQueueSize(stepQueuePerVoter), pond.WithNonBlocking(true))
	}
	return t
}

// Send queues env for the voter of the given name; it never blocks.
func (t *transport) Send(to string, env *wire.Envelope) {
	pool, ok := t.pools[to]
	if !ok {
		return
	}
	_ = pool.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
		defer cancel()
		// Errors are ignored: the replicated log resends lost messages.
		_, _ = t.calls.Step(ctx, t.members[to], env)
	})
}

func (t *transport) close() {
	for _, pool := range t.pools {
		pool.StopAndWait()
	}
}
