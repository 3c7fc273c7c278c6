package replicator_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/heathermux/heathermux/pkg/replication"
	"github.com/heathermux/heathermux/pkg/replicator"
)

const ids = "abcd"

// machine runs three voters and one spare replica; rapid chooses what happens next.
type machine struct {
	t     *rapid.T
	now   time.Time
	cores map[string]*replicator.Core
	disks map[string]replicator.Recovered
	// flight holds messages that were sent and neither delivered nor lost.
	flight []replicator.Message
	// chosen holds the committed entries by index.
	chosen  map[uint64]string
	leaders map[uint64]string
	elected map[uint64]time.Time
	next    int
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		t:       t,
		now:     time.Unix(1000, 0),
		cores:   make(map[string]*replicator.Core),
		disks:   make(map[string]replicator.Recovered),
		chosen:  make(map[uint64]string),
		leaders: make(map[uint64]string),
		elected: make(map[uint64]time.Time),
	}
	group := &replication.Membership{}
	for _, id := range ids[:3] {
		group.Members = append(group.Members, &replication.Member{
			Id: string(id),
		})
	}
	for _, id := range ids {
		m.disks[string(id)] = replicator.Recovered{
			Snapshot: &replication.Snapshot{
				Index:      1,
				Term:       1,
				Membership: group,
			},
			BaseIndex: 1,
			BaseTerm:  1,
		}
		m.restart(string(id))
	}
	return m
}

func (m *machine) restart(id string) {
	m.cores[id] = replicator.New(replicator.Config{
		ID:   replicator.ID(id),
		Rand: rand.New(rand.NewPCG(uint64(id[0]), uint64(m.next))),
	}, m.disks[id])
}

// flush does the work of a replica; with crash it stops before the sync.
func (m *machine) flush(id string, crash bool) {
	c := m.cores[id]
	for {
		r, some := c.Ready(m.now)
		if !some {
			return
		}
		if crash {
			m.restart(id)
			return
		}
		m.sync(id, r)
		m.flight = append(m.flight, r.Messages...)
		for _, e := range r.Committed {
			m.choose(e)
		}
		c.Advance(m.now, r)
	}
}

func (m *machine) sync(id string, r replicator.Ready) {
	d := m.disks[id]
	if r.Hard != nil {
		d.Hard = r.Hard
	}
	if s := r.Snapshot; s != nil {
		d.Snapshot, d.BaseIndex, d.BaseTerm, d.Entries = s, s.GetIndex(), s.GetTerm(), nil
	}
	for _, e := range r.Entries {
		n := e.GetIndex() - d.BaseIndex - 1
		d.Entries = append(d.Entries[:n:n], e)
	}
	m.disks[id] = d
}

func (m *machine) choose(e *replicator.Entry) {
	text := fmt.Sprint(e.GetTerm(), e.GetKind(), string(e.GetData()))
	if first, ok := m.chosen[e.GetIndex()]; ok && first != text {
		m.t.Fatalf("index %d is committed as %s and as %s", e.GetIndex(), first, text)
	}
	m.chosen[e.GetIndex()] = text
}

func (m *machine) pick() string {
	return rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(m.t, "id")
}

// take removes a message in flight.
func (m *machine) take() replicator.Message {
	i := rapid.IntRange(0, len(m.flight)-1).Draw(m.t, "message")
	msg := m.flight[i]
	m.flight = append(m.flight[:i:i], m.flight[i+1:]...)
	return msg
}

func (m *machine) deliver(msg replicator.Message) {
	if c := m.cores[msg.GetTo()]; c != nil {
		c.Step(m.now, msg)
		m.flush(msg.GetTo(), rapid.IntRange(0, 30).Draw(m.t, "crash") == 0)
	}
}

// check verifies that a term has one leader and that a leader's quorum contact
// is before the election of any later leader, which bounds its leases.
func (m *machine) check(*rapid.T) {
	for id, c := range m.cores {
		s := c.Status()
		if !s.Leads {
			continue
		}
		if other, ok := m.leaders[s.Term]; ok && other != id {
			m.t.Fatalf("term %d has the leaders %s and %s", s.Term, other, id)
		}
		if m.leaders[s.Term] == "" {
			m.leaders[s.Term], m.elected[s.Term] = id, m.now
		}
		contact, ok := c.QuorumContact(m.now)
		for term, at := range m.elected {
			if ok && term > s.Term && contact.After(at) {
				m.t.Fatalf("the leader of term %d had contact at %s, after the election of term %d", s.Term, contact, term)
			}
		}
	}
}

// rounds lets time pass while all replicas but one reach each other.
func (m *machine) rounds(t *rapid.T) {
	cut := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "cut")
	for range rapid.IntRange(1, 20).Draw(t, "rounds") {
		m.now = m.now.Add(100 * time.Millisecond)
		for _, id := range []string{"a", "b", "c", "d"} {
			m.cores[id].Tick(m.now)
			m.flush(id, false)
		}
		for range 3 {
			flight := m.flight
			m.flight = nil
			for _, msg := range flight {
				if msg.GetFrom() != cut && msg.GetTo() != cut {
					m.cores[msg.GetTo()].Step(m.now, msg)
					m.flush(msg.GetTo(), false)
				} else if len(m.flight) < 20 {
					m.flight = append(m.flight, msg)
				}
			}
		}
		m.check(t)
	}
}

func (m *machine) actions() map[string]func(*rapid.T) {
	inFlight := func(f func()) func(*rapid.T) {
		return func(t *rapid.T) {
			if len(m.flight) == 0 {
				t.Skip("no message is in flight")
			}
			f()
		}
	}
	return map[string]func(*rapid.T){
		"round 1":   m.rounds,
		"round 2":   m.rounds,
		"round 3":   m.rounds,
		"":          m.check,
		"deliver":   inFlight(func() { m.deliver(m.take()) }),
		"lose":      inFlight(func() { m.take() }),
		"duplicate": inFlight(func() { msg := m.take(); m.flight = append(m.flight, msg, msg) }),
		"deliver all": inFlight(func() {
			for range 40 {
				if len(m.flight) > 0 {
					msg := m.flight[0]
					m.flight = m.flight[1:]
					m.deliver(msg)
				}
			}
		}),
		"tick": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			id := m.pick()
			m.cores[id].Tick(m.now)
			m.flush(id, false)
		},
		"propose": func(*rapid.T) {
			id := m.pick()
			m.next++
			if _, err := m.cores[id].Propose(m.now, fmt.Append(nil, m.next)); err == nil {
				m.flush(id, false)
			}
		},
		"change": func(t *rapid.T) {
			id := m.pick()
			kind := replicator.ChangeKind(rapid.IntRange(0, 2).Draw(t, "kind"))
			if _, err := m.cores[id].ProposeMembership(m.now, change(kind, replicator.ID(m.pick()))); err == nil {
				m.flush(id, false)
			}
		},
		"restart": func(*rapid.T) { m.next++; m.restart(m.pick()) },
		"compact": func(*rapid.T) {
			id := m.pick()
			snap, base := m.cores[id].Compact(nil, 2)
			d := m.disks[id]
			d.Snapshot = snap
			if base > d.BaseIndex {
				n := base - d.BaseIndex
				d.BaseIndex, d.BaseTerm, d.Entries = base, d.Entries[n-1].GetTerm(), d.Entries[n:]
			}
			m.disks[id] = d
		},
	}
}

// TestCore guards against two values at one index, two leaders in a term and
// leases that overlap a later leader, in any order of messages, losses,
// restarts, compactions and membership changes.
func TestCore(t *testing.T) {
	// A seed of 0 makes rapid choose one by the time.
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "400", "rapid.checks": "300"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			is.New(t).NoErr(flag.Set(name, value))
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(m.actions())
	})
}
