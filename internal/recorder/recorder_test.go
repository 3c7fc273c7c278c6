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

// Guards the order of messages and the responses over the loss of an owner:
// the resend must get the stored answer from the new one.
func TestSession(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.sure = true
	owner := w.holders().Owner.Name
	client := w.names[0]
	if client == owner {
		client = w.names[1]
	}
	w.request(client)
	w.note("owner %s is lost", owner)
	w.procs[owner].dead = true
	w.request(client)
	w.note("the view changes")
	w.change("")
	w.request(client)
	goldie.New(t).Assert(t, "session", []byte(strings.Join(w.trace, "\n")+"\n"))
}

// frozen is a peer that answers nothing.
type frozen struct{ recorder.Peers }

func (frozen) Begin(ctx context.Context, _ *wire.Member, _ *wire.BeginRequest) (*wire.BeginResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (frozen) Copy(ctx context.Context, _ *wire.Member, _ *wire.CopyRequest) (*wire.CopyResponse, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// A frozen peer must cost a timeout and end in a refusal, for the owner of a
// key and for its copy holder.
func TestFrozenPeer(t *testing.T) {
	is := is.New(t)
	clock := timer.NewFake(time.Unix(1000, 0))
	w := newWorld(t, 1, 4)
	r := recorder.New(recorder.Options{
		Self:  w.procs["h-1"].member,
		Clock: clock,
		Peers: frozen{},
	})
	r.SetView(w.view, nil)
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

// An owner or copy holder without a live lease could grant in a view that was
// replaced; a caller that has given up must not send.
func TestNoGrant(t *testing.T) {
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
			w := newWorld(t, 1, 4)
			ctx, without := test(w.holders())
			w.noLease[without] = true
			for _, name := range w.names {
				resp := w.procs[name].rec.Begin(ctx, testKeys[0], nil, "attempt-"+name)
				is.Equal(resp.GetOutcome(), wire.BeginOutcome_BEGIN_OUTCOME_REFUSED)
			}
			clear(w.noLease)
			resp := w.procs["h-1"].rec.Begin(context.Background(), testKeys[0], nil, "attempt")
			is.Equal(resp.GetOutcome(), wire.BeginOutcome_BEGIN_OUTCOME_GRANTED)
		})
	}
}

// A copy holder that skipped a view must get the whole slot again, else the
// owner would refuse until the next view.
func TestCopyHolderSkipsView(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 4)
	owner, skipped := w.holders().Owner.Name, w.holders().Copy.Name
	for range 2 {
		w.prev, w.view = w.view, &wire.View{
			Epoch:   w.view.GetEpoch() + 1,
			Members: w.view.GetMembers(),
		}
		for _, name := range w.names {
			if name != skipped || w.view.GetEpoch() == 3 {
				w.procs[name].rec.SetView(w.view, w.prev)
			}
		}
	}
	begin := func(attempt string) wire.BeginOutcome {
		return w.procs[owner].rec.Begin(context.Background(), testKeys[0], nil, attempt).GetOutcome()
	}
	is.Equal(begin("first"), wire.BeginOutcome_BEGIN_OUTCOME_REFUSED)
	w.transfer()
	is.Equal(begin("second"), wire.BeginOutcome_BEGIN_OUTCOME_GRANTED)
}

// A host that joined after the view of the last grants must learn it from the
// copy holder, else a slot that is still held would count as lost.
func TestJoinerLearnsViews(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 4)
	w.sure = true
	w.request("h-1")
	owner, first := w.holders().Owner.Name, w.view
	w.view = &wire.View{}
	w.restart(owner)
	second := &wire.View{
		Epoch: 2,
		Members: slices.DeleteFunc(slices.Clone(first.GetMembers()), func(m *wire.Member) bool {
			return m.GetName() == owner
		}),
	}
	w.view = &wire.View{
		Epoch:   3,
		Members: append(slices.Clone(second.GetMembers()), w.procs[owner].member),
	}
	joined := w.procs[owner].rec
	joined.SetView(w.view, second)
	joined.Transfer(context.Background())
	for _, name := range w.names {
		w.procs[name].rec.SetView(w.view, second)
	}
	w.transfer()
	is.Equal(w.request("h-1").GetOutcome(), wire.BeginOutcome_BEGIN_OUTCOME_FINISHED)
}
