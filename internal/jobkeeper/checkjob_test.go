package jobkeeper_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
)

// A job with absurd numbers was accepted: sums over its tasks, its path and its times overflowed,
// so that it counted as needing less than nothing, or was due before it was accepted.
func TestAbsurdJobIsRefused(t *testing.T) {
	step := func(tasks int32, milliCores, memory, accelerators int64) *jobwire.Step {
		return &jobwire.Step{
			Tasks: tasks,
			Each: &wire.Resources{
				MilliCores:   milliCores,
				MemoryBytes:  memory,
				Accelerators: accelerators,
			},
		}
	}
	lasting := func(estimate time.Duration) *jobwire.Step {
		return &jobwire.Step{
			Tasks:         1,
			EstimateNanos: int64(estimate),
		}
	}
	const year = 365 * 24 * time.Hour
	cases := map[string]struct {
		job   *jobwire.Job
		sound bool
	}{
		"large": {
			job:   &jobwire.Job{Steps: []*jobwire.Step{step(10_000, 64_000, 256<<30, 8), step(1, 256_000, 4<<40, 0)}},
			sound: true,
		},
		"long": {
			job:   &jobwire.Job{Steps: []*jobwire.Step{lasting(10 * year), lasting(time.Hour)}},
			sound: true,
		},
		"every minute for a year": {
			job: &jobwire.Job{
				Steps:            []*jobwire.Step{lasting(time.Second)},
				RepeatCount:      525_600,
				StartAtUnixNanos: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC).UnixNano(),
				IntervalNanos:    int64(time.Minute),
			},
			sound: true,
		},
		"once in the past": {
			job: &jobwire.Job{
				Steps:            []*jobwire.Step{lasting(time.Second)},
				RepeatCount:      1,
				StartAtUnixNanos: 1,
			},
			sound: true,
		},
		"cores beyond any machine": {
			job: &jobwire.Job{Steps: []*jobwire.Step{step(1, math.MaxInt64, 0, 0)}},
		},
		"memory beyond any machine": {
			job: &jobwire.Job{Steps: []*jobwire.Step{step(1, 0, math.MaxInt64, 0)}},
		},
		"accelerators beyond any machine": {
			job: &jobwire.Job{Steps: []*jobwire.Step{step(1, 0, 0, math.MaxInt64)}},
		},
		"memory whose sum overflows": {
			job: &jobwire.Job{Steps: []*jobwire.Step{step(10_000, 0, 1<<50, 0)}},
		},
		"memory whose sum overflows over the steps": {
			job: &jobwire.Job{Steps: []*jobwire.Step{step(3, 0, 1<<50, 0), step(3, 0, 1<<50, 0)}},
		},
		"a run time below zero": {
			job: &jobwire.Job{Steps: []*jobwire.Step{lasting(-1)}},
		},
		"a path that overflows": {
			job: &jobwire.Job{Steps: []*jobwire.Step{lasting(math.MaxInt64), lasting(math.MaxInt64)}},
		},
		"a run time of 200 years": {
			job: &jobwire.Job{Steps: []*jobwire.Step{lasting(200 * year)}},
		},
		"a start below zero": {
			job: &jobwire.Job{
				Steps:            []*jobwire.Step{lasting(1)},
				RepeatCount:      1,
				StartAtUnixNanos: -1,
			},
		},
		"an interval below zero": {
			job: &jobwire.Job{
				Steps:         []*jobwire.Step{lasting(1)},
				RepeatCount:   1,
				IntervalNanos: -1,
			},
		},
		"a last start that overflows": {
			job: &jobwire.Job{
				Steps:         []*jobwire.Step{lasting(1)},
				RepeatCount:   3,
				IntervalNanos: math.MaxInt64 / 2,

				StartAtUnixNanos: 2,
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(jobkeeper.CheckJob(c.job) == nil, c.sound)
		})
	}
}
