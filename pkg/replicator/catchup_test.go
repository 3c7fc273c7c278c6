package replicator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/pkg/replicator"
)

// slowLink is the link to one replica. It carries a limited number of entries per
// tick and drops messages that have been queued for longer than maxAge.
type slowLink struct {
	entriesPerTick int
	maxAge         time.Duration

	queue  []queuedMessage
	budget int
	// entriesSent counts the entries that were put on the link.
	entriesSent int
}

type queuedMessage struct {
	message  replicator.Message
	queuedAt time.Time
}

func (l *slowLink) enqueue(now time.Time, msg replicator.Message) {
	l.entriesSent += len(msg.GetEntries())
	l.queue = append(l.queue, queuedMessage{
		message:  msg,
		queuedAt: now,
	})
}

// tick returns the messages that arrive in this tick.
func (l *slowLink) tick(now time.Time) []replicator.Message {
	var arrived []replicator.Message
	l.budget = min(l.budget+l.entriesPerTick, l.entriesPerTick)
	for len(l.queue) > 0 && l.budget > 0 {
		head := l.queue[0]
		l.queue = l.queue[1:]
		if now.Sub(head.queuedAt) > l.maxAge {
			continue
		}
		l.budget -= len(head.message.GetEntries())
		arrived = append(arrived, head.message)
	}
	return arrived
}

// TestCatchUpOverSlowLink guards against a leader that answers each rejection from
// a lagging replica with all the entries that it lacks: the repeated entries
// saturate the link and are dropped there, so the replica never catches up.
func TestCatchUpOverSlowLink(t *testing.T) {
	const (
		tick             = 20 * time.Millisecond
		missing          = 1900
		proposalsPerTick = 20
		limit            = 5 * time.Second
		maxSendFactor    = 3
	)
	is := is.New(t)
	m, a := newElectedLeader()
	link := &slowLink{
		entriesPerTick: 60,
		maxAge:         300 * time.Millisecond,
	}
	partitioned := true
	// deliver passes on the messages in flight; those to c go over the link.
	deliver := func() {
		for len(m.inFlight) > 0 {
			msg := m.inFlight[0]
			m.inFlight = m.inFlight[1:]
			switch {
			case msg.GetTo() == "d", partitioned && (msg.GetTo() == "c" || msg.GetFrom() == "c"):
			case msg.GetTo() == "c":
				link.enqueue(m.now, msg)
			default:
				m.step(msg)
			}
		}
	}
	propose := func(n int) {
		for range n {
			_, err := a.Propose(m.now, []byte("entry"))
			is.NoErr(err)
		}
		m.processReady("a", false)
		deliver()
	}
	run := func(d time.Duration, entries int, until func() bool) time.Duration {
		start := m.now
		for m.now.Sub(start) < d && !until() {
			m.now = m.now.Add(tick)
			a.Tick(m.now)
			m.processReady("a", false)
			propose(entries)
			for _, msg := range link.tick(m.now) {
				m.step(msg)
				deliver()
			}
		}
		return m.now.Sub(start)
	}
	run(missing/proposalsPerTick*tick, proposalsPerTick, func() bool { return false })
	partitioned = false
	took := run(limit, proposalsPerTick, func() bool {
		return m.cores["c"].Status().Last+10*proposalsPerTick > a.Status().Last
	})
	is.True(a.Status().IsLeader)
	is.True(took < limit)
	is.True(link.entriesSent <= maxSendFactor*(missing+int(took/tick)*proposalsPerTick))
}
