package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// link is a proxy in front of a minion. It can hold up a call, which the minion that is
// there by then carries out later. Without a minion it is silent.
type link struct {
	server *http.Server

	mu     sync.Mutex
	target *minion
	// cut is true while nothing passes in either direction.
	cut bool
	// holds reports whether a call is held up; nil holds none.
	holds func(call heldCall) bool
}

// heldCall is a call that got no answer.
type heldCall struct {
	link   *link
	method string
	path   string
	header http.Header
	body   []byte
}

// newLink listens at the address of a minion.
func newLink(address string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{}
	l.server = &http.Server{
		Handler:           l,
		ReadHeaderTimeout: time.Second,
	}
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

func (l *link) connect(m *minion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = m
}

func (l *link) setHolds(holds func(call heldCall) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holds = holds
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *link) state() (*minion, func(call heldCall) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target, l.holds
}

// ServeHTTP passes a call on, holds it up, or leaves it unanswered.
func (l *link) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	target, holds := l.state()
	call := heldCall{
		link:   l,
		method: r.Method,
		path:   r.URL.Path,
		header: r.Header.Clone(),
		body:   body,
	}
	if target == nil || l.isCut() || holds != nil && holds(call) {
		<-r.Context().Done()
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	answer := httptest.NewRecorder()
	target.mux.ServeHTTP(answer, r)
	if l.isCut() {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// deliver has the minion that is there now carry out the call. Nobody gets the answer.
func (c heldCall) deliver(ctx context.Context) int {
	target, _ := c.link.state()
	if target == nil {
		return 0
	}
	r := httptest.NewRequestWithContext(ctx, c.method, "http://minion"+c.path, bytes.NewReader(c.body))
	r.Header = c.header
	w := httptest.NewRecorder()
	target.mux.ServeHTTP(w, r)
	return w.Code
}
