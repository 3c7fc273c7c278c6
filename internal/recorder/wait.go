package recorder

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// sweepInterval is the time between two sweeps for expired entries while no slot
// is pending. The table itself sweeps slots that are in use.
const sweepInterval = time.Minute

var errPeerTimeout = errors.New("recorder: the peer did not answer in time")

// callWithTimeout runs call and cancels its context after d, measured on the
// recorder's clock.
func callWithTimeout[T any](ctx context.Context, r *Recorder, d time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := r.opts.Clock.NewTimer(d)
	go func() {
		select {
		case <-t.C():
			cancel(errPeerTimeout)
		case <-ctx.Done():
		}
	}()
	defer cancel(nil)
	defer t.Stop()
	return call(ctx)
}

// sleep waits for d. It returns false if ctx ended first.
func (r *Recorder) sleep(ctx context.Context, d time.Duration) bool {
	t := r.opts.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
		return true
	case <-ctx.Done():
		return false
	}
}

// waitForPending returns after d, when slots become pending, or when ctx ends.
func (r *Recorder) waitForPending(ctx context.Context, d time.Duration) {
	t := r.opts.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-r.wake:
	case <-ctx.Done():
	}
}

// backoff returns the wait before a try; the first try is 0.
func backoff(try int) time.Duration {
	return min(minBackoff<<max(try-1, 0), maxBackoff)
}
