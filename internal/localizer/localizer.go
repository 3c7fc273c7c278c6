// Package localizer decides whether a task waits for a place near its data, or near the rest
// of its group, or starts elsewhere at once.
//
// Load: many tasks whose data is on one rack. Where work far from its data takes twice as long,
// a start elsewhere costs a whole run time, while places near the data become free one after
// another; where it takes a tenth longer, hardly any wait pays.
package localizer

import (
	"cmp"
	"slices"
	"time"
)

// Settings describe a deployment.
type Settings struct {
	// Slowdown is how many times as long a task takes away from its data; at most 1 means that
	// the place makes no difference, so that no wait pays.
	Slowdown float64
}

// gain returns what a near place saves.
func (s Settings) gain(run time.Duration) time.Duration {
	return time.Duration((s.Slowdown - 1) * float64(run))
}

// WaitPays reports whether a task waits for a near place. Run is its run time there, wait the
// time until it gets one, and waited how long it has waited already.
//
// The expected wait may be wrong again and again, so a task waits no longer than a near place
// saves: then it loses at most as much as by a start elsewhere at once (the bound of the ski
// rental problem; A. Karlin et al., "Competitive randomized algorithms for nonuniform problems",
// Algorithmica 11, 1994).
func (s Settings) WaitPays(run, wait, waited time.Duration) bool {
	gain := s.gain(run)
	return wait < gain && waited < gain
}

// Room is the room on one worker that becomes free at some time from now.
type Room struct {
	In time.Duration
	// Tasks is how many tasks of the step fit into it.
	Tasks float64
}

// WaitFor returns the time until a task gets a place, if ahead others get theirs first. It
// returns false if the room is not enough for all of them.
func WaitFor(room []Room, ahead int) (time.Duration, bool) {
	slices.SortFunc(room, func(a, b Room) int { return cmp.Compare(a.In, b.In) })
	places := 0.0
	for _, r := range room {
		places += r.Tasks
		if places >= float64(ahead+1) {
			return r.In, true
		}
	}
	return 0, false
}
