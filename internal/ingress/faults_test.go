package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/ingress"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/retrier"
)

// respondRaw returns a handler that sends the text as it is and closes the
// connection.
func respondRaw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		fmt.Fprint(c, text)
		c.Close()
	}
}

// fault is a failure at one step of handling a request.
type fault struct {
	// beforeRequest changes the host before the request arrives, onGranted after
	// the registry has granted it.
	beforeRequest func(s *testHost)
	onGranted     func(s *testHost)
	// firstRun, if set, is the upstream's handler for the first run of a request.
	// A second run succeeds.
	firstRun http.HandlerFunc
	// ran is what the caller must be told about the first run.
	ran ingress.RunStatus
}

func expireLease(s *testHost) { s.setView(testControlState(), -time.Hour) }

func withdrawKey(s *testHost) { s.setView(testControlState().WithoutKey("feeds"), time.Hour) }

func removeUpstreams(s *testHost) { s.setUpstreams() }

func makeUpstreamsUnreachable(s *testHost) {
	for _, u := range s.upstreams {
		u.Address = closedAddress(s.t)
	}
	s.setUpstreams(s.upstreams...)
}

func respondLate(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(400 * time.Millisecond)
	fmt.Fprint(w, "late")
}

const answerTooLarge = "answer: larger than the limit"

// faults returns the faults by name. A name starts with the step that fails.
func faults() map[string]fault {
	all := make(map[string]fault)
	for name, change := range map[string]func(*testHost){
		"accept: lease ended":            expireLease,
		"accept: key withdrawn":          withdrawKey,
		"admit: no upstream":             removeUpstreams,
		"connect: upstreams unreachable": makeUpstreamsUnreachable,
	} {
		all[name] = fault{
			beforeRequest: change,
			ran:           ingress.NotRun,
		}
	}
	for name, change := range map[string]func(*testHost){
		"first byte: lease ended":    expireLease,
		"first byte: key withdrawn":  withdrawKey,
		"choice: no upstream listed": removeUpstreams,
	} {
		all[name] = fault{
			onGranted: change,
			ran:       ingress.NotRun,
		}
	}
	for name, upstream := range map[string]http.HandlerFunc{
		"read: closed before reading": respondRaw(""),
		"answer: cut in the header":   respondRaw("HTTP/1.1 200 OK\r\nContent-"),
		"answer: cut half-way":        respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
		"answer: chunks cut":          respondRaw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
		"answer: of another attempt":  respondRaw("HTTP/1.1 200 OK\r\nHeathermux-Attempt: other\r\nContent-Length: 0\r\n\r\n"),
		"answer: after the deadline":  respondLate,
		answerTooLarge:                respondRaw("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n"),
	} {
		all[name] = fault{
			firstRun: upstream,
			ran:      ingress.RunUnknown,
		}
	}
	large := all[answerTooLarge]
	large.ran = ingress.WasRun
	all[answerTooLarge] = large
	return all
}

// closedAddress returns a loopback address on which no one listens.
func closedAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Each fault is tested with each kind of request: the run members in the response
// must agree with the runs counted by the upstreams, only an idempotent request may
// run twice, and no caller may get the answer of another request. (Invariants
// not-run-true, at-most-once and own-answer.)
func TestFaults(t *testing.T) {
	// The kinds of requests with their Idempotency-Key.
	kinds := map[[2]string]string{
		{"GET", "not keyed"}:  "",
		{"GET", "keyed"}:      "k-1",
		{"POST", "not keyed"}: "",
		{"POST", "keyed"}:     "k-1",
	}
	for name, f := range faults() {
		for kind, key := range kinds {
			if f.onGranted != nil && key == "" {
				continue
			}
			t.Run(fmt.Sprint(name, kind), func(t *testing.T) {
				is := is.New(t)
				s := newTestHost(t)
				var runs atomic.Int64
				serve := func(w http.ResponseWriter, r *http.Request) {
					if runs.Add(1) == 1 && f.firstRun != nil {
						f.firstRun(w, r)
						return
					}
					fmt.Fprint(w, "right")
				}
				s.setUpstreams(s.startUpstream("switch", serve), s.startUpstream("switch", serve))
				if f.beforeRequest != nil {
					f.beforeRequest(s)
				}
				if f.onGranted != nil {
					s.registry.onGranted = func() { f.onGranted(s) }
				}
				header := []string{"Authorization", bearer("feeds"), "Heathermux-Deadline", "300ms"}
				if key != "" {
					header = append(header, "Idempotency-Key", key)
				}
				got := s.send(kind[0], "/q/switch/cycle", nil, header...)
				deadlinePassed := strings.HasPrefix(name, "answer: after")
				if f.ran == ingress.RunUnknown && kind[0] == http.MethodGet && key == "" && !deadlinePassed {
					is.Equal(string(got.body), "right")
					is.Equal(runs.Load(), int64(2))
					return
				}
				is.True(got.problem.Status == got.status && got.status >= 400)
				is.Equal(got.problem.ThisAttempt, f.ran)
				if key == "" {
					is.Equal(got.problem.Run, f.ran)
				}
				// Retry-After is expected where a resend is safe: when nothing
				// was run or with an idempotency key. With a withdrawn API key a
				// resend would be refused again.
				if got.status != http.StatusUnauthorized {
					is.Equal(got.header.Get("Retry-After") != "", f.ran == ingress.NotRun || key != "")
				}
				if f.ran == ingress.NotRun {
					is.Equal(runs.Load(), int64(0))
				} else {
					is.Equal(runs.Load(), int64(1))
				}
				if f.onGranted != nil {
					is.Equal(s.registry.state(), wire.EntryState_ENTRY_STATE_ABANDONED)
				}
				if key == "" {
					return
				}
				// A request with an idempotency key that may have run must not
				// run again on a resend.
				s.setView(testControlState(), time.Hour)
				s.registry.onGranted = nil
				resend := s.send(kind[0], "/q/switch/cycle", nil, header...)
				is.True(runs.Load() <= 1)
				is.Equal(resend.status == http.StatusOK, runs.Load() == 1 && f.ran == ingress.NotRun)
			})
		}
	}
}

// A request that crashes each upstream that reads it must not take down one after the
// other, even if it may be repeated.
func TestRequestThatCrashesUpstreamsIsGivenUp(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t)
	var healthy atomic.Bool
	var crashes atomic.Int64
	crash := func(w http.ResponseWriter, r *http.Request) {
		if healthy.Load() {
			return
		}
		crashes.Add(1)
		respondRaw("")(w, r)
	}
	var upstreams []*wire.Upstream
	for range 6 {
		upstreams = append(upstreams, s.startUpstream("switch", crash))
	}
	s.setUpstreams(upstreams...)
	send := func() response {
		return s.send(http.MethodGet, "/q/switch/cycle", nil, "Authorization", bearer("feeds"), "Heathermux-Deadline", "2s")
	}
	healthy.Store(true)
	for range 30 {
		is.Equal(send().status, http.StatusOK) // earns the tokens for retries
	}
	healthy.Store(false)
	is.Equal(send().problem.ThisAttempt, ingress.RunUnknown)
	is.Equal(crashes.Load(), int64(retrier.MaxInterrupted))
}

// Of several equal concurrent requests with one idempotency key only one may run;
// later ones must get its answer. (Invariant at-most-once.)
func TestResends(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t)
	var runs atomic.Int64
	s.setUpstreams(s.startUpstream("switch", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		is.Equal(r.Header.Get("Idempotency-Key"), "k-1")
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("Receipt", "r-1")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.Copy(w, r.Body)
	}))
	send := func(body string) response {
		return s.send(http.MethodPost, "/q/switch/cycle", []byte(body), "Authorization", bearer("feeds"), "Idempotency-Key", "k-1")
	}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			got := send("cup 7")
			if got.status != http.StatusCreated && got.problemName() != "in-progress" {
				t.Errorf("status %d, %s", got.status, got.problemName())
			}
		})
	}
	wg.Wait()
	got := send("cup 7")
	is.Equal(got.status, http.StatusCreated)
	is.Equal(string(got.body), "cup 7")
	is.Equal(got.header.Get("Receipt"), "r-1")
	is.Equal(got.header.Get("Idempotent-Replayed"), "true")
	is.Equal(send("cup 8").problemName(), "key-reused")
	is.Equal(runs.Load(), int64(1))
}

// A request that the registry does not grant must not run, and the caller must not
// be told that the operation was not run, as an earlier attempt may have run.
func TestRegistryRefusals(t *testing.T) {
	tests := map[wire.BeginOutcome]string{
		wire.BeginOutcome_BEGIN_OUTCOME_UNSPECIFIED: "503 unknown",
		wire.BeginOutcome_BEGIN_OUTCOME_REFUSED:     "503 unknown",
		wire.BeginOutcome_BEGIN_OUTCOME_IN_PROGRESS: "409 unknown",
		wire.BeginOutcome_BEGIN_OUTCOME_FORGOTTEN:   "409 run",
		wire.BeginOutcome_BEGIN_OUTCOME_UNKNOWN:     "409 unknown",
		// Finished, but without a stored answer.
		wire.BeginOutcome_BEGIN_OUTCOME_FINISHED: "409 run",
	}
	for outcome, want := range tests {
		t.Run(outcome.String(), func(t *testing.T) {
			is := is.New(t)
			s := newTestHost(t)
			var runs atomic.Int64
			s.setUpstreams(s.startUpstream("switch", func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
			s.registry.forcedResponse = &wire.BeginResponse{
				Outcome: outcome,
			}
			got := s.send(http.MethodPost, "/q/switch/a", nil, "Authorization", bearer("feeds"), "Idempotency-Key", "k")
			is.Equal(fmt.Sprint(got.status, " ", got.problem.Run), want)
			is.Equal(got.problem.ThisAttempt, ingress.NotRun)
			is.True(got.header.Get("Retry-After") != "")
			is.Equal(runs.Load(), int64(0))
		})
	}
}

// An upstream that is no longer listed must get no new requests, and the request
// that it is running must still be answered. (Invariant leaving-upstream.)
func TestLeavingUpstream(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t)
	var left atomic.Bool
	entered, release := make(chan struct{}), make(chan struct{})
	leaving := s.startUpstream("open", func(w http.ResponseWriter, _ *http.Request) {
		if left.Load() {
			t.Error("request sent to an upstream that is no longer listed")
		}
		close(entered)
		<-release
		fmt.Fprint(w, "last")
	})
	s.setUpstreams(leaving)
	last := make(chan response)
	go func() { last <- s.send(http.MethodPost, "/q/open/a", nil) }()
	<-entered
	left.Store(true)
	s.setUpstreams(s.startUpstream("open", echo))
	for range 20 {
		is.Equal(s.send(http.MethodPost, "/q/open/b", nil).status, http.StatusOK)
	}
	close(release)
	is.Equal(string((<-last).body), "last")
}

// During a drain running and waiting requests must get their answers, and new ones
// must be refused as not run. (Invariant clean-stop.)
func TestDrain(t *testing.T) {
	is := is.New(t)
	s := newTestHost(t)
	entered, release := make(chan struct{}, 10), make(chan struct{})
	u := s.startUpstream("switch", func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-release
		echo(w, r)
	})
	u.Slots = 2
	s.setUpstreams(u)
	send := func() response {
		return s.send(http.MethodPost, "/q/switch/a", nil, "Authorization", bearer("feeds"))
	}
	answers := make(chan response, 6)
	for range 6 {
		go func() { answers <- send() }()
	}
	<-entered
	<-entered
	for s.Demands()[0].GetQueued() < 4 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	is.True(s.Drain(ctx) != nil)
	got := send()
	is.Equal(got.problemName(), "stopping")
	is.Equal(got.problem.Run, ingress.NotRun)
	is.True(got.header.Get("Retry-After") != "")
	got = s.send(http.MethodPost, "/q/switch/a", nil, "Idempotency-Key", "k")
	is.Equal(got.problem.Run, ingress.RunUnknown)
	close(release)
	for range 6 {
		is.Equal(string((<-answers).body), "/a")
	}
	is.NoErr(s.Drain(t.Context()))
}
