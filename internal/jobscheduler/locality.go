package jobscheduler

import (
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/localizer"
)

// minRemainingRun is the expected time to the end of a run that is overdue.
const minRemainingRun = 100 * time.Millisecond

// waitsForRack reports whether a task of a step, for which no worker on the rack of its data
// has room, waits for one. Otherwise it starts elsewhere.
func (s *Scheduler) waitsForRack(st *step, workers []*worker) bool {
	rack := st.spec.GetDataRack()
	if rack == "" || s.settings.Locality.Slowdown <= 1 {
		return false
	}
	wait, known := localizer.WaitFor(s.roomOnRack(st, rack, workers), s.waitingForRack[rack])
	return known && s.waitPays(st, rack, wait)
}

// groupWaitsForRack reports whether a gang that wants one rack, and fits on none, waits.
// Racks holds the workers by rack.
func (s *Scheduler) groupWaitsForRack(st *step, racks map[string][]*worker) bool {
	if s.settings.Locality.Slowdown <= 1 {
		return false
	}
	best, bestRack := time.Duration(-1), ""
	for rack, workers := range racks {
		wait, known := localizer.WaitFor(s.roomOnRack(st, rack, workers), s.waitingForRack[rack]+len(st.pending)-1)
		if known && (best < 0 || wait < best || wait == best && rack < bestRack) {
			best, bestRack = wait, rack
		}
	}
	return best >= 0 && s.waitPays(st, bestRack, best)
}

// waitPays reports whether a step waits for a place on a rack, and counts its tasks among
// those that do.
func (s *Scheduler) waitPays(st *step, rack string, wait time.Duration) bool {
	if st.waitsNearSince.IsZero() {
		st.waitsNearSince = s.now
	}
	if !s.settings.Locality.WaitPays(st.runTime, wait, s.now.Sub(st.waitsNearSince)) {
		return false
	}
	s.waitingForRack[rack] += len(st.pending)
	return true
}

// roomOnRack returns the room that becomes free on the workers of a rack.
func (s *Scheduler) roomOnRack(st *step, rack string, workers []*worker) []localizer.Room {
	reservation := reservationOf(st)
	var room []localizer.Room
	for _, w := range workers {
		if w.info.GetRack() != rack || !w.hasLabel(st.spec.GetLabel()) {
			continue
		}
		for _, r := range w.runs {
			if r.step == nil || r.step.spec.GetLasting() {
				continue
			}
			room = append(room, localizer.Room{
				In:    max(r.orderedAt.Add(r.step.runTime).Sub(s.now), minRemainingRun),
				Tasks: tasksIn(r.reservation, reservation),
			})
		}
	}
	return room
}

// tasksIn returns how many tasks of a size fit into an amount, in parts of tasks.
func tasksIn(amount, size controller.Amount) float64 {
	if share := dominantShare(size, amount); share > 0 {
		return 1 / share
	}
	return 0
}

// noteLocality counts a start near the data of its task or far from it, and the wait for it.
func (s *Scheduler) noteLocality(st *step, w *worker) {
	rack := st.spec.GetDataRack()
	if rack == "" {
		return
	}
	if rack != w.info.GetRack() {
		s.counters.FarStarts++
		return
	}
	s.counters.NearStarts++
	if !st.waitsNearSince.IsZero() {
		s.counters.NearWaitMillis += s.now.Sub(st.waitsNearSince).Milliseconds()
	}
}
