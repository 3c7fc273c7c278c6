package timer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/pkg/timer"
)

// A timer that fires early would end a lease before its time.
func TestFakeTimer(t *testing.T) {
	tests := map[string]struct {
		wait    time.Duration
		advance time.Duration
		fires   bool
	}{
		"before its time": {
			wait:    2 * time.Second,
			advance: 2*time.Second - 1,
			fires:   false,
		},
		"at its time": {
			wait:    2 * time.Second,
			advance: 2 * time.Second,
			fires:   true,
		},
		"no wait": {
			wait:  0,
			fires: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.NewFake(time.Unix(0, 0))
			waiting := clock.NewTimer(test.wait)
			clock.Advance(test.advance)
			select {
			case <-waiting.C():
				is.True(test.fires)
			default:
				is.True(!test.fires)
			}
			is.Equal(waiting.Stop(), !test.fires)
		})
	}
}
