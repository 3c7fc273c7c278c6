package recorder_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/recorder"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/deduplicator"
	"github.com/heathermux/heathermux/pkg/timer"
)

var errMessageLost = errors.New("message lost")

var (
	// testKeys are keys of one slot. A scenario picks them at random, so that
	// some of them are new at each step.
	testKeys = keysOfOneSlot(4)
	testSlot = deduplicator.SlotOf(testKeys[0])
)

// keysOfOneSlot returns n keys that belong to the same slot.
func keysOfOneSlot(n int) []string {
	var keys []string
	for i := 0; len(keys) < n; i++ {
		key := fmt.Sprintf("markets/redeem-%d", i)
		if len(keys) == 0 || deduplicator.SlotOf(key) == deduplicator.SlotOf(keys[0]) {
			keys = append(keys, key)
		}
	}
	return keys
}

// cluster simulates entry hosts that exchange messages in memory, and one
// upstream. Only one goroutine runs at a time: while a host is frozen inside a
// call, the fault function runs the rest of the cluster from within that call.
type cluster struct {
	t     testing.TB
	rng   *rand.Rand
	clock *timer.Fake
	procs map[string]*proc
	names []string
	view  *wire.View
	prev  *wire.View

	// blockedLinks holds the pairs of sender and receiver between which messages
	// are lost. The empty name stands for the control state.
	blockedLinks map[[2]string]bool
	frozen       map[string]bool
	// noLease holds the hosts whose authority lease has ended.
	noLease map[string]bool
	// delayed holds messages that are delivered by heal.
	delayed []func()
	// heldBack is a message that is delivered after the next one.
	heldBack func()
	// fault is called once, at the fault point; it may set loseMessage.
	point       string
	fault       func(redeliver func())
	loseMessage bool

	trace    []string
	attempts int
	// runs holds the attempts that reached the upstream, by key.
	runs   map[string][]string
	notRun map[string]bool
	// deterministic makes every request use the same key, and every granted
	// attempt run and report its answer.
	deterministic bool
	// violated is set after the first violation of an invariant.
	violated bool
}

// proc is one process of an entry host. It implements recorder.Peers for its
// own recorder.
type proc struct {
	c      *cluster
	member *wire.Member
	rec    *recorder.Recorder
	dead   bool
}

func newCluster(t testing.TB, seed uint64, hosts int) *cluster {
	c := &cluster{
		t:            t,
		rng:          rand.New(rand.NewPCG(seed, 1)),
		clock:        timer.NewFake(time.Unix(1000, 0)),
		procs:        make(map[string]*proc),
		view:         &wire.View{},
		blockedLinks: make(map[[2]string]bool),
		frozen:       make(map[string]bool),
		noLease:      make(map[string]bool),
		runs:         make(map[string][]string),
		notRun:       make(map[string]bool),
	}
	for i := range hosts {
		c.names = append(c.names, fmt.Sprintf("h-%d", i+1))
		c.start(c.names[i], fmt.Sprintf("dc-%d", i%3))
	}
	c.changeView("")
	return c
}

func (c *cluster) start(name, dataCentre string) {
	p := &proc{
		c: c,
		member: &wire.Member{
			Name:        name,
			Incarnation: fmt.Sprint(c.rng.Uint32()),
			DataCentre:  dataCentre,
		},
	}
	p.rec = recorder.New(recorder.Options{
		Self:        p.member,
		Clock:       c.clock,
		Peers:       p,
		BeginTries:  1,
		FinishTries: 1,
		Workers:     1,
		HoldsLease: func() bool {
			return !c.noLease[name]
		},
		RunAsync: func(f func()) {
			f()
		},
	})
	c.t.Cleanup(p.rec.Close)
	c.procs[name] = p
	p.rec.SetView(c.view, c.prev)
}

// restart replaces the process of the host by a new one without state.
func (c *cluster) restart(name string) {
	c.procs[name].dead = true
	c.start(name, c.procs[name].member.GetDataCentre())
}

// holders returns the holders of the tested slot in the current view.
func (c *cluster) holders() deduplicator.Holders {
	var hosts []deduplicator.Host
	for _, m := range c.view.GetMembers() {
		hosts = append(hosts, deduplicator.Host{
			Name:       m.GetName(),
			DataCentre: m.GetDataCentre(),
		})
	}
	return deduplicator.NewSlotMap(1, hosts).Holders(testSlot)
}

// changeView commits a view without the named host, installs it on the reachable
// hosts in a random order and transfers slots. Requests arrive in between unless
// the cluster is deterministic.
func (c *cluster) changeView(without string) {
	c.injectFault("view", nil)
	next := &wire.View{
		Epoch: c.view.GetEpoch() + 1,
	}
	for _, name := range c.names {
		if p := c.procs[name]; !p.dead && name != without && !c.blockedLinks[[2]string{"", name}] {
			next.Members = append(next.Members, p.member)
		}
	}
	c.prev, c.view = c.view, next
	for _, i := range c.rng.Perm(len(c.names)) {
		name := c.names[i]
		if c.isUp(name) && !c.blockedLinks[[2]string{"", name}] {
			c.procs[name].rec.SetView(next, c.prev)
		}
		if next.GetEpoch() > 1 && !c.deterministic && c.isUp(name) {
			c.procs[name].rec.Transfer(context.Background())
			c.request(c.names[c.rng.IntN(len(c.names))])
		}
	}
	c.transfer()
}

// transfer makes up to four passes over all hosts and returns the number of
// slots that are still pending.
func (c *cluster) transfer() (left int) {
	left = 1
	for pass := 0; left > 0 && pass < 4; pass++ {
		left = 0
		for _, name := range c.names {
			if c.isUp(name) {
				left += c.procs[name].rec.Transfer(context.Background())
			}
		}
	}
	return left
}

func (c *cluster) isUp(name string) bool {
	return !c.procs[name].dead && !c.frozen[name]
}

// heal ends partitions and freezes, then delivers the delayed messages.
func (c *cluster) heal() {
	clear(c.blockedLinks)
	clear(c.frozen)
	for len(c.delayed) > 0 {
		deliver := c.delayed[0]
		c.delayed = c.delayed[1:]
		deliver()
	}
}

// injectFault runs the fault of the scenario if it is set for this point. It
// returns whether the message is lost.
func (c *cluster) injectFault(point string, redeliver func()) (lost bool) {
	if point != c.point || c.fault == nil {
		return false
	}
	fault := c.fault
	c.fault = nil
	fault(redeliver)
	lost, c.loseMessage = c.loseMessage, false
	return lost
}

// request sends one attempt of a client to an entry host and checks the
// invariants.
func (c *cluster) request(name string) *wire.BeginResponse {
	if !c.isUp(name) {
		return nil
	}
	p := c.procs[name]
	key := testKeys[0]
	if !c.deterministic {
		key = testKeys[c.rng.IntN(len(testKeys))]
	}
	c.attempts++
	attempt := fmt.Sprintf("attempt-%d", c.attempts)
	c.injectFault("start", nil)
	resp := p.rec.Begin(context.Background(), key, []byte("fingerprint"), attempt)
	c.tracef("client at %s: %s of %s gets %s %s", name, attempt, key, resp.GetOutcome(), resp.GetReason())
	if resp.GetOutcome() == wire.BeginOutcome_BEGIN_OUTCOME_GRANTED {
		c.runUpstream(p, key, attempt)
	} else {
		run, this := recorder.RunStatus(resp)
		c.notRun[attempt] = this == recorder.NotRun
		c.check(run == recorder.Unknown || (run == recorder.Run && len(c.runs[key]) > 0), "not-run-true: the response says "+run+" without proof")
	}
	if resp.GetOutcome() == wire.BeginOutcome_BEGIN_OUTCOME_FINISHED {
		c.check(len(c.runs[key]) == 1 && proto.Equal(resp.GetAnswer(), answer(key, c.runs[key][0])), "the replayed answer differs from that of the only run")
	}
	return resp
}

// runUpstream sends the request to the upstream and reports the outcome to the
// registry. Unless the cluster is deterministic, a random draw makes some
// attempts abandon the request or report an unknown outcome.
func (c *cluster) runUpstream(p *proc, key, attempt string) {
	c.injectFault("send/before", nil)
	if p.dead {
		return
	}
	entry := &wire.RegistryEntry{
		Key:         key,
		Fingerprint: []byte("fingerprint"),
		Attempt:     attempt,
		State:       wire.EntryState_ENTRY_STATE_ABANDONED,
	}
	draw := c.rng.IntN(6)
	if c.deterministic || draw > 0 {
		c.runs[key] = append(c.runs[key], attempt)
		c.check(len(c.runs[key]) == 1, "at-most-once: the request ran again")
		entry.State = wire.EntryState_ENTRY_STATE_FINISHED
		entry.Answer = answer(key, attempt)
	} else {
		c.notRun[attempt] = true
	}
	if !c.deterministic && draw == 1 {
		entry.State = wire.EntryState_ENTRY_STATE_UNKNOWN
	}
	c.injectFault("send/after", nil)
	if !p.dead {
		c.tracef("client at %s: %s reports %s, stored %t", p.member.GetName(), attempt, entry.GetState(), p.rec.Finish(context.Background(), entry))
	}
}

// check reports the first violated invariant. It uses Errorf, because it may run
// in a worker goroutine of a recorder, which must not call FailNow.
func (c *cluster) check(ok bool, violation string) {
	c.t.Helper()
	for _, attempts := range c.runs {
		ok = ok && !c.notRun[attempts[0]]
	}
	if !ok && !c.violated {
		c.violated = true
		c.t.Errorf("%s; runs %v\n%q", violation, c.runs, c.trace)
	}
}

func (c *cluster) tracef(format string, args ...any) {
	c.trace = append(c.trace, strings.TrimSpace(fmt.Sprintf(format, args...)))
}

func answer(key, attempt string) *wire.StoredAnswer {
	return &wire.StoredAnswer{
		Status: 200,
		Body:   []byte(key + " by " + attempt),
	}
}

// send delivers one message. Faults at a fault point apply only to messages of
// the tested slot.
func send[R any](p *proc, to *wire.Member, kind string, tested bool, deliver func(*recorder.Recorder) R) (R, error) {
	c, from := p.c, p.member.GetName()
	var none R
	redeliver := func() {
		if q := c.procs[to.GetName()]; !q.dead {
			deliver(q.rec)
		}
	}
	if tested && c.injectFault(kind+"/before", redeliver) {
		return none, errMessageLost
	}
	q := c.procs[to.GetName()]
	if p.dead || q.dead || c.blockedLinks[[2]string{from, to.GetName()}] {
		return none, errMessageLost
	}
	if c.frozen[to.GetName()] {
		c.delayed = append(c.delayed, redeliver)
		return none, errMessageLost
	}
	resp := deliver(q.rec)
	if tested {
		c.tracef("%s from %s to %s", kind, from, to.GetName())
		if deliverHeld := c.heldBack; deliverHeld != nil {
			c.heldBack = nil
			deliverHeld()
		}
		if c.injectFault(kind+"/after", redeliver) {
			return none, errMessageLost
		}
	}
	if p.dead || q.dead || c.blockedLinks[[2]string{to.GetName(), from}] {
		return none, errMessageLost
	}
	return resp, nil
}

func (p *proc) Begin(ctx context.Context, to *wire.Member, req *wire.BeginRequest) (*wire.BeginResponse, error) {
	return send(p, to, "begin", true, func(r *recorder.Recorder) *wire.BeginResponse {
		return r.ServeBegin(ctx, req)
	})
}

func (p *proc) Finish(ctx context.Context, to *wire.Member, req *wire.FinishRequest) (*wire.FinishResponse, error) {
	return send(p, to, "finish", true, func(r *recorder.Recorder) *wire.FinishResponse {
		return r.ServeFinish(ctx, req)
	})
}

func (p *proc) Copy(ctx context.Context, to *wire.Member, req *wire.CopyRequest) (*wire.CopyResponse, error) {
	kind := "copy-outcome"
	if req.GetWhole() {
		kind = "push"
	} else if req.GetEntries()[0].GetState() == wire.EntryState_ENTRY_STATE_BEGUN {
		kind = "copy"
	}
	return send(p, to, kind, int(req.GetSlot()) == testSlot, func(r *recorder.Recorder) *wire.CopyResponse {
		return r.ServeCopy(ctx, req)
	})
}

func (p *proc) Fetch(ctx context.Context, to *wire.Member, req *wire.FetchRequest) (*wire.FetchResponse, error) {
	return send(p, to, "fetch", int(req.GetSlot()) == testSlot, func(r *recorder.Recorder) *wire.FetchResponse {
		return r.ServeFetch(ctx, req)
	})
}
