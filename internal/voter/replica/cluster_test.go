package replica_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/voter/replica"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/persister/faultfs"
	"github.com/heathermux/heathermux/pkg/replication"
)

const stepLength = 10 * time.Millisecond

// host is an entry host with a replica and a follower's view.
type host struct {
	name    string
	fs      *faultfs.FS
	replica *replica.Replica
	// dead is set where a crash strikes; the crash is completed by reap.
	dead, torn, wipe, restart bool
	frozenUntil               time.Time
	synced                    bool
	view                      follower.View
	incarnation               int
	followAt                  time.Time
	hint                      string
	commit, revision          uint64
}

// packet is a message in flight: an envelope or a step of following.
type packet struct {
	at       time.Time
	from, to string
	env      *wire.Envelope
	req      *wire.FollowRequest
	resp     *wire.FollowResponse
	sentAt   time.Time
}

// cluster runs replicas on one fake clock, one seeded generator and one link.
type cluster struct {
	t       *testing.T
	r       *rand.Rand
	now     time.Time
	names   []string
	hosts   map[string]*host
	flight  []packet
	route   func(from, to string) []time.Duration
	observe func(h *host, event string)
	hook    func(h *host, op faultfs.Op, name string) error
	adjust  func(h *host, o *replica.Options)

	leaders map[uint64]string
	order   map[uint64]string
	client  client
}

func newCluster(t *testing.T, seed uint64, n int) *cluster {
	return newClusterWith(t, seed, n, func(*host, *replica.Options) {})
}

// newClusterWith lets adjust change the options of each host.
func newClusterWith(t *testing.T, seed uint64, n int, adjust func(h *host, o *replica.Options)) *cluster {
	c := &cluster{
		adjust:  adjust,
		t:       t,
		r:       rand.New(rand.NewPCG(seed, 1)),
		now:     time.Unix(1_000_000, 0),
		hosts:   make(map[string]*host),
		leaders: make(map[uint64]string),
		order:   make(map[uint64]string),
		observe: func(*host, string) {},
		hook:    func(*host, faultfs.Op, string) error { return nil },
	}
	c.heal()
	for i := range n {
		c.names = append(c.names, fmt.Sprintf("h-%d", i))
	}
	for _, name := range c.names {
		h := &host{
			name: name,
			fs:   faultfs.New(),
		}
		h.fs.SetHook(func(op faultfs.Op, file string) error {
			if h.dead {
				return fmt.Errorf("crashed")
			}
			h.synced = h.synced || (op == faultfs.Sync && strings.Contains(file, "segment-"))
			return c.hook(h, op, file)
		})
		c.hosts[name] = h
		c.open(h)
	}
	return c
}

// heal makes the link deliver everything in the next step.
func (c *cluster) heal() {
	c.route = func(_, _ string) []time.Duration { return []time.Duration{0} }
}

func (c *cluster) open(h *host) {
	h.dead, h.torn, h.wipe, h.restart, h.synced = false, false, false, false, false
	h.incarnation++
	h.view, h.revision = follower.View{}, 0
	r, err := replica.Open(c.now, c.options(h))
	if err != nil {
		h.dead = true
		return
	}
	h.replica = r
}

func (c *cluster) options(h *host) replica.Options {
	o := replica.Options{
		Name:          h.name,
		Peers:         c.names,
		Dir:           "data",
		FS:            h.fs,
		Send:          func(to string, env *wire.Envelope) { c.send(h, to, env) },
		Logger:        slog.New(slog.DiscardHandler),
		Rand:          c.r,
		Incarnation:   func() string { return fmt.Sprintf("%016x", c.r.Uint64()) },
		SnapshotEvery: 8,
	}
	if c.adjust != nil {
		c.adjust(h, &o)
	}
	return o
}

// crash stops a host; reap completes it when the call under way has returned.
func (c *cluster) crash(h *host, restart, torn, wipe bool) {
	h.dead, h.restart, h.torn, h.wipe = true, restart, torn, wipe
}

func (c *cluster) reap(h *host) {
	if h.replica == nil || !h.dead {
		return
	}
	h.replica = nil
	h.fs.Crash(c.r, h.torn)
	if h.wipe {
		h.fs.Wipe()
	}
	if h.restart {
		c.open(h)
	}
}

func (c *cluster) put(p packet) {
	for _, d := range c.route(p.from, p.to) {
		p.at = c.now.Add(d)
		c.flight = append(c.flight, p)
	}
}

func (c *cluster) send(h *host, to string, env *wire.Envelope) {
	if h.synced {
		h.synced = false
		c.observe(h, "after append sync")
	}
	if !h.dead {
		c.put(packet{
			from: h.name,
			to:   to,
			env:  env,
		})
	}
}

// step advances the clock and lets every host act once.
func (c *cluster) step() {
	c.now = c.now.Add(stepLength)
	flight := c.flight
	c.flight = nil
	for _, p := range flight {
		if p.at.After(c.now) || c.hosts[p.to].frozenUntil.After(c.now) {
			c.flight = append(c.flight, p)
			continue
		}
		c.deliver(c.hosts[p.to], p)
	}
	for _, name := range c.names {
		h := c.hosts[name]
		c.reap(h)
		if h.replica == nil || h.frozenUntil.After(c.now) {
			continue
		}
		h.replica.Tick(c.now)
		c.follow(h)
		c.flush(h)
	}
	c.client.step(c)
	c.check()
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.step()
	}
}

func (c *cluster) flush(h *host) {
	h.replica.Flush(c.now)
	status := h.replica.Status()
	if status.Leads && status.Commit > h.commit && !h.dead {
		c.observe(h, "after commit")
	}
	h.commit = status.Commit
	if s := h.replica.State(); s.Revision() > h.revision && !h.dead {
		// One more change that another replica has shown is compared by itself.
		d, ok := s.DataCentre(c.order[s.Revision()])
		if s.Revision() > h.revision+1 || !ok || d.GetRevision() != s.Revision() {
			c.checkOrder(s)
		}
		h.revision = s.Revision()
		c.observe(h, "after apply")
	}
	c.reap(h)
}

func (c *cluster) deliver(h *host, p packet) {
	if h.replica == nil {
		return
	}
	if p.env == nil {
		c.deliverFollow(h, p)
		return
	}
	event := eventOf(h, p.env)
	c.observe(h, "before "+event)
	if !h.dead {
		h.replica.Step(c.now, p.env)
		c.flush(h)
	}
	if !h.dead {
		c.observe(h, "after "+event)
	}
	c.reap(h)
}

// eventOf names the protocol step that a message leads to.
func eventOf(h *host, env *wire.Envelope) string {
	p := &replication.Packet{}
	_ = proto.Unmarshal(env.GetPayload(), p)
	m := p.GetMessage()
	switch {
	case m.GetKind() == replication.MessageKind_MESSAGE_KIND_VOTE:
		return "vote request"
	case m.GetKind() == replication.MessageKind_MESSAGE_KIND_VOTE_REPLY:
		return "vote reply"
	case m.GetKind() == replication.MessageKind_MESSAGE_KIND_SNAPSHOT:
		return "snapshot install"
	case m.GetKind() == replication.MessageKind_MESSAGE_KIND_APPEND_REPLY && m.GetIndex() > h.replica.Status().Commit:
		return "append reply"
	case len(m.GetEntries()) > 0 && m.GetEntries()[0].GetMembership() != nil:
		return "membership change"
	case len(m.GetEntries()) > 0:
		return "append"
	case m.GetCommit() > h.replica.Status().Commit:
		return "apply"
	}
	return "other"
}

// follow runs the follower of a host: it asks the leader every 400 ms.
func (c *cluster) follow(h *host) {
	if c.now.Before(h.followAt) {
		return
	}
	h.followAt = c.now.Add(400 * time.Millisecond)
	to := h.hint
	if name, _ := h.replica.Leader(); name != "" {
		to = name
	}
	if to == "" {
		to = c.names[c.r.IntN(len(c.names))]
	}
	h.hint = ""
	c.put(packet{
		from:   h.name,
		to:     to,
		sentAt: c.now,
		req: &wire.FollowRequest{
			Revision: h.view.State.Revision(),
			Member: &wire.Member{
				Name:        h.name,
				Incarnation: fmt.Sprint(h.incarnation),
			},
		},
	})
}

func (c *cluster) deliverFollow(h *host, p packet) {
	if p.req != nil {
		p.resp = h.replica.Follow(c.now, p.req)
		req := p.req
		p.from, p.to, p.req = p.to, p.from, nil
		p.resp = proto.CloneOf(p.resp)
		p.resp.Leader += "/" + req.GetMember().GetIncarnation()
		c.put(p)
		return
	}
	leader, incarnation, _ := strings.Cut(p.resp.GetLeader(), "/")
	if incarnation != fmt.Sprint(h.incarnation) {
		return
	}
	h.hint = leader
	if p.resp.GetSnapshot() != nil && p.resp.GetRevision() > h.view.State.Revision() {
		h.view.State = controller.FromSnapshot(p.resp.GetSnapshot())
	}
	for _, a := range p.resp.GetCommands() {
		if a.GetRevision() == h.view.State.Revision()+1 {
			h.view.State, _ = controller.Apply(h.view.State, a.GetCommand())
		}
	}
	until := p.sentAt.Add(time.Duration(p.resp.GetLeaseNanos()))
	if p.resp.GetRevision() <= h.view.State.Revision() && until.After(h.view.LeaseUntil) {
		h.view.LeaseUntil = until
	}
}

// check verifies `in-force` and that each term has one leader.
func (c *cluster) check() {
	want := c.client.inForce(c.now)
	for _, name := range c.names {
		h := c.hosts[name]
		if h.replica == nil || h.frozenUntil.After(c.now) {
			continue
		}
		if s := h.replica.Status(); s.Leads {
			if other, ok := c.leaders[s.Term]; ok && other != name {
				c.t.Fatalf("term %d has the leaders %s and %s", s.Term, other, name)
			}
			c.leaders[s.Term] = name
		}
		if h.view.Live(c.now) && h.view.State.Revision() < want {
			c.t.Fatalf("%s acts on revision %d while %d is in force", name, h.view.State.Revision(), want)
		}
	}
}

// checkOrder verifies that every replica reached a revision by the same
// change, and that no acknowledged change is missing before it.
func (c *cluster) checkOrder(s controller.State) {
	for _, d := range s.DataCentres() {
		if first, ok := c.order[d.GetRevision()]; ok && first != d.GetName() {
			c.t.Fatalf("revision %d is %s on one replica and %s on another", d.GetRevision(), first, d.GetName())
		}
		c.order[d.GetRevision()] = d.GetName()
	}
	for op, rev := range c.client.acked {
		if d, ok := s.DataCentre(op); rev <= s.Revision() && (!ok || d.GetRevision() != rev) {
			c.t.Fatalf("acknowledged change %s is missing at revision %d", op, s.Revision())
		}
	}
}
