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
	// headerTimeout bounds the reading of a request header, so that slow
	// clients do not hold connections.
	headerTimeout = 10 * time.Second

	// idleTimeout is longer than the usual interval of pollers.
	idleTimeout = 2 * time.Minute
)

func (d *Daemon) openHTTP(context.Context) error {
	listener := d.opts.HTTP
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
		Handler:           d.meter.Wrap(d.closing(d.routes())),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		// The ingress refuses with a clearer error than the server.
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
		// ServeMux would redirect paths with "//" or "..", which are the
		// upstream's to interpret.
		if ingress.Handles(r.URL.Path) {
			callers.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// closing asks clients to close their connections after each response once the
// host is unready. A kept connection could be closed by the stop at the moment
// at which a request is on its way.
func (d *Daemon) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !d.ready.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// serveReady tells the load balancer whether to send new connections here.
// Without a lease the host still serves open queues, so it stays ready.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
