package jobcontroller

import (
	"strings"
	"time"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// maxReadStaleness is how old the state may be from which a host that does not lead answers
// a read. A leader sends its heartbeats 100 ms apart, and one of them may be late.
const maxReadStaleness = 200 * time.Millisecond

// minFollowedTime is how long a host must have followed a leader without a gap before it
// answers reads. After a pause it first handles messages that have waited for it, which tell
// of an old state.
const minFollowedTime = 300 * time.Millisecond

// readAsFollower answers a read of a job's state on a host that does not lead, so that the
// many reads of a peak do not take the leader's time. It returns nil if only the leader can
// answer: this host lacks entries of the log, the call would be refused, or no end of the
// job's tasks is in the log, so that only the scheduler knows whether it has started.
func (c *Controller) readAsFollower(req *jobwire.JobRequest) *jobwire.JobResponse {
	if req.GetGet() == nil || req.GetAddress().GetAccount() != "" {
		return nil
	}
	now, caughtUp := c.opts.Clock.Now(), c.opts.Log.CaughtUp()
	if now.Sub(caughtUp.At) > maxReadStaleness || now.Sub(caughtUp.Since) < minFollowedTime {
		return nil
	}
	var resp *jobwire.JobResponse
	c.opts.StateMachine.View(func(s *jobkeeper.State) { resp = readRecorded(s, req.GetAddress()) })
	return resp
}

// readRecorded returns the state of a job as the log tells it, or nil if the log doesn't
// tell.
func readRecorded(s *jobkeeper.State, address *jobwire.Address) *jobwire.JobResponse {
	if s.Configuration == nil {
		return nil
	}
	q := findQueue(s.Configuration, address)
	if q == nil {
		return nil
	}
	if _, ok := findAccount(s.Configuration, address.GetKey()); !ok && !q.GetPublic() {
		return nil
	}
	j, ok := s.Jobs[strings.TrimPrefix(address.GetPath(), q.GetPrefix())]
	if !ok {
		return nil
	}
	state := j.EndState
	if j.Open() {
		if !j.HasRecordedRuns() {
			return nil
		}
		state = jobwire.JobState_JOB_STATE_RUNNING
	}
	return &jobwire.JobResponse{
		Outcome: jobwire.Outcome_OUTCOME_OK,
		State:   state,
	}
}
