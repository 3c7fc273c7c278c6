package prober_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/prober"
)

var settings = prober.Settings{
	AnsweredInterval:  100 * time.Millisecond,
	FailedInterval:    25 * time.Millisecond,
	IntervalPerTarget: time.Millisecond,
	MaxAtOnce:         64,
}

// step is the time between two calls of Due.
const step = 25 * time.Millisecond

// play probes targets whose probes end after the given time each, and returns how often.
func play(targets int, probeTime, watched time.Duration, answers bool) (probes int, last time.Duration) {
	start := time.Unix(0, 0)
	s := prober.New[string](settings)
	for i := range targets {
		key := fmt.Sprint(i)
		s.Watch(key, key, start.Add(watched))
	}
	ends := make(map[string]time.Time)
	for now := start; now.Before(start.Add(2 * watched)); now = now.Add(step) {
		for key, at := range ends {
			if !now.Before(at) {
				delete(ends, key)
				s.Answered(key, answers, now)
			}
		}
		for _, p := range s.Due(now) {
			probes++
			last = now.Sub(start)
			ends[p.Target] = now.Add(probeTime)
		}
	}
	return probes, last
}

// A target that is away must be probed again soon, each target only for as long as it is
// watched, and thousands of dark targets must not take more probes than the bound.
func TestProbesAreFrequentAndBounded(t *testing.T) {
	tests := map[string]struct {
		targets   int
		probeTime time.Duration
		answers   bool
		min, max  int
	}{
		"one target that refuses connections": {targets: 1, probeTime: time.Millisecond, min: 190, max: 400},
		"one silent target":                   {targets: 1, probeTime: 250 * time.Millisecond, min: 30, max: 40},
		"one target that holds its answers":   {targets: 1, probeTime: 700 * time.Millisecond, answers: true, min: 12, max: 13},
		"116 that refuse connections":         {targets: 116, probeTime: time.Millisecond, min: 7000, max: 11_600},
		"116 silent ones":                     {targets: 116, probeTime: 250 * time.Millisecond, min: 3000, max: 5000},
		"2,200 that refuse connections":       {targets: 2200, probeTime: time.Millisecond, min: 9000, max: 12_200},
		"2,200 silent ones":                   {targets: 2200, probeTime: 250 * time.Millisecond, min: 8000, max: 12_200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			probes, last := play(test.targets, test.probeTime, 10*time.Second, test.answers)
			t.Logf("%d probes in 10 s", probes)
			is.True(probes >= test.min)
			is.True(probes <= test.max)
			is.True(last < 10*time.Second)
		})
	}
}

// What is known of a target must reach the next probe: how it is reached now, and that it is
// watched for longer.
func TestWatchedTargetFollowsUpdates(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := prober.New[string](settings)
	s.Update("a", "nobody asked for")
	is.Equal(s.Len(), 0)
	s.Watch("a", "first", now.Add(time.Second))
	_, pending := s.Next()
	is.True(pending)
	is.Equal(s.Due(now), []prober.Probe[string]{{Target: "first"}})
	_, pending = s.Next()
	is.True(!pending) // one probe at a time
	s.Update("a", "second")
	s.Watch("a", "second", now.Add(time.Millisecond)) // no shorter
	s.Answered("a", true, now)
	at, _ := s.Next()
	is.Equal(at, now.Add(settings.AnsweredInterval))
	is.Equal(s.Due(at), []prober.Probe[string]{{Target: "second", Answers: true}})
	is.Equal(s.Due(now.Add(time.Second)), nil)
	is.Equal(s.Len(), 0)
}
