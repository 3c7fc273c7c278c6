package isolator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/isolator"
)

const (
	modelLives = 20000
	// modelDay is how long a harmless task is watched, and modelSurvival how long it runs
	// until its crashes are cleared.
	modelDay      = 40 * time.Second
	modelSurvival = 8 * time.Second
	// modelPrompt is how soon after a start a crash is seen as one just after it.
	modelPrompt = 100 * time.Millisecond
	// modelPollTime bounds the time since the worker last answered.
	modelPollTime = 700 * time.Millisecond
	// maxModelCrashes is what the users' page leaves to a task that crashes its workers:
	// three crashes, and less than three more starts.
	maxModelCrashes = 5
)

// life draws the crashes of the workers that run one task.
type life struct {
	rng    *rand.Rand
	record *isolator.Record
	runs   uint64
}

func newLife(seed uint64) *life {
	return &life{
		rng: rand.New(rand.NewPCG(seed, 31)),
	}
}

func (l *life) between(low, high time.Duration) time.Duration {
	return low + time.Duration(l.rng.Int64N(int64(high-low)))
}

func (l *life) happens(share float64) bool { return l.rng.Float64() < share }

// crash adds a crash so long after the start of a run, with so many other workers.
func (l *life) crash(after time.Duration, others int32) {
	alone := l.record.Treatment() == isolator.Isolated || l.happens(0.3)
	c := isolator.Circumstances{
		Alone:  alone,
		Prompt: after <= modelPrompt,
		Begun:  true,
		Others: others,
		Lived:  max(0, after-l.between(0, modelPollTime)),
	}
	switch {
	case alone && others == 0:
		c.Suspects = 1
	case !alone:
		c.Suspects = 1 + l.rng.Int32N(8)
		c.Bystander = !c.Prompt && l.happens(0.3)
	}
	l.add(c)
}

func (l *life) add(c isolator.Circumstances) {
	l.runs++
	l.record = l.record.WithCrash(isolator.Crash{
		Run:           l.runs,
		Circumstances: c,
	})
}

func (l *life) givenUp() bool { return l.record.Treatment() == isolator.GivenUp }

// independent plays a day of a long-running task that crashes no worker. Every few seconds
// many workers crash at once, and each crashes by itself now and then.
func (l *life) independent() bool {
	share := 0.3 + 0.7*l.rng.Float64()
	burst := l.between(time.Second, 8*time.Second)
	for now := time.Duration(0); now < modelDay; {
		single := now + time.Duration(l.rng.ExpFloat64()*float64(60*time.Second))
		for burst < now || !l.happens(share) {
			burst = max(burst, now) + l.between(3*time.Second, 10*time.Second)
		}
		end := min(single, burst)
		if end-now > modelSurvival {
			l.record = l.record.WithoutCrashesBefore(l.runs + 1)
		}
		others := int32(0)
		if end == burst {
			others = 1 + l.rng.Int32N(8)
		}
		l.crash(end-now, others)
		if l.givenUp() {
			return true
		}
		now = end + l.between(3500*time.Millisecond, 6*time.Second)
	}
	return false
}

// caused plays a task that crashes each worker within the given time after its start, until
// it is given up, and returns the number of crashes. Other such tasks crash workers at the
// same time, and a leader that is lost misses what came just after some starts.
func (l *life) caused(soonest, latest time.Duration) int {
	for l.runs < 20 && !l.givenUp() {
		switch after := l.between(soonest, latest); {
		case l.happens(0.05):
			l.add(isolator.Circumstances{
				Alone: l.record.Treatment() == isolator.Isolated,
			})
		case after <= modelPrompt && l.happens(0.3):
			l.crash(after, 1+l.rng.Int32N(3))
		default:
			l.crash(after, 0)
		}
	}
	return int(l.runs)
}

// When workers crash many at once, or one by one for reasons of their own, no task that
// they run may be given up for it: its callers would lose it although it works.
func TestIndependentCrashesGiveNoTaskUp(t *testing.T) {
	is := is.New(t)
	givenUp := 0
	for seed := range uint64(modelLives) {
		if newLife(seed).independent() {
			givenUp++
		}
	}
	is.Equal(givenUp, 0)
}

// A task that crashes its workers, at once or some seconds after each start, must not go on
// to the next one again and again, whatever else happens.
func TestCausedCrashesEndSoon(t *testing.T) {
	for name, test := range map[string]struct {
		soonest, latest time.Duration
		mean            float64
	}{
		"at once": {
			soonest: 5 * time.Millisecond,
			latest:  20 * time.Millisecond,
			mean:    4,
		},
		"slowly": {
			soonest: 600 * time.Millisecond,
			latest:  6 * time.Second,
			mean:    maxModelCrashes,
		},
		"at any time": {
			soonest: 5 * time.Millisecond,
			latest:  4 * time.Second,
			mean:    maxModelCrashes,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sum, most := 0, 0
			for seed := range uint64(modelLives) {
				n := newLife(seed).caused(test.soonest, test.latest)
				sum, most = sum+n, max(most, n)
			}
			mean := float64(sum) / modelLives
			t.Log("crashes until given up: mean", mean, "most", most)
			is.True(most <= maxModelCrashes)
			is.True(mean <= test.mean)
		})
	}
}
