package replicator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/pkg/replicator"
)

// slowLink is the way to one replica: it carries a bounded number of entries in
// each tick and loses messages that have waited too long.
type slowLink struct {
	perTick int
	longest time.Duration

	queue  []queued
	budget int
	// sent counts the entries that were given to the link.
	sent int
}

type queued struct {
	message replicator.Message
	at      time.Time
}

func (l *slowLink) add(now time.Time, msg replicator.Message) {
	l.sent += len(msg.GetEntries())
	l.queue = append(l.queue, queued{
		message: msg,
		at:      now,
	})
}

// tick returns the messages that arrive.
func (l *slowLink) tick(now time.Time) []replicator.Message {
	var arrived []replicator.Message
	l.budget = min(l.budget+l.perTick, l.perTick)
	for len(l.queue) > 0 && l.budget > 0 {
		head := l.queue[0]
		l.queue = l.queue[1:]
		if now.Sub(head.at) > l.longest {
			continue
		}
		l.budget -= len(head.message.GetEntries())
		arrived = append(arrived, head.message)
	}
	return arrived
}

// TestCatchUpOverSlowLink guards against a leader that answers each refusal of a
// replica which is behind with all that it lacks: the copies fill the link, are
// lost there, and the replica never catches up.
func TestCatchUpOverSlowLink(t *testing.T) {
	const (
		tick      = 20 * time.Millisecond
		missing   = 1900
		perTick   = 20
		limit     = 5 * time.Second
		allowance = 3
	)
	is := is.New(t)
	m, a := elected()
	link := &slowLink{
		perTick: 60,
		longest: 300 * time.Millisecond,
	}
	cut := true
	// deliver passes on what is in flight; c is behind the link.
	deliver := func() {
		for len(m.flight) > 0 {
			msg := m.flight[0]
			m.flight = m.flight[1:]
			switch {
			case msg.GetTo() == "d", cut && (msg.GetTo() == "c" || msg.GetFrom() == "c"):
			case msg.GetTo() == "c":
				link.add(m.now, msg)
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
		m.flush("a", false)
		deliver()
	}
	run := func(d time.Duration, entries int, until func() bool) time.Duration {
		begun := m.now
		for m.now.Sub(begun) < d && !until() {
			m.now = m.now.Add(tick)
			a.Tick(m.now)
			m.flush("a", false)
			propose(entries)
			for _, msg := range link.tick(m.now) {
				m.step(msg)
				deliver()
			}
		}
		return m.now.Sub(begun)
	}
	run(missing/perTick*tick, perTick, func() bool { return false })
	cut = false
	took := run(limit, perTick, func() bool {
		return m.cores["c"].Status().Last+10*perTick > a.Status().Last
	})
	is.True(a.Status().Leads)
	is.True(took < limit)
	is.True(link.sent <= allowance*(missing+int(took/tick)*perTick))
}
