package jobscheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/heathermux/heathermux/internal/controller"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// A leader that is lost within a peak, together with a data centre or a rack, leaves
// open jobs whose tasks may run on workers that its successor can't ask. Each of these
// jobs would wait until the leases there have ended. Therefore the log names the data
// centres of a job, where that costs little: one at first, and others only when its
// tasks find no place there. A new leader holds back only the jobs that may run on
// workers which it has not heard from.

const (
	// minHomeHosts is the number of hosts that a data centre must have in a pool for
	// jobs to be confined to it; fewer are too coarse to pack.
	minHomeHosts = 8
	// maxHomeShare is the part of these hosts that the widest step of a confined job
	// may fill.
	maxHomeShare = 0.25
	// maxConfinementsPerPass bounds the log writes of one pass.
	maxConfinementsPerPass = 48
	// offerTime is how long a place in another data centre is kept for the job that
	// asks for it: about the time of the log write.
	offerTime = 50 * time.Millisecond
)

// everywhere is the area of jobs that are not confined.
const everywhere = ""

// areaOf returns the key of the data centres where a job may run.
func areaOf(j *job) string { return strings.Join(j.saved.Spec.GetDataCentres(), " ") }

// mayRunIn reports whether tasks of the job may run in a data centre.
func (j *job) mayRunIn(dataCentre string) bool {
	list := j.saved.Spec.GetDataCentres()
	return len(list) == 0 || slices.Contains(list, dataCentre)
}

// relocating reports whether the job is about to be confined to another data centre.
// A task that started meanwhile would run where the log says that none does.
func (j *job) relocating() bool { return j.confining && j.relocatable() }

// relocatable reports whether no task of the job can have run.
func (j *job) relocatable() bool { return !j.started && !j.acceptedBeforeTerm }

// updateHome counts the job's work for its data centre.
func (j *job) updateHome() {
	if j.home != everywhere {
		j.pool.homeWork[j.home] -= j.workHostSeconds
	}
	j.home = everywhere
	if list := j.saved.Spec.GetDataCentres(); len(list) == 1 {
		j.home = list[0]
		j.pool.homeWork[j.home] += j.workHostSeconds
	}
}

// leavePool removes the job from its pool.
func (j *job) leavePool() {
	delete(j.pool.jobs, j.id)
	if j.home != everywhere {
		j.pool.homeWork[j.home] -= j.workHostSeconds
		j.home = everywhere
	}
}

// Home returns the data centres to confine a new job to: the one with the least work
// for each of its hosts, or none when the job should run everywhere.
func (s *Scheduler) Home(q *jobwire.Queue, spec *jobwire.Job) []string {
	if q.GetAdvised() || spec.GetRepeatCount() > 0 {
		return nil
	}
	p := s.pool(q.GetPool())
	hosts := make(map[string]int)
	for _, w := range s.workers {
		if w.info.GetPool() == p.name && s.schedulable(w) {
			hosts[w.info.GetDataCentre()]++
		}
	}
	best, bestLoad := "", 0.0
	for dataCentre, n := range hosts {
		if dataCentre == "" || n < minHomeHosts || !s.fitsHome(p, spec, n) {
			continue
		}
		load := p.homeWork[dataCentre] / float64(n)
		if best == "" || load < bestLoad || load == bestLoad && dataCentre < best {
			best, bestLoad = dataCentre, load
		}
	}
	if best == "" {
		return nil
	}
	return []string{best}
}

// fitsHome reports whether all steps of a job can run well on n hosts of one data
// centre.
func (s *Scheduler) fitsHome(p *pool, spec *jobwire.Job, n int) bool {
	capacity := s.hostCapacity(p.name)
	for _, st := range spec.GetSteps() {
		if st.GetLasting() || st.GetGang() || st.GetFills() || st.GetLabel() != "" || st.GetDataRack() != "" {
			return false
		}
		if limit := st.GetMostPerWorker(); limit > 0 && int(st.GetTasks()) > int(limit)*n/2 {
			return false
		}
		if float64(st.GetTasks())*dominantShare(controller.AmountOf(st.GetEach()), capacity) > maxHomeShare*float64(n) {
			return false
		}
	}
	return true
}

// widen asks for a place in another data centre for a step that finds none where its
// job may run. A job of which no task can have run is confined to that one instead.
func (s *Scheduler) widen(st *step, search *placeSearch) {
	j := st.occurrence.job
	if j.confining || search.confinements >= maxConfinementsPerPass || search.unplaceable(st, everywhere) {
		return
	}
	w := s.chooseWorker(st, st.pending[0], search.unclaimed(s.now), nil)
	if w == nil {
		if s.unconstrained(st) {
			search.markUnplaceable(st, everywhere)
		}
		return
	}
	search.confinements++
	w.offeredUntil = s.now.Add(offerTime)
	list := []string{w.info.GetDataCentre()}
	if !j.relocatable() {
		list = append(slices.Clone(j.saved.Spec.GetDataCentres()), list...)
		slices.Sort(list)
		list = slices.Compact(list)
	}
	j.confining = true
	s.emit(ConfineJob{
		Job:         j.id,
		DataCentres: list,
	})
}

// JobConfined handles the outcome of a ConfineJob: it is in the log.
func (s *Scheduler) JobConfined(a ConfineJob) {
	j, ok := s.jobs[a.Job]
	if !ok {
		return
	}
	j.confining = false
	j.updateHome()
	j.pool.dirty = true
}

// placeSearch is the search for places of one pass over a pool. It remembers which
// requests found none, so that in a full pool most waiting steps cost nothing.
type placeSearch struct {
	workers []*worker
	// byDataCentre holds the workers by data centre.
	byDataCentre map[string][]*worker
	// unplaceableAmounts holds by area the requests that found no place there.
	unplaceableAmounts map[string][]controller.Amount
	confinements       int
}

func newPlaceSearch(workers []*worker) *placeSearch {
	search := &placeSearch{
		workers:            workers,
		byDataCentre:       make(map[string][]*worker),
		unplaceableAmounts: make(map[string][]controller.Amount),
	}
	for _, w := range workers {
		search.byDataCentre[w.info.GetDataCentre()] = append(search.byDataCentre[w.info.GetDataCentre()], w)
	}
	return search
}

// workersIn returns the workers on which tasks of a job may start.
func (p *placeSearch) workersIn(area string, j *job) []*worker {
	if area == everywhere {
		return p.workers
	}
	list := j.saved.Spec.GetDataCentres()
	if len(list) == 1 {
		return p.byDataCentre[list[0]]
	}
	var workers []*worker
	for _, dataCentre := range list {
		workers = append(workers, p.byDataCentre[dataCentre]...)
	}
	return workers
}

// unclaimed returns the workers whose places are not kept for another job.
func (p *placeSearch) unclaimed(now time.Time) []*worker {
	return slices.DeleteFunc(slices.Clone(p.workers), func(w *worker) bool { return now.Before(w.offeredUntil) })
}

// unplaceable reports whether a request at most as large as the step's found no place in
// the area.
func (p *placeSearch) unplaceable(st *step, area string) bool {
	return atLeastAny(reservationOf(st), p.unplaceableAmounts[area])
}

func (p *placeSearch) markUnplaceable(st *step, area string) {
	p.unplaceableAmounts[area] = append(p.unplaceableAmounts[area], reservationOf(st))
}
