package sequencer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/sequencer"
)

var settings = sequencer.Settings{
	MaxInFlight:   2,
	TimeoutMargin: 1500 * time.Millisecond,
	RetryDelay:    300 * time.Millisecond,
	PriorityDelay: 2 * time.Second,
	AbsentAfter:   500 * time.Millisecond,
}

const (
	step     = 20 * time.Millisecond
	way      = 20 * time.Millisecond
	playTime = 120 * time.Second
)

// service handles one call at a time, in turn.
type service struct {
	// takes is how long a call takes.
	takes time.Duration
	// skipsGone is true if it does nothing for callers that have given up before their turn.
	skipsGone bool
	// silentFrom and silentUntil bound a time in which it handles nothing.
	silentFrom, silentUntil time.Duration

	queue []*sentCall
	begun time.Duration
}

// sentCall is a call on its way.
type sentCall struct {
	key      int
	deadline time.Duration
	gone     bool
	// answeredAt is when the answer arrives; 0 before it is sent.
	answeredAt time.Duration
}

// advance handles the calls up to a time and returns those whose answer was sent.
func (s *service) advance(now time.Duration) []*sentCall {
	if now >= s.silentFrom && now < s.silentUntil {
		s.begun += step
		return nil
	}
	for s.skipsGone && len(s.queue) > 0 && s.queue[0].gone && s.begun == now-step {
		s.queue = s.queue[1:]
	}
	if len(s.queue) == 0 {
		s.begun = now
		return nil
	}
	if now-s.begun < s.takes {
		return nil
	}
	c := s.queue[0]
	s.queue, s.begun = s.queue[1:], now
	c.answeredAt = now + way
	return []*sentCall{c}
}

// play has keys arrive at a rate of one in each interval, which each need one answer, and returns how many
// got theirs, and the longest time that one of them took.
func play(s *service, expected, interval time.Duration, keys int) (served int, longest time.Duration) {
	line := sequencer.New[int](settings)
	start := time.Unix(0, 0)
	open := make(map[int]time.Duration)
	var calls []*sentCall
	for now := time.Duration(0); now < playTime; now += step {
		if n := int(now / interval); n < keys && now%interval < step {
			open[n] = now
		}
		s.advance(now)
		var rest []*sentCall
		for _, c := range calls {
			switch {
			case c.answeredAt != 0 && c.answeredAt <= now && !c.gone:
				line.Answered(c.key, true, start.Add(now))
				longest = max(longest, now-open[c.key])
				delete(open, c.key)
				served++
			case now >= c.deadline:
				c.gone = true
				line.Answered(c.key, false, start.Add(now))
			default:
				rest = append(rest, c)
			}
		}
		calls = rest
		for key := range open {
			if timeout, ok := line.Request(key, 1, expected, start.Add(now)); ok {
				c := &sentCall{
					key:      key,
					deadline: now + timeout,
				}
				calls = append(calls, c)
				s.queue = append(s.queue, c)
			}
		}
	}
	return served, longest
}

// Calls that waited for their turn at the service timed out there and were sent again at the end
// of its line, so that it was busy for nobody. At several times the rate that it can take nearly
// all of its time has to be of use, also when it is slower than it says, or was silent.
func TestServiceIsBusyForCallersThatWait(t *testing.T) {
	tests := map[string]struct {
		service  service
		interval time.Duration
		keys     int
		want     int
	}{
		"ten at once":                       {service: service{takes: time.Second, skipsGone: true}, interval: step, keys: 10, want: 10},
		"ten at once, all are decided":      {service: service{takes: time.Second}, interval: step, keys: 10, want: 10},
		"at the rate that it takes":         {service: service{takes: time.Second}, interval: time.Second, keys: 1000, want: 108},
		"at twice that rate":                {service: service{takes: time.Second}, interval: time.Second / 2, keys: 1000, want: 108},
		"at four times that rate":           {service: service{takes: time.Second}, interval: time.Second / 4, keys: 1000, want: 108},
		"short calls at four times":         {service: service{takes: 100 * time.Millisecond}, interval: 25 * time.Millisecond, keys: 10_000, want: 900},
		"three times slower than it says":   {service: service{takes: 3 * time.Second}, interval: time.Second / 4, keys: 1000, want: 35},
		"eight times slower than it says":   {service: service{takes: 8 * time.Second}, interval: time.Second / 4, keys: 1000, want: 8},
		"silent for 20 s":                   {service: service{takes: time.Second, silentFrom: 10 * time.Second, silentUntil: 30 * time.Second}, interval: time.Second / 4, keys: 1000, want: 80},
		"silent for 20 s, then ten at once": {service: service{takes: time.Second, silentUntil: 20 * time.Second}, interval: step, keys: 10, want: 10},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			expected := min(test.service.takes, time.Second)
			served, longest := play(&test.service, expected, test.interval, test.keys)
			t.Logf("%d served, the longest wait took %v", served, longest)
			is.New(t).True(served >= test.want)
		})
	}
}

// A call that failed must go on where it was, and one that fails for good must not hold up the others.
func TestFailedCallKeepsItsPlaceForAWhile(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	line := sequencer.New[string](settings)
	_, ok := line.Request("poison", 1, time.Second, now)
	is.True(ok)
	for n := range 3 {
		line.Answered("poison", false, now)
		now = now.Add(settings.RetryDelay)
		_, other := line.Request("other", 1, time.Second, now)
		_, again := line.Request("poison", 1, time.Second, now)
		is.Equal(other, n == 2) // the first two times the place of the failed one is kept
		is.True(again)
		if other {
			line.Answered("other", true, now)
		}
		is.True(!line.Waits("poison"))
	}
}

// A step that needs no answer any more must not hold up the others for good, and an urgent
// one goes before those that came a little earlier.
func TestOrderOfRequests(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	line := sequencer.New[string](settings)
	for _, key := range []string{"a", "b"} {
		_, ok := line.Request(key, 1, time.Second, now)
		is.True(ok)
	}
	for _, key := range []string{"gone", "later"} {
		now = now.Add(time.Millisecond)
		_, ok := line.Request(key, 1, time.Second, now)
		is.True(!ok)
	}
	now = now.Add(time.Second - settings.AbsentAfter)
	_, ok := line.Request("urgent", 0, time.Second, now)
	is.True(!ok)
	line.Answered("a", true, now)
	_, ok = line.Request("later", 1, time.Second, now)
	is.True(!ok)
	timeout, ok := line.Request("urgent", 0, time.Second, now)
	is.True(ok)
	is.Equal(timeout, 2*time.Second+settings.TimeoutMargin) // the rest of the call before it, and its own
	now = now.Add(settings.AbsentAfter)
	_, ok = line.Request("later", 1, time.Second, now)
	is.True(!ok)
	decided := line.Answered("b", true, now)
	is.Equal(decided, now.Add(-settings.AbsentAfter)) // not before the answer to the call before it
	_, ok = line.Request("later", 1, time.Second, now)
	is.True(ok)
}
