package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/wire"
)

const (
	// unreadyPause is how long the host serves on after it has become unready,
	// so that the load balancer's next check sees it.
	unreadyPause = time.Second

	// lingerPause is how long new work is refused before the listener closes.
	lingerPause = 500 * time.Millisecond

	// leaveTimeout bounds the wait for the view without this host. A leader
	// takes it out within one follow call and one supervisor round.
	leaveTimeout = 5 * time.Second

	// handoverPause is how long the host answers other entry hosts after it has
	// left the view. New holders fetch every 200 ms.
	handoverPause = 2 * time.Second

	// stopTimeout bounds the planned stop. It exceeds the default request
	// deadline, so that no accepted request is interrupted.
	stopTimeout = 30 * time.Second
)

// Run serves until ctx ends and then stops in order: unready, drained,
// connections closed, view of entry hosts left last.
func (d *Daemon) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 2)
	d.spawn(func() { failed <- d.peers.Serve() })
	d.spawn(func() { d.follower.Run(background) })
	d.spawn(func() { d.recorder.Run(background) })
	d.spawn(func() { d.tick(background) })
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
	d.tasks.Wait()
	d.release()
	d.opts.Logger.Info("daemon: stopped", "entry-host", d.self.GetName())
	return err
}

func (d *Daemon) spawn(f func()) { d.tasks.Go(f) }

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

// tick drives the parts that need regular rounds.
func (d *Daemon) tick(ctx context.Context) {
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

// stop is the planned stop up to the point where nothing is served any more.
func (d *Daemon) stop() error {
	d.opts.Logger.Info("daemon: stopping", "entry-host", d.self.GetName())
	d.ready.Store(false)
	pause(context.Background(), unreadyPause)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := d.ingress.Drain(ctx); err != nil {
		return errors.Wrap(err, "daemon: drain")
	}
	// Requests on connections that were idle since the host became unready are
	// refused for a while, which is clearer to a client than a reset.
	pause(ctx, lingerPause)
	if err := d.http.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "daemon: shutdown")
	}
	d.leave(ctx)
	return nil
}

// leave takes this host out of the view and stays for handoverPause, so that
// the new holders of its idempotency keys and tasks can fetch them. Without a
// leader the host goes without a word, like one that is lost.
func (d *Daemon) leave(ctx context.Context) {
	if len(d.follower.View().State.View().GetMembers()) < 2 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := d.follower.Leave(ctx); err != nil {
		d.opts.Logger.Warn("daemon: stopping without having left the view", "error", err)
		return
	}
	pause(ctx, handoverPause)
}

// closeServers ends what still serves, so that the goroutines of Run return.
func (d *Daemon) closeServers() {
	if d.http != nil {
		_ = d.http.Close()
	}
	if d.peers != nil {
		_ = d.peers.Close()
	}
}

// release closes what New opened.
func (d *Daemon) release() {
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

// Member returns this entry host as the others know it.
func (d *Daemon) Member() *wire.Member { return d.self }
