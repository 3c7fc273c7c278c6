package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/netutil"

	"github.com/heathermux/heathermux/internal/announcer"
	"github.com/heathermux/heathermux/internal/dashboard"
	"github.com/heathermux/heathermux/internal/ingress"
	"github.com/heathermux/heathermux/internal/operator"
)

const (
	// headerTimeout bounds the reading of a request header, so that slow clients
	// don't occupy connections.
	headerTimeout = 10 * time.Second

	// idleTimeout is how long idle connections are kept. It exceeds the usual
	// interval of polling clients, so that they reuse their connections.
	idleTimeout = 2 * time.Minute
)

func (d *Daemon) openHTTP(context.Context) error {
	listener := d.opts.HTTPListener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", d.opts.Settings.HTTPAddress); err != nil {
			return errors.Wrap(err, "http-address")
		}
	}
	d.listener = netutil.LimitListener(listener, d.opts.Settings.Limits.Connections)
	certificates, err := d.certifier(d.opts.Settings.TLS.HTTP)
	if err != nil {
		return err
	}
	d.http = &http.Server{
		Handler:           d.meter.Wrap(d.closeWhenUnready(d.routes())),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		// Twice the limit of the ingress, whose refusal is clearer than the
		// server's.
		MaxHeaderBytes: 2 * int(d.opts.Settings.Limits.Header),
		ErrorLog:       slog.NewLogLogger(d.opts.Logger.Handler(), slog.LevelDebug),
	}
	if certificates != nil {
		d.http.TLSConfig = certificates.Server()
	}
	return nil
}

func (d *Daemon) routes() http.Handler {
	mux := http.NewServeMux()
	announcements := announcer.NewHandler(d.directory, d.dispatcher, d.jobs.gateway)
	mux.Handle("/v1/upstreams", announcements)
	mux.Handle("/v1/upstreams/", announcements)
	mux.Handle("/v1/workers/", announcements)
	mux.Handle("/v1/job-workers", announcements)
	mux.Handle("/v1/job-workers/", announcements)
	mux.Handle("/v1/", operator.New(operator.Config{
		Control: d.control,
		Status:  d,
		Clock:   d.clock,
	}))
	page := dashboard.New()
	mux.Handle("/status", page)
	mux.Handle("/status/", page)
	mux.Handle("/metrics", d.meter.Handler())
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", d.serveReady)
	callers := d.ingress.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// ServeMux would redirect paths with "//" or "..", which must reach the
		// upstream unchanged.
		if ingress.Handles(r.URL.Path) {
			callers.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// closeWhenUnready sends "Connection: close" with each response once the host is
// unready. Otherwise the shutdown could close a kept-alive connection while a
// request is on its way.
func (d *Daemon) closeWhenUnready(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.ready.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// serveReady answers the load balancer's readiness check. A host without a lease
// still serves open queues, so it stays ready.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
