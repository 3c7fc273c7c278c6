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

// hijack takes over the connection of a stand-in.
func hijack(w http.ResponseWriter) net.Conn {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	return c
}

// fault breaks one step of a request's way.
type fault struct {
	// before changes the site before the request arrives, begun after the
	// registry has granted it.
	before func(s *site)
	begun  func(s *site)
	// upstream breaks the first run of a request; the second one succeeds.
	upstream func(w http.ResponseWriter, r *http.Request)
	// ran tells how far the first run came.
	ran ingress.Ran
}

func loseLease(s *site) { s.setView(controlState(), -time.Hour) }

func withdrawKey(s *site) { s.setView(controlState().WithoutKey("feeds"), time.Hour) }

// faults by the step that they break.
var faults = map[string]fault{
	"accept: lease ended": {
		before: loseLease,
		ran:    ingress.NotRun,
	},
	"accept: key withdrawn": {
		before: withdrawKey,
		ran:    ingress.NotRun,
	},
	"admit: no upstream": {
		before: func(s *site) { s.setUpstreams() },
		ran:    ingress.NotRun,
	},
	"connect: upstreams are gone": {
		before: func(s *site) {
			for _, u := range s.upstreams {
				u.Address = closedAddress(s.t)
			}
			s.setUpstreams(s.upstreams...)
		},
		ran: ingress.NotRun,
	},
	"first byte: lease ended": {
		begun: loseLease,
		ran:   ingress.NotRun,
	},
	"first byte: key withdrawn": {
		begun: withdrawKey,
		ran:   ingress.NotRun,
	},
	"read: closed before reading": {
		upstream: func(w http.ResponseWriter, _ *http.Request) { hijack(w).Close() },
		ran:      ingress.Unknown,
	},
	"answer: cut in the header": {
		upstream: func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-")
			c.Close()
		},
		ran: ingress.Unknown,
	},
	"answer: cut half-way": {
		upstream: func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
			c.Close()
		},
		ran: ingress.Unknown,
	},
	"answer: chunks cut": {
		upstream: func(w http.ResponseWriter, _ *http.Request) {
			c := hijack(w)
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
			c.Close()
		},
		ran: ingress.Unknown,
	},
	"answer: of another attempt": {
		upstream: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Heathermux-Attempt", "another")
			fmt.Fprint(w, "wrong")
		},
		ran: ingress.Unknown,
	},
	"answer: after the deadline": {
		upstream: func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(400 * time.Millisecond)
			fmt.Fprint(w, "late")
		},
		ran: ingress.Unknown,
	},
	"answer: larger than the cap": {
		upstream: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "9000000")
			_, _ = w.Write(make([]byte, 9000000))
		},
		ran: ingress.WasRun,
	},
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
	kinds := map[string]struct {
		method     string
		key        string
		idempotent bool
	}{
		"GET": {
			method:     http.MethodGet,
			idempotent: true,
		},
		"POST": {method: http.MethodPost},
		"keyed GET": {
			method: http.MethodGet,
			key:    "k-1",
		},
		"keyed POST": {
			method: http.MethodPost,
			key:    "k-1",
		},
	}
	for name, f := range faults {
		for kind, k := range kinds {
			if f.begun != nil && k.key == "" {
				continue
			}
			t.Run(name+"/"+kind, func(t *testing.T) {
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
				if k.key != "" {
					header = append(header, "Idempotency-Key", k.key)
				}
				got := s.send(k.method, "/q/switch/cycle", nil, header...)
				late := strings.HasPrefix(name, "answer: after") || f.ran == ingress.WasRun
				if f.ran != ingress.NotRun && k.idempotent && !late {
					is.Equal(string(got.body), "right")
					is.Equal(runs.Load(), int64(2))
					return
				}
				is.True(got.problem.Status == got.status && got.status >= 400)
				is.Equal(got.problem.ThisAttempt, f.ran)
				if k.key == "" {
					is.Equal(got.problem.Run, f.ran)
				}
				// A resend is safe when nothing ran or when there is a key. It
				// is of no use with a key that was withdrawn.
				if got.status != http.StatusUnauthorized {
					is.Equal(got.header.Get("Retry-After") != "", f.ran == ingress.NotRun || k.key != "")
				}
				if f.ran == ingress.NotRun {
					is.Equal(runs.Load(), int64(0))
				} else {
					is.Equal(runs.Load(), int64(1))
				}
				if f.begun != nil {
					is.Equal(s.registry.state(), wire.EntryState_ENTRY_STATE_ABANDONED)
				}
				if k.key == "" {
					return
				}
				// The resend of a keyed request that may have run must not run.
				s.setView(controlState(), time.Hour)
				s.registry.hook = nil
				resend := s.send(k.method, "/q/switch/cycle", nil, header...)
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
	tests := map[string]struct {
		reply  *wire.BeginResponse
		status int
		run    ingress.Ran
	}{
		"no reply":    {nil, 503, ingress.Unknown},
		"refused":     {&wire.BeginResponse{Outcome: wire.BeginOutcome_BEGIN_OUTCOME_REFUSED}, 503, ingress.Unknown},
		"in progress": {&wire.BeginResponse{Outcome: wire.BeginOutcome_BEGIN_OUTCOME_IN_PROGRESS}, 409, ingress.Unknown},
		"forgotten":   {&wire.BeginResponse{Outcome: wire.BeginOutcome_BEGIN_OUTCOME_FORGOTTEN}, 409, ingress.WasRun},
		"unknown":     {&wire.BeginResponse{Outcome: wire.BeginOutcome_BEGIN_OUTCOME_UNKNOWN}, 409, ingress.Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t)
			var runs atomic.Int64
			s.setUpstreams(s.upstream("switch", func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
			s.registry.script = []*wire.BeginResponse{test.reply}
			got := s.send(http.MethodPost, "/q/switch/a", nil, "Authorization", bearer("feeds"), "Idempotency-Key", "k")
			is.Equal(got.status, test.status)
			is.Equal(got.problem.Run, test.run)
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
