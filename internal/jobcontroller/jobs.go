package jobcontroller

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/voter"
)

// retryAfter is when a refused caller should retry: without a leader, an
// election takes about a second.
const retryAfter = time.Second

// jobIDLength is the length of a job ID in characters.
const jobIDLength = 16

// Job answers a call from a submitter.
func (c *Controller) Job(ctx context.Context, req *jobwire.JobRequest) *jobwire.JobResponse {
	start := c.opts.Clock.Now()
	resp := c.job(ctx, req)
	c.metrics.observe(callName(req), resp.GetOutcome(), c.opts.Clock.Now().Sub(start))
	c.logJob(req, resp)
	return resp
}

// logJob logs each call that changes a job or fails.
func (c *Controller) logJob(req *jobwire.JobRequest, resp *jobwire.JobResponse) {
	reads := req.GetGet() != nil || req.GetList() != nil
	if reads && resp.GetOutcome() == jobwire.Outcome_OUTCOME_OK {
		return
	}
	c.opts.Logger.Info("conductor: job call answered", "call", callName(req), "host", req.GetAddress().GetHost(),
		"path", req.GetAddress().GetPath(), "account", req.GetSubmit().GetAccount(), "outcome", resp.GetOutcome().String(),
		"reason", resp.GetReason())
}

func callName(req *jobwire.JobRequest) string {
	switch req.GetCall().(type) {
	case *jobwire.JobRequest_List:
		return "list"
	case *jobwire.JobRequest_Submit:
		return "submit"
	case *jobwire.JobRequest_Cancel:
		return "cancel"
	}
	return "get"
}

func (c *Controller) job(ctx context.Context, req *jobwire.JobRequest) *jobwire.JobResponse {
	if _, ok := c.authority(c.opts.Clock.Now()); !ok {
		if resp := c.readAsFollower(req); resp != nil {
			return resp
		}
		return &jobwire.JobResponse{
			Outcome: jobwire.Outcome_OUTCOME_NOT_LEADER,
			Leader:  c.leader(),
		}
	}
	var resp *jobwire.JobResponse
	var cmd *jobwire.Command
	c.opts.StateMachine.View(func(s *jobkeeper.State) {
		if c.sched != nil {
			c.sched.SetTime(c.opts.Clock.Now(), time.Now())
		}
		resp, cmd = c.admit(s, req)
	})
	if cmd == nil {
		return resp
	}
	result, err := c.submit(ctx, cmd)
	if err != nil {
		return jobError(err)
	}
	if r, ok := result.(jobkeeper.CancelResult); ok && !r.Known {
		resp.Outcome = jobwire.Outcome_OUTCOME_NO_JOB
	}
	return resp
}

func (c *Controller) leader() string {
	name, self := c.opts.Log.Leader()
	if self {
		// This host leads but cannot prove it at the moment.
		return ""
	}
	return name
}

// outcomeOf returns what to answer after an error of the log: the leader's name
// if this host does not lead, else that the outcome is unknown, with the
// error's text as the reason.
func outcomeOf(err error) (outcome jobwire.Outcome, leader, reason string) {
	var notLeader voter.NotLeaderError
	if errors.As(err, &notLeader) {
		return jobwire.Outcome_OUTCOME_NOT_LEADER, notLeader.Leader, ""
	}
	return jobwire.Outcome_OUTCOME_UNKNOWN, "", err.Error()
}

func jobError(err error) *jobwire.JobResponse {
	outcome, leader, reason := outcomeOf(err)
	return &jobwire.JobResponse{
		Outcome: outcome,
		Leader:  leader,
		Reason:  reason,
	}
}

// admit checks a call against the configuration in force. It returns the
// answer, and the command, if any, that must be in the log before the answer is
// sent.
func (c *Controller) admit(s *jobkeeper.State, req *jobwire.JobRequest) (*jobwire.JobResponse, *jobwire.Command) {
	if s.Configuration == nil || c.sched == nil {
		return refuse(jobwire.Outcome_OUTCOME_UNAVAILABLE, "there is no configuration yet"), nil
	}
	if req.GetAddress().GetAccount() != "" {
		return c.admitForAccount(s, req)
	}
	q := findQueue(s.Configuration, req.GetAddress())
	if q == nil {
		return refuse(jobwire.Outcome_OUTCOME_NO_QUEUE, "no queue has this host and path"), nil
	}
	account, ok := findAccount(s.Configuration, req.GetAddress().GetKey())
	if !ok && !q.GetPublic() {
		return refuse(jobwire.Outcome_OUTCOME_UNAUTHORIZED, "the key is not granted"), nil
	}
	id := strings.TrimPrefix(req.GetAddress().GetPath(), q.GetPrefix())
	if id == "" && req.GetGet() != nil {
		return &jobwire.JobResponse{
			Outcome: jobwire.Outcome_OUTCOME_OK,
			IsQueue: true,
			Pending: int64(c.sched.WaitingJobs(q.GetName())),
		}, nil
	}
	if len(id) != jobIDLength {
		return refuse(jobwire.Outcome_OUTCOME_INVALID, "a job's id has 16 characters"), nil
	}
	if limit := s.Configuration.GetBodyLimitBytes(); limit > 0 && req.GetBodyBytes() > limit {
		return refuse(jobwire.Outcome_OUTCOME_TOO_LARGE, "the body exceeds the limit"), nil
	}
	switch call := req.GetCall().(type) {
	case *jobwire.JobRequest_Submit:
		return c.admitJob(s, q, account, id, call.Submit)
	case *jobwire.JobRequest_Cancel:
		return c.admitCancel(s, id)
	}
	return c.describe(s, id), nil
}

func refuse(outcome jobwire.Outcome, reason string) *jobwire.JobResponse {
	return &jobwire.JobResponse{
		Outcome:         outcome,
		Reason:          reason,
		RetryAfterNanos: int64(retryAfter),
	}
}

func (c *Controller) admitJob(s *jobkeeper.State, q *jobwire.Queue, account, id string, job *jobwire.Job) (*jobwire.JobResponse, *jobwire.Command) {
	accepted := &jobwire.JobResponse{
		Outcome: jobwire.Outcome_OUTCOME_OK,
	}
	if _, ok := s.Jobs[id]; ok {
		return accepted, nil
	}
	if err := jobkeeper.CheckJob(job); err != nil {
		return refuse(jobwire.Outcome_OUTCOME_INVALID, err.Error()), nil
	}
	// The log line of a refused call names its account too.
	job.Account = account
	if wait, ok := c.sched.Refuse(q, account, job); ok {
		resp := refuse(jobwire.Outcome_OUTCOME_TOO_MANY, "the queue is too full for the job to be done in time")
		resp.RetryAfterNanos = int64(wait)
		return resp, nil
	}
	job.Id, job.Queue = id, q.GetName()
	job.DataCentres = c.sched.Home(q, job)
	job.Terms = jobkeeper.QueueTerms(q)
	job.AcceptedAtUnixNanos = time.Now().UnixNano()
	return accepted, &jobwire.Command{
		Change: &jobwire.Command_Submit{
			Submit: job,
		},
	}
}

func (c *Controller) admitCancel(s *jobkeeper.State, id string) (*jobwire.JobResponse, *jobwire.Command) {
	resp := &jobwire.JobResponse{
		Outcome: jobwire.Outcome_OUTCOME_OK,
	}
	if j, ok := s.Jobs[id]; ok && !j.Open() {
		return resp, nil
	}
	return resp, &jobwire.Command{
		Change: &jobwire.Command_Cancel{
			Cancel: &jobwire.CancelJob{
				Id: id,
			},
		},
	}
}

func (c *Controller) describe(s *jobkeeper.State, id string) *jobwire.JobResponse {
	j, ok := s.Jobs[id]
	if !ok {
		return refuse(jobwire.Outcome_OUTCOME_NO_JOB, "no such job")
	}
	return &jobwire.JobResponse{
		Outcome: jobwire.Outcome_OUTCOME_OK,
		State:   c.stateOf(j),
	}
}

func (c *Controller) stateOf(j *jobkeeper.Job) jobwire.JobState {
	switch {
	case !j.Open():
		return j.EndState
	case j.HasRecordedRuns() || c.sched.Started(j.Spec.GetId()):
		return jobwire.JobState_JOB_STATE_RUNNING
	}
	return jobwire.JobState_JOB_STATE_QUEUED
}

// findQueue returns the queue of the address's host with the longest prefix
// that matches its path.
func findQueue(c *jobwire.Configuration, a *jobwire.Address) *jobwire.Queue {
	var best *jobwire.Queue
	for _, q := range c.GetQueues() {
		if q.GetHost() == a.GetHost() && strings.HasPrefix(a.GetPath(), q.GetPrefix()) &&
			(best == nil || len(q.GetPrefix()) > len(best.GetPrefix())) {
			best = q
		}
	}
	return best
}

func findAccount(c *jobwire.Configuration, key string) (string, bool) {
	if key == "" {
		return "", false
	}
	for _, a := range c.GetAccounts() {
		for _, k := range a.GetKeys() {
			if k == key {
				return a.GetName(), true
			}
		}
	}
	return "", false
}
