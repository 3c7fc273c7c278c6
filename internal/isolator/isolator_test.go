package isolator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/isolator"
)

// shared returns a crash of a worker that had other runs.
func shared(run uint64) isolator.Crash {
	return isolator.Crash{
		Run: run,
		Circumstances: isolator.Circumstances{
			Begun: true,
		},
	}
}

// alone returns a crash of a worker that had no other run.
func alone(run uint64) isolator.Crash {
	return isolator.Crash{
		Run: run,
		Circumstances: isolator.Circumstances{
			Alone: true,
			Begun: true,
		},
	}
}

// bystander returns a crash of a worker that had just started a suspect.
func bystander(run uint64) isolator.Crash {
	return isolator.Crash{
		Run: run,
		Circumstances: isolator.Circumstances{
			Bystander: true,
			Begun:     true,
		},
	}
}

// prompt returns a crash of a worker just after it was ordered to start its only run.
func prompt(run uint64) isolator.Crash {
	return isolator.Crash{
		Run: run,
		Circumstances: isolator.Circumstances{
			Alone:  true,
			Prompt: true,
			Begun:  true,
		},
	}
}

// sole returns a crash of a worker just after it was ordered to start a run, beside
// others that had run for longer.
func sole(run uint64) isolator.Crash { return oneOf(run, 1) }

// oneOf returns a crash of a worker just after it was ordered to start so many runs.
func oneOf(run uint64, suspects int32) isolator.Crash {
	return isolator.Crash{
		Run: run,
		Circumstances: isolator.Circumstances{
			Prompt:   true,
			Suspects: suspects,
			Begun:    true,
		},
	}
}

// soleAlone returns a crash of a worker just after it was ordered to start its only run.
func soleAlone(run uint64) isolator.Crash {
	return isolator.Crash{
		Run: run,
		Circumstances: isolator.Circumstances{
			Alone:    true,
			Prompt:   true,
			Suspects: 1,
			Begun:    true,
		},
	}
}

// unanswered returns a crash whose run the worker has not confirmed.
func unanswered(c isolator.Crash) isolator.Crash {
	c.Begun = false
	return c
}

// together returns a crash that came with that of another worker.
func together(c isolator.Crash) isolator.Crash {
	c.Others = 1
	return c
}

// after returns a crash so long after the start of the run.
func after(lived time.Duration, c isolator.Crash) isolator.Crash {
	c.Lived = lived
	return c
}

// A harmless task that ran beside a deadly one is isolated and not given up: only
// crashes with the task alone count for that, and one of them is not enough.
func TestTreatment(t *testing.T) {
	tests := map[string]struct {
		crashes []isolator.Crash
		want    isolator.Treatment
	}{
		"no crash": {
			want: isolator.Normal,
		},
		"one beside others": {
			crashes: []isolator.Crash{shared(1)},
			want:    isolator.Watched,
		},
		"one alone": {
			crashes: []isolator.Crash{alone(1)},
			want:    isolator.Watched,
		},
		"two beside others": {
			crashes: []isolator.Crash{shared(1), shared(2)},
			want:    isolator.Isolated,
		},
		"two beside a suspect": {
			crashes: []isolator.Crash{bystander(1), bystander(2)},
			want:    isolator.Watched,
		},
		"one of two beside a suspect": {
			crashes: []isolator.Crash{shared(1), bystander(2)},
			want:    isolator.Watched,
		},
		"three beside a suspect": {
			crashes: []isolator.Crash{bystander(1), bystander(2), bystander(3)},
			want:    isolator.Isolated,
		},
		"five beside others": {
			crashes: []isolator.Crash{shared(1), shared(2), shared(3), shared(4), shared(5)},
			want:    isolator.Isolated,
		},
		"one run reported three times": {
			crashes: []isolator.Crash{alone(4), alone(4), alone(4)},
			want:    isolator.Watched,
		},
		"two alone": {
			crashes: []isolator.Crash{alone(1), alone(2)},
			want:    isolator.Isolated,
		},
		"one of three alone": {
			crashes: []isolator.Crash{shared(1), alone(3), shared(2)},
			want:    isolator.Isolated,
		},
		"two of three alone, long after their starts": {
			crashes: []isolator.Crash{alone(3), shared(1), alone(2)},
			want:    isolator.Isolated,
		},
		"two of three alone, just after their starts": {
			crashes: []isolator.Crash{prompt(3), shared(1), prompt(2)},
			want:    isolator.GivenUp,
		},
		"two alone, one of them just after its start": {
			crashes: []isolator.Crash{shared(1), shared(2), prompt(3), alone(4)},
			want:    isolator.GivenUp,
		},
		"three alone": {
			crashes: []isolator.Crash{shared(1), alone(2), alone(3), alone(4)},
			want:    isolator.GivenUp,
		},
		"five, one of them alone": {
			crashes: []isolator.Crash{shared(1), shared(2), shared(3), alone(4), shared(5)},
			want:    isolator.GivenUp,
		},
		"the only one that was just started": {
			crashes: []isolator.Crash{sole(1)},
			want:    isolator.Isolated,
		},
		"one of a few that were just started": {
			crashes: []isolator.Crash{oneOf(1, isolator.FewSuspects)},
			want:    isolator.Isolated,
		},
		"one of many that were just started": {
			crashes: []isolator.Crash{oneOf(1, isolator.FewSuspects+1)},
			want:    isolator.Watched,
		},
		"twice the only one, never alone": {
			crashes: []isolator.Crash{sole(1), sole(2)},
			want:    isolator.Isolated,
		},
		"twice the only one, once alone": {
			crashes: []isolator.Crash{sole(1), soleAlone(2)},
			want:    isolator.GivenUp,
		},
		"one of a few, then alone": {
			crashes: []isolator.Crash{oneOf(1, isolator.FewSuspects), soleAlone(2)},
			want:    isolator.GivenUp,
		},
		"one of many, then alone": {
			crashes: []isolator.Crash{oneOf(1, isolator.FewSuspects+1), soleAlone(2)},
			want:    isolator.Isolated,
		},
		"one of a few that may not have begun, then alone": {
			crashes: []isolator.Crash{unanswered(oneOf(1, isolator.FewSuspects)), soleAlone(2)},
			want:    isolator.Isolated,
		},
		"one of a few, then alone for long": {
			crashes: []isolator.Crash{oneOf(1, isolator.FewSuspects), alone(2)},
			want:    isolator.Isolated,
		},
		"once alone": {
			crashes: []isolator.Crash{soleAlone(1)},
			want:    isolator.Isolated,
		},
		"twice the only one, once alone, one start unanswered": {
			crashes: []isolator.Crash{unanswered(sole(1)), soleAlone(2)},
			want:    isolator.Isolated,
		},
		"three alone, two starts unanswered": {
			crashes: []isolator.Crash{unanswered(soleAlone(1)), unanswered(soleAlone(2)), soleAlone(3)},
			want:    isolator.Isolated,
		},
		"three alone, one start unanswered": {
			crashes: []isolator.Crash{unanswered(soleAlone(1)), soleAlone(2), soleAlone(3)},
			want:    isolator.GivenUp,
		},
		"five, one of them alone, starts unanswered": {
			crashes: []isolator.Crash{unanswered(shared(1)), unanswered(shared(2)), unanswered(shared(3)), unanswered(shared(4)), unanswered(alone(5))},
			want:    isolator.GivenUp,
		},
		"four, two of them alone, starts unanswered": {
			crashes: []isolator.Crash{unanswered(shared(1)), unanswered(shared(2)), unanswered(alone(3)), unanswered(alone(4))},
			want:    isolator.GivenUp,
		},
		"four, one of them alone": {
			crashes: []isolator.Crash{shared(1), shared(2), shared(3), alone(4)},
			want:    isolator.Isolated,
		},
		"four, two of them alone, together with other workers": {
			crashes: []isolator.Crash{together(shared(1)), together(shared(2)), together(alone(3)), together(alone(4))},
			want:    isolator.Normal,
		},
		"two of three alone, just after their starts, together with other workers": {
			crashes: []isolator.Crash{together(prompt(1)), together(shared(2)), together(prompt(3)), shared(4)},
			want:    isolator.GivenUp,
		},
		"four alone, some time after their starts": {
			crashes: []isolator.Crash{after(time.Second, alone(1)), after(time.Second, alone(2)), after(time.Second, alone(3)), after(time.Second, alone(4))},
			want:    isolator.Isolated,
		},
		"five, one of them alone, some time after their starts": {
			crashes: []isolator.Crash{after(time.Second, shared(1)), after(time.Second, shared(2)), after(time.Second, shared(3)), after(time.Second, shared(4)), after(time.Second, alone(5))},
			want:    isolator.GivenUp,
		},
		"two alone, long after their starts": {
			crashes: []isolator.Crash{after(8*time.Second, alone(1)), after(time.Minute, alone(2))},
			want:    isolator.Normal,
		},
		"late news of an earlier crash": {
			crashes: []isolator.Crash{prompt(7), prompt(9), shared(5)},
			want:    isolator.GivenUp,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(isolator.NewRecord(test.crashes, isolator.Placement{}).Treatment(), test.want)
		})
	}
}

// A record that is shared between the state and a snapshot must not change.
func TestRecordIsImmutable(t *testing.T) {
	is := is.New(t)
	first := isolator.NewRecord([]isolator.Crash{shared(2)}, isolator.Placement{})
	second := first.WithCrash(alone(1))
	third := second.WithPlacement(isolator.Placement{
		Run:    3,
		Worker: "w",
	})
	is.Equal(len(first.Crashes()), 1)
	is.Equal(len(second.Crashes()), 2)
	is.Equal(second.Placement().Run, uint64(0))
	is.Equal(third.Placement().Worker, "w")
}
