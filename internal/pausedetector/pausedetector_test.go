package pausedetector_test

import (
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/pausedetector"
	"github.com/heathermux/heathermux/pkg/timer"
)

// A process that wakes reads what was sent to it meanwhile before its own timers fire. The
// pause must be noticed at the first question, and for the given time after it.
func TestPauseIsNoticedAtOnce(t *testing.T) {
	is := is.New(t)
	clock := timer.NewFake(time.Unix(1000, 0))
	d := pausedetector.New(clock, slog.New(slog.DiscardHandler))
	is.True(!d.PausedWithin(time.Second))
	clock.Advance(100 * time.Millisecond)
	is.True(!d.PausedWithin(time.Second))
	clock.Advance(4 * time.Second)
	is.True(d.PausedWithin(time.Second))
	for range 9 {
		clock.Advance(100 * time.Millisecond)
		is.True(d.PausedWithin(time.Second))
	}
	clock.Advance(100 * time.Millisecond)
	is.True(!d.PausedWithin(time.Second))
}
