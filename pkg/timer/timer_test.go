package timer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/pkg/timer"
)

// Guards against timers that fire early, which would end leases too early.
func TestFakeTimer(t *testing.T) {
	tests := map[string]struct {
		wait    time.Duration
		advance time.Duration
		fires   bool
	}{
		"before the timer is due": {
			wait:    2 * time.Second,
			advance: 2*time.Second - 1,
			fires:   false,
		},
		"when the timer is due": {
			wait:    2 * time.Second,
			advance: 2 * time.Second,
			fires:   true,
		},
		"zero duration": {
			wait:  0,
			fires: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.NewFake(time.Unix(0, 0))
			fakeTimer := clock.NewTimer(test.wait)
			clock.Advance(test.advance)
			select {
			case <-fakeTimer.C():
				is.True(test.fires)
			default:
				is.True(!test.fires)
			}
			is.Equal(fakeTimer.Stop(), !test.fires)
		})
	}
}
