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

const stepDuration = 10 * time.Millisecond

// host is a simulated entry host: a replica and a follower with its view of the state.
type host struct {
	name    string
	fs      *faultfs.FS
	replica *replica.Replica
	// crashed is set when a crash is injected. completeCrash then stops the
	// replica as the other three fields say.
	crashed, tornWrite, wipeDisk, restart bool
	frozenUntil                           time.Time
	logSynced                             bool
	view                                  follower.View
	incarnation                           int
	nextFollowAt                          time.Time
	leaderHint                            string
	lastCommit, lastRevision              uint64
}

// packet is a message in flight: an envelope between replicas, or a request or
// response of Follow.
type packet struct {
	at       time.Time
	from, to string
	env      *wire.Envelope
	req      *wire.FollowRequest
	resp     *wire.FollowResponse
	sentAt   time.Time
}

// cluster simulates a group of replicas on one fake clock, one seeded random
// number generator and one network link.
type cluster struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	names    []string
	hosts    map[string]*host
	inFlight []packet
	// linkDelays returns one delay for each copy of a message that arrives;
	// none means that the message is lost.
	linkDelays    func(from, to string) []time.Duration
	onEvent       func(h *host, event string)
	onFileOp      func(h *host, op faultfs.Op, name string) error
	adjustOptions func(h *host, o *replica.Options)

	// leaderByTerm and changeByRevision record what any replica has shown so far;
	// changeByRevision holds the name of the data centre that led to a revision.
	leaderByTerm     map[uint64]string
	changeByRevision map[uint64]string
	client           client
}

func newCluster(t *testing.T, seed uint64, n int) *cluster {
	return newClusterWith(t, seed, n, func(*host, *replica.Options) {})
}

// newClusterWith calls adjust to change the options of each host.
func newClusterWith(t *testing.T, seed uint64, n int, adjust func(h *host, o *replica.Options)) *cluster {
	c := &cluster{
		adjustOptions:    adjust,
		t:                t,
		rng:              rand.New(rand.NewPCG(seed, 1)),
		now:              time.Unix(1_000_000, 0),
		hosts:            make(map[string]*host),
		leaderByTerm:     make(map[uint64]string),
		changeByRevision: make(map[uint64]string),
		onEvent:          func(*host, string) {},
		onFileOp:         func(*host, faultfs.Op, string) error { return nil },
	}
	c.restoreLink()
	for i := range n {
		c.names = append(c.names, fmt.Sprintf("h-%d", i))
	}
	for _, name := range c.names {
		h := &host{
			name: name,
			fs:   faultfs.New(),
		}
		h.fs.SetHook(func(op faultfs.Op, file string) error {
			if h.crashed {
				return fmt.Errorf("crashed")
			}
			h.logSynced = h.logSynced || (op == faultfs.Sync && strings.Contains(file, "segment-"))
			return c.onFileOp(h, op, file)
		})
		c.hosts[name] = h
		c.open(h)
	}
	return c
}

// restoreLink makes the link deliver every message once, in the next step.
func (c *cluster) restoreLink() {
	c.linkDelays = func(_, _ string) []time.Duration { return []time.Duration{0} }
}

func (c *cluster) open(h *host) {
	h.crashed, h.tornWrite, h.wipeDisk, h.restart, h.logSynced = false, false, false, false, false
	h.incarnation++
	h.view, h.lastRevision = follower.View{}, 0
	r, err := replica.Open(c.now, c.options(h))
	if err != nil {
		h.crashed = true
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
		Rand:          c.rng,
		Incarnation:   func() string { return fmt.Sprintf("%016x", c.rng.Uint64()) },
		SnapshotEvery: 8,
	}
	if c.adjustOptions != nil {
		c.adjustOptions(h, &o)
	}
	return o
}

// crash marks a host as crashed; completeCrash stops it once the call in progress
// has returned.
func (c *cluster) crash(h *host, restart, torn, wipe bool) {
	h.crashed, h.restart, h.tornWrite, h.wipeDisk = true, restart, torn, wipe
}

func (c *cluster) completeCrash(h *host) {
	if h.replica == nil || !h.crashed {
		return
	}
	h.replica = nil
	h.fs.Crash(c.rng, h.tornWrite)
	if h.wipeDisk {
		h.fs.Wipe()
	}
	if h.restart {
		c.open(h)
	}
}

func (c *cluster) transmit(p packet) {
	for _, d := range c.linkDelays(p.from, p.to) {
		p.at = c.now.Add(d)
		c.inFlight = append(c.inFlight, p)
	}
}

func (c *cluster) send(h *host, to string, env *wire.Envelope) {
	if h.logSynced {
		h.logSynced = false
		c.onEvent(h, "after append sync")
	}
	if !h.crashed {
		c.transmit(packet{
			from: h.name,
			to:   to,
			env:  env,
		})
	}
}

// step advances the clock, delivers the messages that are due and runs every host once.
func (c *cluster) step() {
	c.now = c.now.Add(stepDuration)
	inFlight := c.inFlight
	c.inFlight = nil
	for _, p := range inFlight {
		if p.at.After(c.now) || c.hosts[p.to].frozenUntil.After(c.now) {
			c.inFlight = append(c.inFlight, p)
			continue
		}
		c.deliver(c.hosts[p.to], p)
	}
	for _, name := range c.names {
		h := c.hosts[name]
		c.completeCrash(h)
		if h.replica == nil || h.frozenUntil.After(c.now) {
			continue
		}
		h.replica.Tick(c.now)
		c.follow(h)
		c.flush(h)
	}
	c.client.step(c)
	c.checkInvariants()
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.step()
	}
}

func (c *cluster) flush(h *host) {
	h.replica.Flush(c.now)
	status := h.replica.Status()
	if status.IsLeader && status.Commit > h.lastCommit && !h.crashed {
		c.onEvent(h, "after commit")
	}
	h.lastCommit = status.Commit
	if s := h.replica.State(); s.Revision() > h.lastRevision && !h.crashed {
		// If this is the next revision, and it comes from the same change as on
		// another replica, there is no need to compare all changes.
		d, ok := s.DataCentre(c.changeByRevision[s.Revision()])
		if s.Revision() > h.lastRevision+1 || !ok || d.GetRevision() != s.Revision() {
			c.checkOrder(s)
		}
		h.lastRevision = s.Revision()
		c.onEvent(h, "after apply")
	}
	c.completeCrash(h)
}

func (c *cluster) deliver(h *host, p packet) {
	if h.replica == nil {
		return
	}
	if p.env == nil {
		c.deliverFollow(h, p)
		return
	}
	event := eventName(h, p.env)
	c.onEvent(h, "before "+event)
	if !h.crashed {
		h.replica.Step(c.now, p.env)
		c.flush(h)
	}
	if !h.crashed {
		c.onEvent(h, "after "+event)
	}
	c.completeCrash(h)
}

// eventName returns the name of the protocol step that a message triggers.
func eventName(h *host, env *wire.Envelope) string {
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

// follow sends the follow request of a host to the leader it knows, every 400 ms.
func (c *cluster) follow(h *host) {
	if c.now.Before(h.nextFollowAt) {
		return
	}
	h.nextFollowAt = c.now.Add(400 * time.Millisecond)
	to := h.leaderHint
	if name, _ := h.replica.Leader(); name != "" {
		to = name
	}
	if to == "" {
		to = c.names[c.rng.IntN(len(c.names))]
	}
	h.leaderHint = ""
	c.transmit(packet{
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
		c.transmit(p)
		return
	}
	leader, incarnation, _ := strings.Cut(p.resp.GetLeader(), "/")
	if incarnation != fmt.Sprint(h.incarnation) {
		return
	}
	h.leaderHint = leader
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

// checkInvariants verifies the invariant `in-force`, that no host with a live lease
// acts on a revision older than the newest one in force, and that each term has
// at most one leader.
func (c *cluster) checkInvariants() {
	want := c.client.inForce(c.now)
	for _, name := range c.names {
		h := c.hosts[name]
		if h.replica == nil || h.frozenUntil.After(c.now) {
			continue
		}
		if s := h.replica.Status(); s.IsLeader {
			if other, ok := c.leaderByTerm[s.Term]; ok && other != name {
				c.t.Fatalf("term %d has the leaders %s and %s", s.Term, other, name)
			}
			c.leaderByTerm[s.Term] = name
		}
		if h.view.Live(c.now) && h.view.State.Revision() < want {
			c.t.Fatalf("%s acts on revision %d while %d is in force", name, h.view.State.Revision(), want)
		}
	}
}

// checkOrder verifies that the same change led to a revision on every replica,
// and that the state contains every acknowledged change up to its revision.
func (c *cluster) checkOrder(s controller.State) {
	for _, d := range s.DataCentres() {
		if first, ok := c.changeByRevision[d.GetRevision()]; ok && first != d.GetName() {
			c.t.Fatalf("revision %d is %s on one replica and %s on another", d.GetRevision(), first, d.GetName())
		}
		c.changeByRevision[d.GetRevision()] = d.GetName()
	}
	for op, rev := range c.client.acked {
		if d, ok := s.DataCentre(op); rev <= s.Revision() && (!ok || d.GetRevision() != rev) {
			c.t.Fatalf("acknowledged change %s is missing at revision %d", op, s.Revision())
		}
	}
}
