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
)

// says returns a stand-in that sends a text and closes the connection.
func says(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		fmt.Fprint(c, text)
		c.Close()
	}
}

// fault breaks one step of a request's way.
type fault struct {
	// before changes the site before the request arrives, begun after the
	// registry has granted it.
	before func(s *site)
	begun  func(s *site)
	// upstream breaks the first run of a request; the second one succeeds.
	upstream http.HandlerFunc
	// ran tells how far the first run came.
	ran ingress.Ran
}

func loseLease(s *site) { s.setView(controlState(), -time.Hour) }

func withdrawKey(s *site) { s.setView(controlState().WithoutKey("feeds"), time.Hour) }

func removeUpstreams(s *site) { s.setUpstreams() }

func breakUpstreams(s *site) {
	for _, u := range s.upstreams {
		u.Address = closedAddress(s.t)
	}
	s.setUpstreams(s.upstreams...)
}

func late(w http.ResponseWriter, _ *http.Request) {
	time.Sleep(400 * time.Millisecond)
	fmt.Fprint(w, "late")
}

const tooLarge = "answer: larger than the cap"

// faults returns all faults by the step that they break.
func faults() map[string]fault {
	all := make(map[string]fault)
	for name, change := range map[string]func(*site){
		"accept: lease ended":         loseLease,
		"accept: key withdrawn":       withdrawKey,
		"admit: no upstream":          removeUpstreams,
		"connect: upstreams are gone": breakUpstreams,
	} {
		all[name] = fault{
			before: change,
			ran:    ingress.NotRun,
		}
	}
	for name, change := range map[string]func(*site){
		"first byte: lease ended":   loseLease,
		"first byte: key withdrawn": withdrawKey,
		"choice: upstreams left":    removeUpstreams,
	} {
		all[name] = fault{
			begun: change,
			ran:   ingress.NotRun,
		}
	}
	for name, upstream := range map[string]http.HandlerFunc{
		"read: closed before reading": says(""),
		"answer: cut in the header":   says("HTTP/1.1 200 OK\r\nContent-"),
		"answer: cut half-way":        says("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
		"answer: chunks cut":          says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
		"answer: of another attempt":  says("HTTP/1.1 200 OK\r\nHeathermux-Attempt: other\r\nContent-Length: 0\r\n\r\n"),
		"answer: after the deadline":  late,
		tooLarge:                      says("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n"),
	} {
		all[name] = fault{
			upstream: upstream,
			ran:      ingress.Unknown,
		}
	}
	large := all[tooLarge]
	large.ran = ingress.WasRun
	all[tooLarge] = large
	return all
}

func closedAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Invariants not-run-true, at-most-once and own-answer: each fault at each step
// for each kind of request. What the caller is told must match what the
// upstreams counted, and only an idempotent request may run again.
func TestFaults(t *testing.T) {
	// Kinds of requests with the values of Idempotency-Key.
	kinds := map[[2]string]string{
		{"GET", "not keyed"}:  "",
		{"GET", "keyed"}:      "k-1",
		{"POST", "not keyed"}: "",
		{"POST", "keyed"}:     "k-1",
	}
	for name, f := range faults() {
		for kind, key := range kinds {
			if f.begun != nil && key == "" {
				continue
			}
			t.Run(fmt.Sprint(name, kind), func(t *testing.T) {
				is := is.New(t)
				s := newSite(t)
				var runs atomic.Int64
				serve := func(w http.ResponseWriter, r *http.Request) {
					if runs.Add(1) == 1 && f.upstream != nil {
						f.upstream(w, r)
						return
					}
					fmt.Fprint(w, "right")
				}
				s.setUpstreams(s.upstream("switch", serve), s.upstream("switch", serve))
				if f.before != nil {
					f.before(s)
				}
				if f.begun != nil {
					s.registry.hook = func() { f.begun(s) }
				}
				header := []string{"Authorization", bearer("feeds"), "Heathermux-Deadline", "300ms"}
				if key != "" {
					header = append(header, "Idempotency-Key", key)
				}
				got := s.send(kind[0], "/q/switch/cycle", nil, header...)
				late := strings.HasPrefix(name, "answer: after")
				if f.ran == ingress.Unknown && kind[0] == http.MethodGet && key == "" && !late {
					is.Equal(string(got.body), "right")
					is.Equal(runs.Load(), int64(2))
					return
				}
				is.True(got.problem.Status == got.status && got.status >= 400)
				is.Equal(got.problem.ThisAttempt, f.ran)
				if key == "" {
					is.Equal(got.problem.Run, f.ran)
				}
				// A resend is safe when nothing ran or when there is a key. It
				// is of no use with a key that was withdrawn.
				if got.status != http.StatusUnauthorized {
					is.Equal(got.header.Get("Retry-After") != "", f.ran == ingress.NotRun || key != "")
				}
				if f.ran == ingress.NotRun {
					is.Equal(runs.Load(), int64(0))
				} else {
					is.Equal(runs.Load(), int64(1))
				}
				if f.begun != nil {
					is.Equal(s.registry.state(), wire.EntryState_ENTRY_STATE_ABANDONED)
				}
				if key == "" {
					return
				}
				// The resend of a keyed request that may have run must not run.
				s.setView(controlState(), time.Hour)
				s.registry.hook = nil
				resend := s.send(kind[0], "/q/switch/cycle", nil, header...)
				is.True(runs.Load() <= 1)
				is.Equal(resend.status == http.StatusOK, runs.Load() == 1 && f.ran == ingress.NotRun)
			})
		}
	}
}

// Invariant at-most-once: of any number of equal keyed requests at once, one
// runs, and the later ones get its answer.
func TestResends(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	var runs atomic.Int64
	s.setUpstreams(s.upstream("switch", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		is.Equal(r.Header.Get("Idempotency-Key"), "k-1")
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("Receipt", "r-1")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.Copy(w, r.Body)
	}))
	send := func(body string) reply {
		return s.send(http.MethodPost, "/q/switch/cycle", []byte(body), "Authorization", bearer("feeds"), "Idempotency-Key", "k-1")
	}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			got := send("cup 7")
			if got.status != http.StatusCreated && got.name() != "in-progress" {
				t.Errorf("status %d, %s", got.status, got.name())
			}
		})
	}
	wg.Wait()
	got := send("cup 7")
	is.Equal(got.status, http.StatusCreated)
	is.Equal(string(got.body), "cup 7")
	is.Equal(got.header.Get("Receipt"), "r-1")
	is.Equal(got.header.Get("Idempotent-Replayed"), "true")
	is.Equal(send("cup 8").name(), "key-reused")
	is.Equal(runs.Load(), int64(1))
}

// A registry that does not grant must keep the request from running, and the
// caller must not be told that the operation was not run.
func TestRegistryRefusals(t *testing.T) {
	tests := map[wire.BeginOutcome]string{
		wire.BeginOutcome_BEGIN_OUTCOME_UNSPECIFIED: "503 unknown",
		wire.BeginOutcome_BEGIN_OUTCOME_REFUSED:     "503 unknown",
		wire.BeginOutcome_BEGIN_OUTCOME_IN_PROGRESS: "409 unknown",
		wire.BeginOutcome_BEGIN_OUTCOME_FORGOTTEN:   "409 run",
		wire.BeginOutcome_BEGIN_OUTCOME_UNKNOWN:     "409 unknown",
		// Finished, but without the answer.
		wire.BeginOutcome_BEGIN_OUTCOME_FINISHED: "409 run",
	}
	for outcome, want := range tests {
		t.Run(outcome.String(), func(t *testing.T) {
			is := is.New(t)
			s := newSite(t)
			var runs atomic.Int64
			s.setUpstreams(s.upstream("switch", func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
			s.registry.reply = &wire.BeginResponse{
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

// Invariant leaving-upstream: an upstream that is no longer listed gets no new
// work, and what it runs is answered.
func TestLeavingUpstream(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	var left atomic.Bool
	entered, goOn := make(chan struct{}), make(chan struct{})
	leaving := s.upstream("open", func(w http.ResponseWriter, _ *http.Request) {
		if left.Load() {
			t.Error("work after leaving")
		}
		close(entered)
		<-goOn
		fmt.Fprint(w, "last")
	})
	s.setUpstreams(leaving)
	last := make(chan reply)
	go func() { last <- s.send(http.MethodPost, "/q/open/a", nil) }()
	<-entered
	left.Store(true)
	s.setUpstreams(s.upstream("open", echo))
	for range 20 {
		is.Equal(s.send(http.MethodPost, "/q/open/b", nil).status, http.StatusOK)
	}
	close(goOn)
	is.Equal(string((<-last).body), "last")
}

// Invariant clean-stop: a drain must end running and waiting requests with
// their answers and refuse new ones as not run.
func TestCleanStop(t *testing.T) {
	is := is.New(t)
	s := newSite(t)
	entered, goOn := make(chan struct{}, 10), make(chan struct{})
	u := s.upstream("switch", func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-goOn
		echo(w, r)
	})
	u.Slots = 2
	s.setUpstreams(u)
	send := func() reply {
		return s.send(http.MethodPost, "/q/switch/a", nil, "Authorization", bearer("feeds"))
	}
	answers := make(chan reply, 6)
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
	is.Equal(got.name(), "stopping")
	is.Equal(got.problem.Run, ingress.NotRun)
	is.True(got.header.Get("Retry-After") != "")
	got = s.send(http.MethodPost, "/q/switch/a", nil, "Idempotency-Key", "k")
	is.Equal(got.problem.Run, ingress.Unknown)
	close(goOn)
	for range 6 {
		is.Equal(string((<-answers).body), "/a")
	}
	is.NoErr(s.Drain(t.Context()))
}
