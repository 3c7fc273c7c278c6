package jobcontroller

import (
	"cmp"
	"slices"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// maxListedJobs bounds the number of jobs in one list response.
const maxListedJobs = 1000

// admitForAccount checks a call from an account that another entry host has
// authenticated. An account can only see its own jobs.
func (c *Controller) admitForAccount(s *jobkeeper.State, req *jobwire.JobRequest) (*jobwire.JobResponse, *jobwire.Command) {
	address := req.GetAddress()
	switch call := req.GetCall().(type) {
	case *jobwire.JobRequest_Submit:
		q := s.Queue(address.GetQueue())
		if q == nil {
			return refuse(jobwire.Outcome_OUTCOME_NO_QUEUE, "no queue has this name"), nil
		}
		if j, ok := s.Jobs[address.GetId()]; ok && j.Spec.GetAccount() != address.GetAccount() {
			return refuse(jobwire.Outcome_OUTCOME_INVALID, "another account has a job of this id"), nil
		}
		return c.admitJob(s, q, address.GetAccount(), address.GetId(), call.Submit)
	case *jobwire.JobRequest_List:
		return c.list(s, address.GetAccount(), int(call.List.GetMost())), nil
	}
	j, ok := s.Jobs[address.GetId()]
	if !ok || j.Spec.GetAccount() != address.GetAccount() {
		return refuse(jobwire.Outcome_OUTCOME_NO_JOB, "the account has no such job"), nil
	}
	resp := &jobwire.JobResponse{
		Outcome: jobwire.Outcome_OUTCOME_OK,
		Jobs:    []*jobwire.JobStatus{c.status(j)},
	}
	if req.GetCancel() == nil || !j.Open() {
		return resp, nil
	}
	resp.Jobs[0].State = jobwire.JobState_JOB_STATE_CANCELLED
	_, cmd := c.admitCancel(s, address.GetId())
	return resp, cmd
}

// list returns the most recently accepted jobs of an account.
func (c *Controller) list(s *jobkeeper.State, account string, limit int) *jobwire.JobResponse {
	resp := &jobwire.JobResponse{
		Outcome: jobwire.Outcome_OUTCOME_OK,
	}
	for _, j := range s.Jobs {
		if j.Spec.GetAccount() == account {
			resp.Jobs = append(resp.Jobs, c.status(j))
		}
	}
	slices.SortFunc(resp.Jobs, func(a, b *jobwire.JobStatus) int {
		return cmp.Or(cmp.Compare(b.GetAcceptedAtUnixNanos(), a.GetAcceptedAtUnixNanos()), cmp.Compare(a.GetId(), b.GetId()))
	})
	if limit <= 0 || limit > maxListedJobs {
		limit = maxListedJobs
	}
	resp.Jobs = resp.Jobs[:min(limit, len(resp.Jobs))]
	return resp
}

func (c *Controller) status(j *jobkeeper.Job) *jobwire.JobStatus {
	status := &jobwire.JobStatus{
		Id:                  j.Spec.GetId(),
		Queue:               j.Spec.GetQueue(),
		State:               c.stateOf(j),
		AcceptedAtUnixNanos: j.Spec.GetAcceptedAtUnixNanos(),
	}
	if j.Open() {
		status.Tasks, status.TasksDone = j.Progress()
	}
	return status
}
