package jobgateway_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobgateway"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/messenger"
	"github.com/heathermux/heathermux/pkg/timer"
)

// hosts is a group whose members answer as the test sets them.
type hosts struct {
	mu sync.Mutex
	// behaviours maps names to what a host does with a call.
	behaviours map[string]behaviour
	calls      map[string]int
}

type behaviour int

const (
	leads behaviour = iota
	follows
	frozen
	down
	// unprepared hosts lead and have no configuration yet.
	unprepared
	// ends hosts lose the lead while a call is in the log.
	ends
	// stalls hosts lead and do not answer calls of submitters.
	stalls
)

func (h *hosts) set(name string, b behaviour) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.behaviours[name] = b
}

// Call implements jobgateway.Caller.
func (h *hosts) Call(ctx context.Context, host, _ string, request, response proto.Message) error {
	h.mu.Lock()
	b := h.behaviours[host]
	if _, ok := request.(*jobwire.JobRequest); ok {
		h.calls[host]++
	}
	h.mu.Unlock()
	outcome := jobwire.Outcome_OUTCOME_OK
	switch b {
	case frozen:
		<-ctx.Done()
		return ctx.Err()
	case stalls:
		if _, ok := request.(*jobwire.JobRequest); ok {
			<-ctx.Done()
			return ctx.Err()
		}
	case down:
		return errors.Wrap(messenger.ErrUnreachable, host)
	case unprepared:
		outcome = jobwire.Outcome_OUTCOME_UNAVAILABLE
	case ends:
		outcome = jobwire.Outcome_OUTCOME_UNKNOWN
	case follows:
		outcome = jobwire.Outcome_OUTCOME_NOT_LEADER
	}
	switch r := response.(type) {
	case *jobwire.JobResponse:
		r.Outcome = outcome
	case *jobwire.ControlResponse:
		r.Outcome = outcome
	}
	return nil
}

func newGateway(behaviours map[string]behaviour) (*jobgateway.Gateway, *hosts) {
	h := &hosts{
		behaviours: behaviours,
		calls:      make(map[string]int),
	}
	names := make([]string, 0, len(behaviours))
	for name := range behaviours {
		names = append(names, name)
	}
	return jobgateway.New(jobgateway.Options{
		Hosts:  names,
		Caller: h,
		Clock:  timer.System(),
		Logger: slog.New(slog.DiscardHandler),
	}), h
}

// promptly bounds an answer that waits for nothing but the search for a leader;
// a call that is held for a host that does not answer takes 700 ms and more.
const promptly = 600 * time.Millisecond

// Each case guards against an answer that is not true, or that comes late.
func TestOutcomes(t *testing.T) {
	cases := map[string]struct {
		before, after map[string]behaviour
		outcome       jobwire.Outcome
		within        time.Duration
	}{
		"the leader answers": {
			before:  map[string]behaviour{"a": follows, "b": leads, "c": frozen},
			outcome: jobwire.Outcome_OUTCOME_OK,
			within:  promptly,
		},
		"no host leads, so nothing was sent": {
			before:  map[string]behaviour{"a": follows, "b": follows, "c": frozen},
			outcome: jobwire.Outcome_OUTCOME_UNAVAILABLE,
			within:  promptly,
		},
		"no host can be reached": {
			before:  map[string]behaviour{"a": down, "b": down, "c": down},
			outcome: jobwire.Outcome_OUTCOME_UNAVAILABLE,
			within:  promptly,
		},
		"the leader freezes and no other leads": {
			before:  map[string]behaviour{"a": leads, "b": follows, "c": follows},
			after:   map[string]behaviour{"a": frozen},
			outcome: jobwire.Outcome_OUTCOME_UNKNOWN,
			within:  1700 * time.Millisecond,
		},
		"the leader freezes and another leads": {
			before:  map[string]behaviour{"a": leads, "b": follows, "c": follows},
			after:   map[string]behaviour{"a": frozen, "b": leads},
			outcome: jobwire.Outcome_OUTCOME_OK,
			within:  1700 * time.Millisecond,
		},
		"what may be accepted is not refused by the next leader": {
			before:  map[string]behaviour{"a": leads, "b": follows, "c": follows},
			after:   map[string]behaviour{"a": ends, "b": unprepared},
			outcome: jobwire.Outcome_OUTCOME_UNKNOWN,
			within:  1700 * time.Millisecond,
		},
		"a leader without a configuration refuses": {
			before:  map[string]behaviour{"a": unprepared, "b": follows},
			outcome: jobwire.Outcome_OUTCOME_UNAVAILABLE,
			within:  promptly,
		},
		"the leader goes down and another leads": {
			before:  map[string]behaviour{"a": leads, "b": follows, "c": follows},
			after:   map[string]behaviour{"a": down, "b": leads},
			outcome: jobwire.Outcome_OUTCOME_OK,
			within:  promptly,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, h := newGateway(c.before)
			if c.after != nil {
				g.Job(context.Background(), &jobwire.JobRequest{})
				for name, b := range c.after {
					h.set(name, b)
				}
			}
			begun := time.Now()
			resp := g.Job(context.Background(), &jobwire.JobRequest{})
			is.Equal(resp.GetOutcome(), c.outcome)
			is.True(time.Since(begun) < c.within)
		})
	}
}

// Calls that come after a leader has frozen are told to come back at once; they
// are not held for as long as the first ones.
func TestCallsAreNotHeldForFrozenLeader(t *testing.T) {
	is := is.New(t)
	g, h := newGateway(map[string]behaviour{"a": leads, "b": follows})
	g.Job(context.Background(), &jobwire.JobRequest{})
	h.set("a", frozen)
	g.Job(context.Background(), &jobwire.JobRequest{})
	begun := time.Now()
	resp := g.Job(context.Background(), &jobwire.JobRequest{})
	is.Equal(resp.GetOutcome(), jobwire.Outcome_OUTCOME_UNAVAILABLE)
	is.True(resp.GetRetryAfterNanos() > 0)
	is.True(time.Since(begun) < promptly)
	is.Equal(h.calls["a"], 2)
}

// A caller that gives up must not make the gateway refuse the calls of all
// others; only a leader that does not answer a probe either is given up.
func TestCallerThatGivesUp(t *testing.T) {
	cases := map[string]struct {
		leader behaviour
		kept   bool
	}{
		"the leader is slow with one call": {
			leader: stalls,
			kept:   true,
		},
		"the leader is frozen": {
			leader: frozen,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, h := newGateway(map[string]behaviour{"a": leads, "b": follows})
			g.Job(context.Background(), &jobwire.JobRequest{})
			// The last answer has to be old to count for nothing.
			time.Sleep(600 * time.Millisecond)
			h.set("a", c.leader)
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			is.Equal(g.Job(ctx, &jobwire.JobRequest{}).GetOutcome(), jobwire.Outcome_OUTCOME_UNKNOWN)
			is.Equal(g.Leader(), "a")
			time.Sleep(promptly)
			is.Equal(g.Leader() == "a", c.kept)
		})
	}
}
