package voter_test

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/heathermux/heathermux/internal/voter"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/persister"
	"github.com/heathermux/heathermux/pkg/persister/faultfs"
	"github.com/heathermux/heathermux/pkg/timer"
)

// group runs three voters in one process. Messages from and to the voter named by
// isolated are dropped.
type group struct {
	voters   map[string]*atomic.Pointer[voter.Voter]
	isolated atomic.Value
	files    map[string]*faultfs.FS
	// paused stops the clock; sent counts the messages sent by all voters.
	paused atomic.Bool
	sent   atomic.Int64
}

var names = []string{"h-0", "h-1", "h-2"}

type groupTransport struct {
	g    *group
	from string
}

func (l groupTransport) Send(to string, env *wire.Envelope) {
	l.g.sent.Add(1)
	isolated := l.g.isolated.Load()
	if v := l.g.voters[to].Load(); v != nil && isolated != to && isolated != l.from {
		v.Step(env)
	}
}

func newGroup(tb testing.TB, clock timer.Clock, fs func(name string) (persister.FS, string)) *group {
	g := &group{
		voters: make(map[string]*atomic.Pointer[voter.Voter]),
	}
	for _, name := range names {
		g.voters[name] = &atomic.Pointer[voter.Voter]{}
	}
	for _, name := range names {
		files, dir := fs(name)
		v, err := voter.Open(voter.Options{
			Name:  name,
			Peers: names,
			Dir:   dir,
			FS:    files,
			Clock: clock,
			Transport: groupTransport{
				g:    g,
				from: name,
			},
		})
		is.New(tb).NoErr(err)
		g.voters[name].Store(v)
	}
	return g
}

func (g *group) close() {
	for _, v := range g.voters {
		_ = v.Load().Close()
	}
}

// leader waits for a leader other than the voter named by excluded.
func (g *group) leader(excluded string) (string, *voter.Voter) {
	for {
		for name, p := range g.voters {
			if _, self := p.Load().Leader(); self && name != excluded {
				return name, p.Load()
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func change(op string) *wire.Command {
	return &wire.Command{
		OperationId: op,
		Change: &wire.Command_DefineDataCentre{
			DefineDataCentre: &wire.DefineDataCentre{
				DataCentre: &wire.DataCentre{
					Name: op,
				},
			},
		},
	}
}

// startGroup runs a group with in-memory files on a fake clock that a goroutine
// advances.
func startGroup(t *testing.T) *group {
	clock := timer.NewFake(time.Unix(1000, 0))
	files := make(map[string]*faultfs.FS)
	g := newGroup(t, clock, func(name string) (persister.FS, string) {
		files[name] = faultfs.New()
		return files[name], "data"
	})
	g.files = files
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
				if !g.paused.Load() {
					clock.Advance(5 * time.Millisecond)
				}
				time.Sleep(100 * time.Microsecond)
			}
		}
	}()
	t.Cleanup(func() {
		g.close()
		close(stop)
		<-done
		goleak.VerifyNone(t)
	})
	return g
}

// TestPropose guards against a wrong answer from a voter that does not lead, a
// change that is not replicated, and goroutines that are left running after Close.
func TestPropose(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	g := startGroup(t)
	leader, v := g.leader("")
	r, err := v.Propose(voter.AwaitInForce(ctx), change("op-1"))
	is.NoErr(err)
	is.Equal(r.GetOutcome(), wire.Outcome_OUTCOME_ACCEPTED)
	for name, p := range g.voters {
		if name == leader {
			continue
		}
		_, err := p.Load().Propose(ctx, change("op-2"))
		var notLeader voter.NotLeaderError
		is.True(errors.As(err, &notLeader))
		is.Equal(notLeader.Leader, leader)
		for p.Load().State().Revision() < r.GetRevision() {
			time.Sleep(time.Millisecond)
		}
	}
	resp, err := v.Follow(ctx, &wire.FollowRequest{})
	is.NoErr(err)
	is.Equal(len(resp.GetCommands()), 1)
	is.True(resp.GetLeaseNanos() > 0)
	for len(v.Followers()) != 1 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(v.Close())
	_, err = v.Propose(ctx, change("op-3"))
	is.True(errors.Is(err, voter.ErrClosed))
}

// TestOutcomeUnknown guards against reporting a change as failed although it may
// still be committed, and against a lease from a leader without a majority.
func TestOutcomeUnknown(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	g := startGroup(t)
	former, v := g.leader("")
	g.isolated.Store(former)
	_, err := v.Propose(ctx, change("op-1"))
	is.True(errors.Is(err, voter.ErrOutcomeUnknown))
	resp, err := v.Follow(ctx, &wire.FollowRequest{})
	is.NoErr(err)
	is.True(resp.GetNotLeader())
	_, now := g.leader(former)
	g.isolated.Store("")
	r, err := now.Propose(ctx, change("op-1"))
	is.NoErr(err)
	is.Equal(r.GetOutcome(), wire.Outcome_OUTCOME_ACCEPTED)
	for v.State().Revision() < r.GetRevision() {
		time.Sleep(time.Millisecond)
	}
}

// TestProposeCancelled guards against a wrong error for a caller that gives up: a
// command that was appended may still take effect, and one that was not appended
// must never take effect.
func TestProposeCancelled(t *testing.T) {
	is := is.New(t)
	g := startGroup(t)
	leader, v := g.leader("")
	g.paused.Store(true)
	g.isolated.Store(leader)
	cancelled := func(call func(ctx context.Context) error, beforeCancel func()) error {
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error, 1)
		go func() { failed <- call(ctx) }()
		beforeCancel()
		cancel()
		return <-failed
	}
	propose := func(op string, beforeCancel func()) error {
		return cancelled(func(ctx context.Context) error {
			_, err := v.Propose(ctx, change(op))
			return err
		}, beforeCancel)
	}
	// With the clock stopped there are no heartbeats, so the next message
	// carries the command.
	time.Sleep(10 * time.Millisecond)
	n := g.sent.Load()
	err := propose("appended", func() {
		for g.sent.Load() == n {
			time.Sleep(time.Millisecond)
		}
	})
	is.True(errors.Is(err, voter.ErrOutcomeUnknown))
	// While a sync is blocked, the next command is queued and not appended.
	syncBlocked, released := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	defer release()
	var once sync.Once
	g.files[leader].SetHook(func(op faultfs.Op, _ string) error {
		if op == faultfs.Sync {
			once.Do(func() { close(syncBlocked); <-released })
		}
		return nil
	})
	go func() { _, _ = v.Propose(context.Background(), change("hangs")) }()
	<-syncBlocked
	is.True(errors.Is(propose("waits", func() {}), context.Canceled))
	err = cancelled(func(ctx context.Context) error {
		_, err := v.Submit(ctx, []byte("waits"))
		return err
	}, func() { time.Sleep(10 * time.Millisecond) })
	is.True(errors.Is(err, context.Canceled))
	release()
	g.isolated.Store("")
	g.paused.Store(false)
	_, v = g.leader("")
	_, err = v.Propose(context.Background(), change("last"))
	is.NoErr(err)
	_, ok := v.State().DataCentre("waits")
	is.True(!ok)
}

// BenchmarkPropose measures changes from concurrent callers through three voters in
// one process with real files that are synced.
func BenchmarkPropose(b *testing.B) {
	for _, callers := range []int{1, 16, 128} {
		b.Run(fmt.Sprint("callers ", callers), func(b *testing.B) {
			dir := b.TempDir()
			g := newGroup(b, timer.System(), func(name string) (persister.FS, string) {
				return nil, filepath.Join(dir, name)
			})
			defer g.close()
			_, v := g.leader("")
			latencies := newLatencyRecorder(b)
			b.ResetTimer()
			latencies.run(callers, func(i int) error {
				_, err := v.Propose(context.Background(), change(fmt.Sprint("op-", i)))
				return err
			})
			latencies.report()
		})
	}
}
