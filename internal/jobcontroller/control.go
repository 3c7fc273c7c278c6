package jobcontroller

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// Control answers a call from an operator or a worker.
func (c *Controller) Control(ctx context.Context, req *jobwire.ControlRequest) *jobwire.ControlResponse {
	if _, ok := c.authority(c.opts.Clock.Now()); !ok {
		return &jobwire.ControlResponse{
			Outcome: jobwire.Outcome_OUTCOME_NOT_LEADER,
			Leader:  c.leader(),
		}
	}
	switch call := req.GetCall().(type) {
	case *jobwire.ControlRequest_Configure:
		return c.configure(ctx, call.Configure)
	case *jobwire.ControlRequest_Read:
		return c.readConfiguration()
	case *jobwire.ControlRequest_Evacuate:
		return c.evacuate(ctx, call.Evacuate)
	case *jobwire.ControlRequest_ReadEvacuation:
		return c.readEvacuation(call.ReadEvacuation.GetDataCentre())
	case *jobwire.ControlRequest_Wave:
		return c.startWave(ctx, call.Wave)
	case *jobwire.ControlRequest_ReadWave:
		return c.readWave(call.ReadWave.GetId())
	case *jobwire.ControlRequest_Report:
		return c.report(ctx, call.Report)
	case *jobwire.ControlRequest_Leave:
		return c.leave(call.Leave)
	}
	return &jobwire.ControlResponse{
		Outcome: jobwire.Outcome_OUTCOME_INVALID,
		Reason:  "unknown call",
	}
}

func okResponse() *jobwire.ControlResponse {
	return &jobwire.ControlResponse{
		Outcome: jobwire.Outcome_OUTCOME_OK,
	}
}

// submitChange writes a command to the log and answers once it is there.
func (c *Controller) submitChange(ctx context.Context, cmd *jobwire.Command) *jobwire.ControlResponse {
	if _, err := c.submit(ctx, cmd); err != nil {
		return controlError(err)
	}
	return okResponse()
}

func controlError(err error) *jobwire.ControlResponse {
	outcome, leader, reason := outcomeOf(err)
	return &jobwire.ControlResponse{
		Outcome: outcome,
		Leader:  leader,
		Reason:  reason,
	}
}

// configure puts a configuration into force. A version that is not newer than
// the one in force is acknowledged without any change.
func (c *Controller) configure(ctx context.Context, cfg *jobwire.Configuration) *jobwire.ControlResponse {
	if err := jobkeeper.Check(cfg); err != nil {
		c.opts.Logger.Info("conductor: invalid configuration rejected", "version", cfg.GetVersion(), "error", err)
		return &jobwire.ControlResponse{
			Outcome: jobwire.Outcome_OUTCOME_INVALID,
			Reason:  err.Error(),
		}
	}
	var version uint64
	c.opts.StateMachine.View(func(s *jobkeeper.State) { version = s.Configuration.GetVersion() })
	if cfg.GetVersion() <= version {
		c.opts.Logger.Info("conductor: configuration is not newer than the one in force; acknowledged without effect", "version", cfg.GetVersion(), "in-force", version)
		return okResponse()
	}
	cmd, err := jobkeeper.ConfigureCommand(cfg)
	if err != nil {
		return controlError(err)
	}
	resp := c.submitChange(ctx, cmd)
	c.opts.Logger.Info("conductor: configuration submitted", "version", cfg.GetVersion(), "former", version,
		"queues", len(cfg.GetQueues()), "outcome", resp.GetOutcome().String())
	return resp
}

func (c *Controller) readConfiguration() *jobwire.ControlResponse {
	resp := okResponse()
	c.opts.StateMachine.View(func(s *jobkeeper.State) { resp.Document = s.Configuration.GetDocument() })
	if resp.GetDocument() == nil {
		resp.Outcome = jobwire.Outcome_OUTCOME_UNAVAILABLE
		resp.Reason = "there is no configuration yet"
	}
	return resp
}

// evacuate starts or finishes the evacuation of a data centre. An order that another one has
// overtaken is not carried out; whoever still wants it sends it again.
func (c *Controller) evacuate(ctx context.Context, order *jobwire.Evacuation) *jobwire.ControlResponse {
	result, err := c.submit(ctx, &jobwire.Command{
		Change: &jobwire.Command_Evacuate{
			Evacuate: order,
		},
	})
	if err != nil {
		return controlError(err)
	}
	r, ok := result.(jobkeeper.EvacuateResult)
	superseded := ok && r.Superseded
	c.opts.Logger.Info("conductor: evacuation order applied", "data-centre", order.GetDataCentre(), "finish", order.GetFinish(),
		"expected-revision", order.GetExpectedRevision(), "superseded", superseded)
	if superseded {
		return &jobwire.ControlResponse{
			Outcome: jobwire.Outcome_OUTCOME_UNAVAILABLE,
			Reason:  "another evacuation order for the data centre has taken effect since this one arrived",
		}
	}
	return okResponse()
}

func (c *Controller) readEvacuation(dataCentre string) *jobwire.ControlResponse {
	resp := okResponse()
	c.opts.StateMachine.View(func(s *jobkeeper.State) { resp.EvacuationRevision = s.EvacuationRevisions[dataCentre] })
	return resp
}

// startWave starts a maintenance wave. A host that its caller names twice is written once: each
// host begins once, and the wave is completed when as many have begun as it has.
func (c *Controller) startWave(ctx context.Context, wave *jobwire.Wave) *jobwire.ControlResponse {
	named := make(map[string]bool, len(wave.GetHosts()))
	wave.Hosts = slices.DeleteFunc(wave.GetHosts(), func(host string) bool {
		repeated := named[host]
		named[host] = true
		return repeated
	})
	return c.submitChange(ctx, &jobwire.Command{
		Change: &jobwire.Command_Wave{
			Wave: wave,
		},
	})
}

func (c *Controller) readWave(id string) *jobwire.ControlResponse {
	resp := okResponse()
	c.opts.StateMachine.View(func(s *jobkeeper.State) {
		w, ok := s.Waves[id]
		if !ok {
			resp.Outcome = jobwire.Outcome_OUTCOME_NO_JOB
			return
		}
		resp.WaveCompleted = len(w.GetBegun()) >= len(w.GetHosts())
	})
	return resp
}

// report handles a worker's heartbeat. It is acknowledged only once the changes
// that it reports are in the log, so that a draining worker gets no new task. Until
// then it does not count as seen, and a repetition is handled again.
func (c *Controller) report(ctx context.Context, r *jobwire.WorkerReport) *jobwire.ControlResponse {
	if err := jobkeeper.CheckReport(r, time.Now()); err != nil {
		return c.ignoreReport(r, err.Error())
	}
	if !c.isNewest(r) {
		return okResponse()
	}
	var foreign string
	var change *jobwire.Command
	c.opts.StateMachine.View(func(s *jobkeeper.State) {
		if foreign = foreignReason(s, r.GetWorker()); foreign == "" {
			change = c.workerChange(s, r)
		}
	})
	if foreign != "" {
		return c.ignoreReport(r, foreign)
	}
	if change != nil {
		if resp := c.submitChange(ctx, change); resp.GetOutcome() != jobwire.Outcome_OUTCOME_OK {
			return resp
		}
	}
	c.tookEffect(r)
	c.opts.StateMachine.View(func(s *jobkeeper.State) {
		c.pruneSequences(s)
		if c.sched != nil {
			c.sched.SetTime(c.opts.Clock.Now(), time.Now())
			c.sched.HeartbeatReceived(r.GetWorker().GetId(), r.GetWorker().GetBorn(), r.GetClockMillis())
		}
	})
	return okResponse()
}

// ignoreReport acknowledges a heartbeat that names no worker to use, so that its sender does
// not try the next host. It changes nothing, not even which heartbeat counts as the newest.
func (c *Controller) ignoreReport(r *jobwire.WorkerReport, reason string) *jobwire.ControlResponse {
	w := r.GetWorker()
	c.opts.Logger.Info("conductor: heartbeat ignored", "worker", w.GetId(), "born", w.GetBorn(), "pool", w.GetPool(),
		"address", w.GetAddress(), "reason", reason)
	return okResponse()
}

func sequenceOf(r *jobwire.WorkerReport) heartbeatSequence {
	return heartbeatSequence{
		born:   r.GetWorker().GetBorn(),
		number: r.GetSequence(),
	}
}

// isNewest reports whether a heartbeat is newer than all from the same worker that
// took effect.
func (c *Controller) isNewest(r *jobwire.WorkerReport) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, ok := c.sequences[r.GetWorker().GetId()]
	return !ok || sequenceOf(r).after(last)
}

// tookEffect notes that the changes of a heartbeat are in the log.
func (c *Controller) tookEffect(r *jobwire.WorkerReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := r.GetWorker().GetId()
	if sequenceOf(r).after(c.sequences[id]) {
		c.sequences[id] = sequenceOf(r)
	}
}

// pruneSequences drops the sequence numbers of workers that have left, once they
// outnumber the known workers.
func (c *Controller) pruneSequences(s *jobkeeper.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sequences) <= 2*len(s.Workers)+minPrunedSequences {
		return
	}
	maps.DeleteFunc(c.sequences, func(id string, _ heartbeatSequence) bool { return s.Workers[id] == nil })
}

// minPrunedSequences keeps a small fleet from pruning at each heartbeat.
const minPrunedSequences = 64

// foreignReason returns why a heartbeat can't come from a worker of this fleet, or an empty
// text. What a process can't change tells a heartbeat of another writer from its own. A pool
// may be dropped from the configuration while its workers are up.
func foreignReason(s *jobkeeper.State, w *jobwire.Worker) string {
	known, ok := s.Workers[w.GetId()]
	switch {
	case ok && known.GetBorn() == w.GetBorn():
		if known.GetPool() != w.GetPool() || known.GetAddress() != w.GetAddress() || known.GetDataCentre() != w.GetDataCentre() {
			return "the same process has another pool, address or data centre"
		}
	case s.Configuration != nil && !s.HasPool(w.GetPool()):
		return "the configuration has no such pool"
	}
	return ""
}

// workerChange returns the change that a heartbeat makes to the known workers, or nil. A
// delayed heartbeat makes none: a later incarnation already has its ID or address. A worker
// that is known at the address stays: that another one claims the address does not prove that
// it has ended. The polls of both tell who has it.
func (c *Controller) workerChange(s *jobkeeper.State, r *jobwire.WorkerReport) *jobwire.Command {
	w := r.GetWorker()
	known, ok := s.Workers[w.GetId()]
	if ok && known.GetBorn() > w.GetBorn() {
		return nil
	}
	for _, other := range s.WorkersAt(w.GetAddress()) {
		if other.GetId() != w.GetId() && other.GetBorn() > w.GetBorn() {
			return nil
		}
	}
	if ok && known.GetBorn() == w.GetBorn() {
		w.Lapsed, w.Restarted = known.GetLapsed(), known.GetRestarted()
		// Draining is final: a worker never goes back to accepting tasks.
		w.Draining = w.GetDraining() || known.GetDraining()
		w.Sequence = known.GetSequence()
		if proto.Equal(known, w) {
			return nil
		}
	}
	w.Sequence = r.GetSequence()
	c.opts.Logger.Info("conductor: worker registered or changed", "worker", w.GetId(), "born", w.GetBorn(), "pool", w.GetPool(),
		"address", w.GetAddress(), "data-centre", w.GetDataCentre(), "draining", w.GetDraining(), "known", ok)
	return &jobwire.Command{
		Change: &jobwire.Command_Worker{
			Worker: w,
		},
	}
}

func forgetCommand(id string, born int64) *jobwire.Command {
	return &jobwire.Command{
		Change: &jobwire.Command_ForgetWorker{
			ForgetWorker: &jobwire.ForgetWorker{
				Id:   id,
				Born: born,
			},
		},
	}
}

func (c *Controller) leave(l *jobwire.WorkerLeave) *jobwire.ControlResponse {
	c.opts.StateMachine.View(func(s *jobkeeper.State) {
		born := l.GetBorn()
		if w, ok := s.Workers[l.GetId()]; ok && born == 0 {
			born = w.GetBorn()
		}
		if c.sched != nil {
			c.sched.SetTime(c.opts.Clock.Now(), time.Now())
			c.sched.WorkerShuttingDown(l.GetId(), born)
		}
	})
	c.opts.Logger.Info("conductor: worker is leaving", "worker", l.GetId())
	c.wake()
	return okResponse()
}
