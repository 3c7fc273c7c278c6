package jobscheduler_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
)

const (
	// absenceNotice is how long a task has to be away, for a cause other than an order,
	// until it counts as away.
	absenceNotice = 4500 * time.Millisecond
	// availabilityTasks is the number of tasks of a model's job, and
	// availabilityWorkers that of its workers.
	availabilityTasks   = 5
	availabilityWorkers = 7
)

// availabilityModel plays a job of long-running tasks on workers that crash, drain, shrink
// and go into maintenance, and whose orders are lost, unanswered or late at times, under
// changing leaders. It compares each order that ends a task with what the step may miss.
type availabilityModel struct {
	*model

	mayMiss int
	// lastAtWork is when each task was at work last; endedByOrder holds those that an
	// order has ended and that are not at work again.
	lastAtWork   map[string]time.Time
	endedByOrder map[string]bool
	draining     map[*modelWorker]bool
	inUpkeep     map[*modelWorker]bool
	waves        int
	// orders counts the orders that have ended a task at work.
	orders int
	// broken describes the first order that has ended one too many; empty while there
	// was none.
	broken string
}

func newAvailabilityModel(t *testing.T, seed uint64) *availabilityModel {
	m := &availabilityModel{
		model:        newModelWith(t, seed, availabilityWorkers),
		mayMiss:      1 + int(seed%2),
		lastAtWork:   make(map[string]time.Time),
		endedByOrder: make(map[string]bool),
		draining:     make(map[*modelWorker]bool),
		inUpkeep:     make(map[*modelWorker]bool),
	}
	m.faults, m.failures = 0, 0
	m.lasting = true
	m.providerOrderDelay = 3 * time.Second
	m.onStop = func(w *modelWorker, name string) { m.endTask(w, name, "a stop") }
	return m
}

// atWork reports whether a task runs and is not being stopped.
func (m *availabilityModel) atWork(name string) bool {
	return slices.ContainsFunc(m.workers, func(w *modelWorker) bool {
		r, ok := w.runs[name]
		return ok && !m.down(w) && r.ending != jobwire.Ending_ENDING_STOPPED
	})
}

func (m *availabilityModel) noteTasksAtWork() {
	for i := range int32(availabilityTasks) {
		if name := taskText(task("job", 0, i)); m.atWork(name) {
			m.lastAtWork[name] = m.now
			delete(m.endedByOrder, name)
		}
	}
}

// endTask checks an order that ends a task which is at work.
func (m *availabilityModel) endTask(w *modelWorker, name, by string) {
	m.note("%s is ended on %s by %s", name, w.id, by)
	m.orders++
	away := 0
	for i := range int32(availabilityTasks) {
		other := taskText(task("job", 0, i))
		if other != name && !m.atWork(other) && (m.endedByOrder[other] || m.now.Sub(m.lastAtWork[other]) >= absenceNotice) {
			away++
		}
	}
	m.endedByOrder[name] = true
	if away >= m.mayMiss && !m.draining[w] && m.broken == "" {
		m.broken = fmt.Sprintf("after %v: %s ends %s on %s while %d others are away and %d may be\n%s",
			m.now.Sub(m.start), by, name, w.id, away, m.mayMiss, m.historyOf("job.0.", "leader", "host-", "crashes", "drains", "shrinks", "unreachable"))
	}
}

// report lets a worker report its capacity and whether it drains.
func (m *availabilityModel) report(w *modelWorker, milliCores int64, draining bool) {
	m.apply(&jobwire.Command{
		Change: &jobwire.Command_Worker{
			Worker: &jobwire.Worker{
				Id:         w.id,
				Born:       w.born.UnixMilli(),
				Pool:       "p",
				Address:    w.id[:2] + ":1",
				DataCentre: "dc",
				Draining:   draining,
				Capacity: &wire.Resources{
					MilliCores:  milliCores,
					MemoryBytes: 1 << 30,
				},
			},
		},
	})
}

// disturb drains, shrinks, crashes or cuts off a worker, or begins a wave, at random times.
func (m *availabilityModel) disturb() {
	w := m.workers[m.rng.IntN(len(m.workers))]
	born := w.born
	switch {
	case m.down(w) || m.draining[w]:
	case m.rng.IntN(4) == 0:
		m.note("%s crashes by itself", w.id)
		m.restart(w, m.between(minModelDownTime, maxModelDownTime), true)
	case m.rng.IntN(3) == 0:
		m.note("%s drains", w.id)
		m.draining[w] = true
		m.report(w, 8000, true)
		m.after(m.between(3*time.Second, 6*time.Second), func() {
			m.draining[w] = false
			if w.born == born {
				m.restart(w, minModelDownTime, true)
			}
		})
	case m.rng.IntN(2) == 0:
		m.note("%s shrinks", w.id)
		m.report(w, 500, false)
		m.after(m.between(2*time.Second, 6*time.Second), func() {
			if w.born == born && !m.draining[w] {
				m.report(w, 8000, false)
			}
		})
	case m.rng.IntN(2) == 0:
		m.note("%s is unreachable for a while", w.id)
		w.mode, w.modeEndsAt = orderFate(1+m.rng.IntN(3)), m.now.Add(m.between(500*time.Millisecond, 5*time.Second))
	default:
		m.beginWave()
	}
	m.after(m.between(500*time.Millisecond, 5*time.Second), m.disturb)
}

func (m *availabilityModel) beginWave() {
	m.waves++
	wave := &jobwire.Wave{
		Id:               fmt.Sprint(m.waves),
		Ceiling:          2,
		DurationNanos:    int64(10 * time.Second),
		StartedUnixNanos: m.now.UnixNano(),
	}
	for _, i := range m.rng.Perm(len(m.workers))[:3] {
		wave.Hosts = append(wave.Hosts, hostName(i))
	}
	m.apply(&jobwire.Command{
		Change: &jobwire.Command_Wave{
			Wave: wave,
		},
	})
}

func hostName(i int) string { return fmt.Sprint("host-", i) }

// loseLeader begins new terms at random times; the new leader can't reach some worker at
// first.
func (m *availabilityModel) loseLeader() {
	m.startTerm()
	m.note("a leader begins term %d", m.term)
	w := m.workers[m.rng.IntN(len(m.workers))]
	if m.rng.IntN(2) == 0 {
		m.note("%s is unreachable", w.id)
		w.mode, w.modeEndsAt = neverExecuted, m.now.Add(m.between(time.Second, 4*time.Second))
	}
	m.after(m.between(3*time.Second, 15*time.Second), m.loseLeader)
}

// carryOutHostOrders announces and sends the orders to the provider, and answers listings.
func (m *availabilityModel) carryOutHostOrders() {
	sched, term := m.sched, m.term
	report := func(f func()) {
		if m.sched == sched {
			m.withScheduler(f)
		}
	}
	for range takeAll[jobscheduler.ListHosts](m.harness) {
		requestedAt, hosts := m.now, m.listing()
		m.after(m.between(5*time.Millisecond, 50*time.Millisecond), func() {
			report(func() { sched.HostsListed(requestedAt, hosts) })
		})
	}
	for _, a := range takeAll[jobscheduler.RecordWaveHost](m.harness) {
		m.apply(&jobwire.Command{
			Change: &jobwire.Command_WaveProgress{
				WaveProgress: &jobwire.WaveProgress{
					Id:    a.Wave,
					Begun: []string{a.Host},
				},
			},
		})
	}
	for _, a := range takeAll[jobscheduler.Maintain](m.harness) {
		m.after(m.between(5*time.Millisecond, 150*time.Millisecond), func() {
			report(func() {})
			if m.sched != sched {
				return
			}
			m.announceOrder(term, a)
			send := false
			report(func() { send = sched.MayOrder(a) })
			if !send {
				report(func() { sched.Maintained(a, jobscheduler.HostOrderNotSent) })
				return
			}
			m.after(m.between(time.Millisecond, 800*time.Millisecond), func() {
				answer := m.maintain(a.Host)
				m.after(m.between(time.Millisecond, 50*time.Millisecond), func() {
					report(func() { sched.Maintained(a, answer) })
				})
			})
		})
	}
}

func (m *availabilityModel) announceOrder(term uint64, a jobscheduler.Maintain) {
	m.note("%s: an order is announced by term %d", a.Host, term)
	orders := &jobwire.HostOrders{
		Term:  term,
		Hosts: []string{a.Host},
	}
	if a.Worker.ID != "" {
		orders.Workers = []*jobwire.WorkerIncarnation{
			{
				Id:   a.Worker.ID,
				Born: a.Worker.Born,
			},
		}
	}
	m.apply(&jobwire.Command{
		Change: &jobwire.Command_HostOrders{
			HostOrders: orders,
		},
	})
}

// listing returns the hosts as the provider knows them.
func (m *availabilityModel) listing() []jobscheduler.Host {
	var hosts []jobscheduler.Host
	for i, w := range m.workers {
		h := jobscheduler.Host{
			Name:   hostName(i),
			Pool:   "p",
			State:  jobscheduler.HostUp,
			Worker: w.id,
		}
		switch {
		case m.down(w) && m.inUpkeep[w]:
			h.State, h.Worker = jobscheduler.HostInMaintenance, ""
		case m.down(w):
			h.State, h.Worker = jobscheduler.HostDown, ""
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// maintain takes a host down, which ends all that runs there.
func (m *availabilityModel) maintain(host string) jobscheduler.HostAnswer {
	for i, w := range m.workers {
		if hostName(i) != host {
			continue
		}
		if m.down(w) || m.draining[w] {
			return jobscheduler.HostOrderBusy
		}
		for name, r := range w.runs {
			if r.ending != jobwire.Ending_ENDING_STOPPED {
				r.ending = jobwire.Ending_ENDING_STOPPED
				m.endTask(w, name, "maintenance of "+host)
			}
		}
		m.note("%s goes into maintenance", host)
		m.inUpkeep[w] = true
		m.restart(w, 2*time.Second, true)
		m.after(2*time.Second, func() { m.inUpkeep[w] = false })
	}
	return jobscheduler.HostOrderDone
}

// play runs the model for the given time.
func (m *availabilityModel) play(d time.Duration) {
	m.start = m.now
	step := tasks(availabilityTasks, 1000)
	step.Lasting, step.MayMiss = true, int32(m.mayMiss)
	if m.rng.IntN(2) == 0 {
		step.MostPerWorker = 1
	}
	for i := range int32(availabilityTasks) {
		m.lastAtWork[taskText(task("job", 0, i))] = m.now
	}
	m.submit("job", step)
	m.loseLeader()
	m.after(5*time.Second, m.disturb)
	for n := 0; m.now.Sub(m.start) < d && m.broken == ""; n++ {
		m.tick()
		m.noteTasksAtWork()
		if n%5 != 0 {
			continue
		}
		for _, w := range m.workers {
			if n%300 == 0 {
				m.withScheduler(func() { m.sched.HeartbeatReceived(w.id, w.born.UnixMilli(), m.clockOf(w)) })
			}
		}
		m.advance(0)
		m.carryOutHostOrders()
		m.carryOut()
	}
}

// The product ends long-running tasks for drains, smaller workers and maintenance. No such
// order may come while as many others of the step are away as may be missed, whichever
// leader has sent it and whatever the next one knows.
func TestOrdersLeaveWhatStepMayNotMiss(t *testing.T) {
	const plays = 60
	var orders atomic.Int64
	t.Cleanup(func() {
		if n := orders.Load(); n < 5*plays {
			t.Errorf("only %d orders have ended a task in %d plays", n, plays)
		}
	})
	for seed := range uint64(plays) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			m := newAvailabilityModel(t, seed)
			m.play(60 * time.Second)
			if m.broken != "" {
				t.Error(m.broken)
			}
			orders.Add(int64(m.orders))
		})
	}
}
