// Package prober decides when targets are probed that have to be reached as soon as possible,
// although they may be down: often enough for each, and not too often for all together. It does no
// I/O and reads no clock.
//
// Load pattern: a few targets out of thousands, each for some seconds. Most answer. In a bad
// moment a third of all targets is dark at once, and then the total rate stays bounded.
package prober

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Settings holds the times between the probes of one target.
type Settings struct {
	// AnsweredInterval is the time from an answer to the next probe.
	AnsweredInterval time.Duration
	// FailedInterval is the time from a probe without an answer to the next one.
	FailedInterval time.Duration
	// IntervalPerTarget, multiplied by the number of targets, is the lower limit of both: its
	// inverse bounds the probes of all targets together.
	IntervalPerTarget time.Duration
	// MaxAtOnce bounds the probes of one call of Due.
	MaxAtOnce int
}

// Schedule holds the targets of type T that are being probed, by a key. It is not safe for
// concurrent use; create it with New.
type Schedule[T any] struct {
	settings Settings
	probes   map[string]probe[T]
}

// probe is the immutable state of one target.
type probe[T any] struct {
	target T
	// until is when the target needs no further probe.
	until time.Time
	// nextAt is the earliest time of the next probe.
	nextAt time.Time
	// inFlight is true from Due to Answered.
	inFlight bool
	// answers is true if the last probe was answered.
	answers bool
}

func (p probe[T]) withTarget(target T) probe[T] {
	p.target = target
	return p
}

func (p probe[T]) withUntil(until time.Time) probe[T] {
	if until.After(p.until) {
		p.until = until
	}
	return p
}

func (p probe[T]) withSent() probe[T] {
	p.inFlight = true
	return p
}

func (p probe[T]) withOutcome(answers bool, nextAt time.Time) probe[T] {
	p.inFlight, p.answers, p.nextAt = false, answers, nextAt
	return p
}

// New returns an empty Schedule.
func New[T any](settings Settings) *Schedule[T] {
	return &Schedule[T]{
		settings: settings,
		probes:   make(map[string]probe[T]),
	}
}

// Watch has a target probed from now on until the given time, or for longer if it is watched
// already.
func (s *Schedule[T]) Watch(key string, target T, until time.Time) {
	s.probes[key] = s.probes[key].withTarget(target).withUntil(until)
}

// Update changes how a target is reached, if it is watched.
func (s *Schedule[T]) Update(key string, target T) {
	if p, ok := s.probes[key]; ok {
		s.probes[key] = p.withTarget(target)
	}
}

// Len returns the number of targets.
func (s *Schedule[T]) Len() int { return len(s.probes) }

// Probe is a probe to send.
type Probe[T any] struct {
	Target T
	// Answers is true if the last probe of the target was answered.
	Answers bool
}

// Due forgets the targets that need no further probe and returns the probes to send now, those
// first that have waited longest. Each has to be followed by Answered.
func (s *Schedule[T]) Due(now time.Time) []Probe[T] {
	maps.DeleteFunc(s.probes, func(_ string, p probe[T]) bool { return !now.Before(p.until) })
	var due []Probe[T]
	for _, key := range s.dueKeys(now) {
		p := s.probes[key]
		s.probes[key] = p.withSent()
		due = append(due, Probe[T]{
			Target:  p.target,
			Answers: p.answers,
		})
	}
	return due
}

// dueKeys returns the keys of the targets to probe now.
func (s *Schedule[T]) dueKeys(now time.Time) []string {
	var keys []string
	for key, p := range s.probes {
		if !p.inFlight && !now.Before(p.nextAt) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(s.probes[a].nextAt.Compare(s.probes[b].nextAt), cmp.Compare(a, b))
	})
	return keys[:min(len(keys), s.settings.MaxAtOnce)]
}

// Answered notes the outcome of a probe: whether the target has answered it.
func (s *Schedule[T]) Answered(key string, answers bool, now time.Time) {
	p, ok := s.probes[key]
	if !ok {
		return
	}
	interval := s.settings.FailedInterval
	if answers {
		interval = s.settings.AnsweredInterval
	}
	interval = max(interval, time.Duration(len(s.probes))*s.settings.IntervalPerTarget)
	s.probes[key] = p.withOutcome(answers, now.Add(interval))
}

// Next returns when the next probe is due; false if none is before an answer comes.
func (s *Schedule[T]) Next() (time.Time, bool) {
	var next time.Time
	found := false
	for _, p := range s.probes {
		if !p.inFlight && (!found || p.nextAt.Before(next)) {
			next, found = p.nextAt, true
		}
	}
	return next, found
}
