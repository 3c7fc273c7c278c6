package recorder

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// sweepPause is the time between two sweeps of an idle table. Slots in use are
// swept by the table itself.
const sweepPause = time.Minute

var errTimeout = errors.New("recorder: the peer did not answer in time")

// bounded runs a call with a deadline on the recorder's clock.
func bounded[T any](ctx context.Context, r *Recorder, d time.Duration, call func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := r.opts.Clock.NewTimer(d)
	go func() {
		select {
		case <-t.C():
			cancel(errTimeout)
		case <-ctx.Done():
		}
	}()
	defer cancel(nil)
	defer t.Stop()
	return call(ctx)
}

// pause waits for d and reports false when ctx ended first.
func (r *Recorder) pause(ctx context.Context, d time.Duration) bool {
	t := r.opts.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
		return true
	case <-ctx.Done():
		return false
	}
}

// await waits for d, a signal of pending slots or the end of ctx.
func (r *Recorder) await(ctx context.Context, d time.Duration) {
	t := r.opts.Clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C():
	case <-r.wake:
	case <-ctx.Done():
	}
}

// backoff returns the wait before a try, counted from 0.
func backoff(try int) time.Duration {
	return min(firstBackoff<<max(try-1, 0), maxBackoff)
}
