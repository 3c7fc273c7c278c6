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

// fakeHosts is a group of hosts with configurable behaviours.
type fakeHosts struct {
	mu sync.Mutex
	// behaviours holds how each host handles calls, by name.
	behaviours map[string]behaviour
	// calls counts the calls of submitters by host.
	calls map[string]int
}

// behaviour is how a host handles calls.
type behaviour int

const (
	leads behaviour = iota
	follows
	frozen
	down
	// unconfigured is a leader without a configuration.
	unconfigured
	// full is a leader that turns submissions away.
	full
	// withdrawn is a leader that no longer knows the key.
	withdrawn
	// losesLeadership is a leader that loses leadership before the log entry of a
	// call is committed.
	losesLeadership
	// reads follows, and answers reads of job states.
	reads
	// cannotEncode is a leader for which calls of submitters can't be encoded.
	cannotEncode
	// stallsJobCalls is a leader that does not answer calls of submitters.
	stallsJobCalls
)

func (h *fakeHosts) set(name string, b behaviour) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.behaviours[name] = b
}

// Call implements jobgateway.Caller.
func (h *fakeHosts) Call(ctx context.Context, host, _ string, request, response proto.Message) error {
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
	case stallsJobCalls:
		if _, ok := request.(*jobwire.JobRequest); ok {
			<-ctx.Done()
			return ctx.Err()
		}
	case down:
		return errors.Wrap(messenger.ErrUnreachable, host)
	case cannotEncode:
		if _, ok := request.(*jobwire.JobRequest); ok {
			return errors.Wrap(messenger.ErrNotEncodable, host)
		}
	case unconfigured:
		outcome = jobwire.Outcome_OUTCOME_UNAVAILABLE
	case full:
		outcome = jobwire.Outcome_OUTCOME_TOO_MANY
	case withdrawn:
		outcome = jobwire.Outcome_OUTCOME_UNAUTHORIZED
	case losesLeadership:
		outcome = jobwire.Outcome_OUTCOME_UNKNOWN
	case follows:
		outcome = jobwire.Outcome_OUTCOME_NOT_LEADER
	case reads:
		if r, ok := request.(*jobwire.JobRequest); !ok || r.GetGet() == nil {
			outcome = jobwire.Outcome_OUTCOME_NOT_LEADER
		}
	}
	switch r := response.(type) {
	case *jobwire.JobResponse:
		r.Outcome = outcome
	case *jobwire.ControlResponse:
		r.Outcome = outcome
	}
	return nil
}

func newGateway(behaviours map[string]behaviour) (*jobgateway.Gateway, *fakeHosts) {
	return newReadingGateway(behaviours, false)
}

// newReadingGateway returns a gateway that may send reads to followers.
func newReadingGateway(behaviours map[string]behaviour, readFromFollowers bool) (*jobgateway.Gateway, *fakeHosts) {
	h := &fakeHosts{
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

		ReadFromFollowers: readFromFollowers,
	}), h
}

// promptLimit is the time limit of an answer that waits only for the search for a
// leader. A call that waits for a host that does not answer takes at least 700 ms.
const promptLimit = 600 * time.Millisecond

// Guards against outcomes that are false and against answers that come too late.
func TestOutcomes(t *testing.T) {
	cases := map[string]struct {
		before, after map[string]behaviour
		outcome       jobwire.Outcome
		within        time.Duration
	}{
		"the leader answers": {
			before:  map[string]behaviour{"a": follows, "b": leads, "c": frozen},
			outcome: jobwire.Outcome_OUTCOME_OK,
			within:  promptLimit,
		},
		"no host leads, so nothing was sent": {
			before:  map[string]behaviour{"a": follows, "b": follows, "c": frozen},
			outcome: jobwire.Outcome_OUTCOME_UNAVAILABLE,
			within:  promptLimit,
		},
		"no host can be reached": {
			before:  map[string]behaviour{"a": down, "b": down, "c": down},
			outcome: jobwire.Outcome_OUTCOME_UNAVAILABLE,
			within:  promptLimit,
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
			after:   map[string]behaviour{"a": losesLeadership, "b": unconfigured},
			outcome: jobwire.Outcome_OUTCOME_UNKNOWN,
			within:  1700 * time.Millisecond,
		},
		"what may be accepted is not turned away by the next leader": {
			before:  map[string]behaviour{"a": leads, "b": follows, "c": follows},
			after:   map[string]behaviour{"a": losesLeadership, "b": full},
			outcome: jobwire.Outcome_OUTCOME_UNKNOWN,
			within:  promptLimit,
		},
		"what may be accepted is not refused for its key by the next leader": {
			before:  map[string]behaviour{"a": leads, "b": follows, "c": follows},
			after:   map[string]behaviour{"a": losesLeadership, "b": withdrawn},
			outcome: jobwire.Outcome_OUTCOME_UNKNOWN,
			within:  promptLimit,
		},
		"what was not sent before is turned away": {
			before:  map[string]behaviour{"a": full, "b": follows, "c": follows},
			outcome: jobwire.Outcome_OUTCOME_TOO_MANY,
			within:  promptLimit,
		},
		"a leader without a configuration refuses": {
			before:  map[string]behaviour{"a": unconfigured, "b": follows},
			outcome: jobwire.Outcome_OUTCOME_UNAVAILABLE,
			within:  promptLimit,
		},
		"the leader goes down and another leads": {
			before:  map[string]behaviour{"a": leads, "b": follows, "c": follows},
			after:   map[string]behaviour{"a": down, "b": leads},
			outcome: jobwire.Outcome_OUTCOME_OK,
			within:  promptLimit,
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
			start := time.Now()
			resp := g.Job(context.Background(), &jobwire.JobRequest{
				Call: &jobwire.JobRequest_Submit{
					Submit: &jobwire.Job{},
				},
			})
			is.Equal(resp.GetOutcome(), c.outcome)
			is.True(time.Since(start) < c.within)
		})
	}
}

// A read of the configuration that a frozen leader held back must end without an answer,
// not with the configuration of the next leader: reads that were sent after it had been
// answered by an older one meanwhile. Other calls, and reads of a leader that was only
// lost, are answered by the next leader.
func TestHeldConfigurationReadIsNotAnswered(t *testing.T) {
	read := &jobwire.ControlRequest{
		Call: &jobwire.ControlRequest_Read{
			Read: &jobwire.ReadConfiguration{},
		},
	}
	cases := map[string]struct {
		request *jobwire.ControlRequest
		former  behaviour
		outcome jobwire.Outcome
	}{
		"read held by a frozen leader": {
			request: read,
			former:  frozen,
			outcome: jobwire.Outcome_OUTCOME_UNAVAILABLE,
		},
		"read of a leader that has lost its lead": {
			request: read,
			former:  losesLeadership,
			outcome: jobwire.Outcome_OUTCOME_OK,
		},
		"read that could not be sent": {
			request: read,
			former:  down,
			outcome: jobwire.Outcome_OUTCOME_OK,
		},
		"change held by a frozen leader": {
			request: &jobwire.ControlRequest{
				Call: &jobwire.ControlRequest_Configure{
					Configure: &jobwire.Configuration{},
				},
			},
			former:  frozen,
			outcome: jobwire.Outcome_OUTCOME_OK,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, h := newGateway(map[string]behaviour{"a": leads, "b": follows})
			is.Equal(g.Control(context.Background(), read).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
			h.set("a", c.former)
			h.set("b", leads)
			is.Equal(g.Control(context.Background(), c.request).GetOutcome(), c.outcome)
		})
	}
}

// Once a leader is known to be frozen, further calls must be told at once to retry
// later instead of waiting for it as the first ones did.
func TestCallsAreNotHeldForFrozenLeader(t *testing.T) {
	is := is.New(t)
	g, h := newGateway(map[string]behaviour{"a": leads, "b": follows})
	g.Job(context.Background(), &jobwire.JobRequest{})
	h.set("a", frozen)
	g.Job(context.Background(), &jobwire.JobRequest{})
	start := time.Now()
	resp := g.Job(context.Background(), &jobwire.JobRequest{})
	is.Equal(resp.GetOutcome(), jobwire.Outcome_OUTCOME_UNAVAILABLE)
	is.True(resp.GetRetryAfterNanos() > 0)
	is.True(time.Since(start) < promptLimit)
	is.Equal(h.calls["a"], 2)
}

// A caller that cancels its call must not make the gateway refuse all other calls:
// the leader is dropped only if it does not answer a probe either.
func TestCancelledCallKeepsLeader(t *testing.T) {
	cases := map[string]struct {
		leader behaviour
		kept   bool
	}{
		"the leader is slow with one call": {
			leader: stallsJobCalls,
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
			// Only a leader whose last answer is old enough is probed.
			time.Sleep(600 * time.Millisecond)
			h.set("a", c.leader)
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			is.Equal(g.Job(ctx, &jobwire.JobRequest{}).GetOutcome(), jobwire.Outcome_OUTCOME_UNKNOWN)
			is.Equal(g.Leader(), "a")
			time.Sleep(promptLimit)
			is.Equal(g.Leader() == "a", c.kept)
		})
	}
}

// Whether a queue is there is told by the configuration too: a read of its length that a
// frozen leader held back must not be answered by the next one. Reads of a job's state are.
func TestHeldQueueReadIsNotAnswered(t *testing.T) {
	cases := map[string]struct {
		path    string
		outcome jobwire.Outcome
	}{
		"length of a queue": {
			path:    "/q/",
			outcome: jobwire.Outcome_OUTCOME_UNKNOWN,
		},
		"state of a job": {
			path:    "/q/1",
			outcome: jobwire.Outcome_OUTCOME_OK,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, h := newGateway(map[string]behaviour{"a": leads, "b": follows})
			is.Equal(g.Job(context.Background(), stateRead(c.path)).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
			h.set("a", frozen)
			h.set("b", leads)
			is.Equal(g.Job(context.Background(), stateRead(c.path)).GetOutcome(), c.outcome)
		})
	}
}

// A call that can't be encoded says nothing about the leader. If the gateway dropped the leader
// for it, the calls of all others would wait for a search.
func TestCallThatCannotBeEncodedKeepsLeader(t *testing.T) {
	is := is.New(t)
	g, h := newGateway(map[string]behaviour{
		"a": cannotEncode,
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.Equal(g.Control(ctx, &jobwire.ControlRequest{}).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
	is.Equal(g.Leader(), "a")
	is.Equal(g.Job(ctx, &jobwire.JobRequest{}).GetOutcome(), jobwire.Outcome_OUTCOME_UNAVAILABLE)
	is.Equal(g.Leader(), "a")
	is.Equal(h.calls["a"], 1)
}
