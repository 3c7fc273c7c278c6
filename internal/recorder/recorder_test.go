package recorder_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"github.com/heathermux/heathermux/internal/recorder"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/deduplicator"
	"github.com/heathermux/heathermux/pkg/timer"
)

// Checks the order of messages and the responses when the owner of a key is
// lost: a resent request must get the stored answer from the new owner.
func TestReplayAfterOwnerLoss(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.deterministic = true
	owner := c.holders().Owner.Name
	client := c.names[0]
	if client == owner {
		client = c.names[1]
	}
	c.request(client)
	c.tracef("owner %s is lost", owner)
	c.procs[owner].dead = true
	c.request(client)
	c.tracef("the view changes")
	c.changeView("")
	c.request(client)
	goldie.New(t).Assert(t, "session", []byte(strings.Join(c.trace, "\n")+"\n"))
}

// frozenPeers never answers a call; each call ends with its context.
type frozenPeers struct{ recorder.Peers }

func (frozenPeers) Begin(ctx context.Context, _ *wire.Member, _ *wire.BeginRequest) (*wire.BeginResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (frozenPeers) Copy(ctx context.Context, _ *wire.Member, _ *wire.CopyRequest) (*wire.CopyResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// If the owner or the copy holder of a key does not respond, Begin must time out
// and end in a refusal.
func TestFrozenPeer(t *testing.T) {
	is := is.New(t)
	clock := timer.NewFake(time.Unix(1000, 0))
	c := newCluster(t, 1, 4)
	r := recorder.New(recorder.Options{
		Self:  c.procs["h-1"].member,
		Clock: clock,
		Peers: frozenPeers{},
	})
	r.SetView(c.view, nil)
	done := make(chan *wire.BeginResponse)
	for _, key := range []string{"a", "b", "c", "d", "e", "f"} {
		go func() {
			done <- r.Begin(context.Background(), key, nil, "attempt")
		}()
	}
	go func() {
		r.Transfer(context.Background())
		done <- nil
	}()
	for left := 7; left > 0; {
		select {
		case resp := <-done:
			is.True(resp == nil || resp.GetOutcome() == wire.BeginOutcome_BEGIN_OUTCOME_REFUSED)
			left--
		case <-time.After(time.Millisecond):
			clock.Advance(100 * time.Millisecond)
		}
	}
}

// An owner or copy holder without a valid lease must not grant, because its view
// may have been replaced. A caller whose context has ended must not get a grant,
// because it must not send its request any more.
func TestNoGrantWithoutLeaseOrCaller(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	tests := map[string]func(deduplicator.Holders) (context.Context, string){
		"owner without a lease": func(h deduplicator.Holders) (context.Context, string) {
			return context.Background(), h.Owner.Name
		},
		"copy holder without a lease": func(h deduplicator.Holders) (context.Context, string) {
			return context.Background(), h.Copy.Name
		},
		"caller that has given up": func(deduplicator.Holders) (context.Context, string) {
			return ended, ""
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 4)
			ctx, without := test(c.holders())
			c.noLease[without] = true
			for _, name := range c.names {
				resp := c.procs[name].rec.Begin(ctx, testKeys[0], nil, "attempt-"+name)
				is.Equal(resp.GetOutcome(), wire.BeginOutcome_BEGIN_OUTCOME_REFUSED)
			}
			clear(c.noLease)
			resp := c.procs["h-1"].rec.Begin(context.Background(), testKeys[0], nil, "attempt")
			is.Equal(resp.GetOutcome(), wire.BeginOutcome_BEGIN_OUTCOME_GRANTED)
		})
	}
}

// A copy holder that missed a view must get the whole slot again. Otherwise the
// owner would refuse all requests until the next view change.
func TestCopyHolderSkipsView(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 4)
	owner, skipped := c.holders().Owner.Name, c.holders().Copy.Name
	for range 2 {
		c.prev, c.view = c.view, &wire.View{
			Epoch:   c.view.GetEpoch() + 1,
			Members: c.view.GetMembers(),
		}
		for _, name := range c.names {
			if name != skipped || c.view.GetEpoch() == 3 {
				c.procs[name].rec.SetView(c.view, c.prev)
			}
		}
	}
	begin := func(attempt string) wire.BeginOutcome {
		return c.procs[owner].rec.Begin(context.Background(), testKeys[0], nil, attempt).GetOutcome()
	}
	is.Equal(begin("first"), wire.BeginOutcome_BEGIN_OUTCOME_REFUSED)
	c.transfer()
	is.Equal(begin("second"), wire.BeginOutcome_BEGIN_OUTCOME_GRANTED)
}

// A host that joins after the view of the last grants must learn that view from
// the copy holder. Otherwise a slot that the copy holder still has would count as
// lost.
func TestJoiningHostLearnsEarlierViews(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 4)
	c.deterministic = true
	c.request("h-1")
	owner, first := c.holders().Owner.Name, c.view
	c.view = &wire.View{}
	c.restart(owner)
	second := &wire.View{
		Epoch: 2,
		Members: slices.DeleteFunc(slices.Clone(first.GetMembers()), func(m *wire.Member) bool {
			return m.GetName() == owner
		}),
	}
	c.view = &wire.View{
		Epoch:   3,
		Members: append(slices.Clone(second.GetMembers()), c.procs[owner].member),
	}
	joined := c.procs[owner].rec
	joined.SetView(c.view, second)
	joined.Transfer(context.Background())
	for _, name := range c.names {
		c.procs[name].rec.SetView(c.view, second)
	}
	c.transfer()
	is.Equal(c.request("h-1").GetOutcome(), wire.BeginOutcome_BEGIN_OUTCOME_FINISHED)
}
