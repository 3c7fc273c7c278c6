package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/wire"
)

const (
	// unreadyDelay is how long the host continues to serve after it has become
	// unready, so that the load balancer's next health check sees it.
	unreadyDelay = time.Second

	// refusalPeriod is how long new requests are refused, after the accepted ones
	// have completed, before the listener closes.
	refusalPeriod = 500 * time.Millisecond

	// leaveTimeout bounds the wait until the view no longer contains this host. A
	// leader removes it within one follow call and one supervisor round.
	leaveTimeout = 5 * time.Second

	// handoverPeriod is how long the host answers other entry hosts after it has
	// left the view. The new owners of its data fetch every 200 ms.
	handoverPeriod = 2 * time.Second

	// stopTimeout bounds the graceful shutdown after unreadyDelay. It exceeds the
	// default request deadline, so that no accepted request is interrupted.
	stopTimeout = 30 * time.Second
)

// Run serves until ctx ends and then shuts down gracefully: it becomes unready,
// drains requests, closes connections and leaves the view of entry hosts last. If
// a server fails, Run stops without draining and returns the error.
func (d *Daemon) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 2)
	d.spawn(func() { failed <- d.peers.Serve() })
	d.spawn(func() { d.follower.Run(background) })
	d.spawn(func() { d.recorder.Run(background) })
	d.spawn(func() { d.runTicks(background) })
	d.runJobs(background)
	for _, m := range members(d.opts.Settings) {
		if m.GetName() != d.self.GetName() {
			d.spawn(func() { d.directory.Run(background, d.calls, m) })
		}
	}
	if d.supervisor != nil {
		d.spawn(func() { d.supervisor.Run(background) })
	}
	d.spawn(func() { failed <- d.serveHTTP() })
	d.ready.Store(true)
	d.opts.Logger.Info("daemon: serving", "entry-host", d.self.GetName(), "data-centre", d.self.GetDataCentre(),
		"http", d.listener.Addr().String(), "voter", d.voter != nil)
	var err error
	select {
	case <-ctx.Done():
		err = d.stop()
	case err = <-failed:
		err = errors.Wrap(err, "daemon: server")
	}
	cancel()
	d.closeServers()
	d.goroutines.Wait()
	d.closeAll()
	d.opts.Logger.Info("daemon: stopped", "entry-host", d.self.GetName())
	return err
}

func (d *Daemon) spawn(f func()) { d.goroutines.Go(f) }

func (d *Daemon) serveHTTP() error {
	var err error
	if d.http.TLSConfig != nil {
		err = d.http.ServeTLS(d.listener, "", "")
	} else {
		err = d.http.Serve(d.listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// runTicks runs the periodic work of the directory and the dispatcher until ctx ends.
func (d *Daemon) runTicks(ctx context.Context) {
	for {
		d.directory.Tick()
		d.dispatcher.Tick(d.clock.Now())
		t := d.clock.NewTimer(tickInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C():
		}
	}
}

// stop performs the graceful shutdown until no more requests are served and this
// host has left the view.
func (d *Daemon) stop() error {
	d.opts.Logger.Info("daemon: stopping", "entry-host", d.self.GetName())
	d.ready.Store(false)
	sleep(context.Background(), unreadyDelay)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := d.ingress.Drain(ctx); err != nil {
		return errors.Wrap(err, "daemon: drain")
	}
	// Requests on connections that have been idle since the host became unready
	// get a refusal for a while, which is clearer to a client than a reset.
	sleep(ctx, refusalPeriod)
	if err := d.http.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "daemon: shutdown")
	}
	d.leaveView(ctx)
	return nil
}

// leaveView removes this host from the view and waits for handoverPeriod, so that
// the new owners of its idempotency keys and tasks can fetch them. If no leader
// answers, the host stops without leaving, and the others treat it as failed.
func (d *Daemon) leaveView(ctx context.Context) {
	if len(d.follower.View().State.View().GetMembers()) < 2 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := d.follower.Leave(ctx); err != nil {
		d.opts.Logger.Warn("daemon: failed to leave the view of entry hosts; stopping without waiting for the handover of its keys and tasks", "error", err)
		return
	}
	sleep(ctx, handoverPeriod)
}

// closeServers closes the HTTP and the peer server, so that the goroutines of Run
// return.
func (d *Daemon) closeServers() {
	if d.http != nil {
		_ = d.http.Close()
	}
	if d.peers != nil {
		_ = d.peers.Close()
	}
}

// closeAll closes everything that New has opened. Components that New did not
// reach are nil.
func (d *Daemon) closeAll() {
	d.closeServers()
	if d.ingress != nil {
		d.ingress.Close()
	}
	if d.recorder != nil {
		d.recorder.Close()
	}
	d.jobs.close()
	if d.voter != nil {
		_ = d.voter.Close()
	}
	if d.transport != nil {
		d.transport.close()
	}
	if d.client != nil {
		d.client.Close()
	}
	if d.tracer != nil {
		_ = d.tracer.Shutdown(context.Background())
	}
}

// Member returns the name, incarnation, data centre and peer address under which
// the other entry hosts know this one.
func (d *Daemon) Member() *wire.Member { return d.self }
