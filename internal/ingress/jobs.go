package ingress

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
)

const (
	// jobCallTimeout limits the calls to the leader, which accepts a job only
	// after it is synced to a majority of the replicas' disks.
	jobCallTimeout = 2 * time.Second
	// maxListedJobs is the maximum length of a list of jobs.
	maxListedJobs = 1000
	// jobIDBytes is the length of a job ID before it is encoded in hexadecimal.
	jobIDBytes = 8
)

// jobStatusJSON is the status of a job in a response body.
type jobStatusJSON struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// State is queued, running, completed, failed or cancelled.
	State string `json:"state"`
	// Tasks and TasksDone are set for open jobs only.
	Tasks      int64      `json:"tasks,omitempty"`
	TasksDone  int64      `json:"tasks-done,omitempty"`
	AcceptedAt *time.Time `json:"accepted-at,omitempty"`
}

// jobListJSON is the response body of a list of jobs, the newest first.
type jobListJSON struct {
	Jobs []jobStatusJSON `json:"jobs"`
}

// serveJob serves /v1/jobs and the paths below it.
func (g *Ingress) serveJob(w http.ResponseWriter, r *http.Request) {
	ctx, span := g.startSpan(r, "job")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, jobCallTimeout)
	defer cancel()
	status, answer, refusal := g.handleJob(ctx, w, r)
	if refusal != nil {
		refusal.unknownRunIfKeyed(r.Header).write(w)
		return
	}
	body, err := json.Marshal(answer)
	if err != nil {
		newProblem(http.StatusInternalServerError, "answer-unreadable", "Answer can't be written", err.Error()).withRun(RunUnknown, RunUnknown).write(w)
		return
	}
	location := ""
	if accepted, ok := answer.(*jobStatusJSON); ok && status == http.StatusAccepted {
		location = jobsPath + "/" + accepted.ID
	}
	writeJSON(w, status, location, body)
}

// handleJob calls the leader and returns the status and body of the response, or
// a refusal.
func (g *Ingress) handleJob(ctx context.Context, w http.ResponseWriter, r *http.Request) (int, any, *Problem) {
	cred, refusal := takeCredential(r.Header)
	if refusal != nil {
		return 0, nil, refusal
	}
	if g.cfg.Jobs == nil {
		return 0, nil, newProblem(http.StatusServiceUnavailable, "no-jobs", "No jobs are taken",
			"this entry host takes no jobs").withRetryAfter(time.Second)
	}
	id := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, jobsPath), "/")
	switch {
	case id == "" && r.Method == http.MethodPost:
		return g.submitJob(ctx, w, r, cred)
	case id == "" && r.Method == http.MethodGet:
		return g.listJobs(ctx, cred)
	case id != "" && r.Method == http.MethodGet:
		return g.getOrCancelJob(ctx, id, cred, &jobwire.JobRequest{
			Call: &jobwire.JobRequest_Get{
				Get: &jobwire.GetJob{},
			},
		})
	case id != "" && r.Method == http.MethodDelete:
		return g.getOrCancelJob(ctx, id, cred, &jobwire.JobRequest{
			Call: &jobwire.JobRequest_Cancel{
				Cancel: &jobwire.CancelJob{
					Id: id,
				},
			},
		})
	}
	return 0, nil, newProblem(http.StatusMethodNotAllowed, "method-not-allowed", "Method is not allowed",
		"allowed are GET and POST "+jobsPath+", GET and DELETE "+jobsPath+"/{id}")
}

// submitJob checks a submitted job and passes it to the leader.
func (g *Ingress) submitJob(ctx context.Context, w http.ResponseWriter, r *http.Request, cred credential) (int, any, *Problem) {
	key, refusal := idempotencyKey(r.Header)
	if refusal != nil {
		return 0, nil, refusal
	}
	if view := g.cfg.View(); !view.Live(g.cfg.Clock.Now()) {
		return 0, nil, noLeaseProblem()
	}
	size := g.maxBodySize(r)
	if !g.bodyMemory.reserve(size) {
		return 0, nil, bodyMemoryFullProblem().withRetryAfter(time.Second)
	}
	defer g.bodyMemory.release(size)
	body, refusal := g.readBody(w, r, jobCallTimeout)
	if refusal != nil {
		return 0, nil, refusal
	}
	s, err := parseJob(body)
	if err != nil {
		return 0, nil, newProblem(http.StatusBadRequest, "bad-job", "Job is not readable", err.Error())
	}
	if limit := g.cfg.Limits.TaskPayload; len(s.job.GetPayload()) > limit {
		return 0, nil, newProblem(http.StatusRequestEntityTooLarge, "payload-too-large", "Payload is too large",
			"the payload of a job has at most "+strconv.Itoa(limit)+" bytes")
	}
	current := g.cfg.View()
	view := g.recordRevision(&current)
	queue, refusal := findQueue(view, g.cfg.Clock.Now(), wire.QueueKind_QUEUE_KIND_JOBS, s.queue)
	if refusal != nil {
		return 0, nil, refusal
	}
	team, refusal := authorise(view, g.cfg.Clock.Now(), &cred, queue, true)
	if refusal != nil {
		return 0, nil, refusal
	}
	if team == nil {
		return 0, nil, newProblem(http.StatusUnauthorized, "key-missing", "Key is missing",
			"jobs are taken only with a key: Authorization: Bearer KEY")
	}
	id := jobID(team.GetName(), key, body)
	resp := g.cfg.Jobs.Job(ctx, &jobwire.JobRequest{
		Address: &jobwire.Address{
			Account: team.GetName(),
			Queue:   s.queue,
			Id:      id,
		},
		Call: &jobwire.JobRequest_Submit{
			Submit: s.job,
		},
		BodyBytes: int64(len(body)),
	})
	if refusal := jobProblem(resp, key != ""); refusal != nil {
		return 0, nil, refusal
	}
	return http.StatusAccepted, &jobStatusJSON{
		ID:    id,
		Queue: s.queue,
		State: jobStateName(jobwire.JobState_JOB_STATE_QUEUED),
	}, nil
}

// jobID returns the ID of a new job. With an idempotency key it is a hash of team,
// key and body, so that a resend gets the ID of the first submission; otherwise it
// is random.
func jobID(team, key string, body []byte) string {
	if key == "" {
		id := uuid.New()
		return hex.EncodeToString(id[:jobIDBytes])
	}
	h := sha256.New()
	for _, part := range [][]byte{[]byte(team), []byte(key), body} {
		h.Write([]byte(strconv.Itoa(len(part)) + ":"))
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil)[:jobIDBytes])
}

// jobProblem returns the refusal for the leader's response to a submission, or nil
// when the job was accepted. Without an idempotency key an unknown outcome gets no
// Retry-After, because a resend could submit the job twice.
func jobProblem(resp *jobwire.JobResponse, keyed bool) *Problem {
	switch resp.GetOutcome() {
	case jobwire.Outcome_OUTCOME_OK:
		return nil
	case jobwire.Outcome_OUTCOME_INVALID:
		return newProblem(http.StatusUnprocessableEntity, "job-impossible", "Job can't be taken", resp.GetReason())
	case jobwire.Outcome_OUTCOME_NO_QUEUE:
		return newProblem(http.StatusServiceUnavailable, "queue-not-ready", "Queue is not ready",
			"the queue is not in force for jobs yet").withRetryAfter(time.Second)
	case jobwire.Outcome_OUTCOME_TOO_MANY:
		return newProblem(http.StatusTooManyRequests, "queue-full", "Queue is full", resp.GetReason()).
			withRetryAfter(time.Duration(resp.GetRetryAfterNanos()))
	case jobwire.Outcome_OUTCOME_TOO_LARGE:
		return newProblem(http.StatusRequestEntityTooLarge, "body-too-large", "Body is too large", resp.GetReason())
	case jobwire.Outcome_OUTCOME_UNAVAILABLE:
		return newProblem(http.StatusServiceUnavailable, "no-leader", "No host leads", resp.GetReason()).
			withRetryAfter(max(time.Second, time.Duration(resp.GetRetryAfterNanos())))
	}
	p := newProblem(http.StatusBadGateway, "leader-silent", "Leader did not answer",
		"the leader may have accepted the job").withRun(RunUnknown, RunUnknown)
	if keyed {
		p = p.withRetryAfter(time.Second)
	}
	return p
}

// jobTeam returns the name of the key's team, the only team whose jobs the caller
// may see.
func (g *Ingress) jobTeam(cred credential) (string, *Problem) {
	current := g.cfg.View()
	view := g.recordRevision(&current)
	if !view.Live(g.cfg.Clock.Now()) {
		return "", noLeaseProblem().withRun(RunUnknown, NotRun)
	}
	team, ok := cred.team(&view.State)
	if !ok {
		return "", unknownKeyProblem().withRun(RunUnknown, NotRun)
	}
	return team.GetName(), nil
}

// getOrCancelJob sends req, which reads or cancels a job, to the leader for the
// key's team.
func (g *Ingress) getOrCancelJob(ctx context.Context, id string, cred credential, req *jobwire.JobRequest) (int, any, *Problem) {
	team, refusal := g.jobTeam(cred)
	if refusal != nil {
		return 0, nil, refusal
	}
	req.Address = &jobwire.Address{
		Account: team,
		Id:      id,
	}
	resp := g.cfg.Jobs.Job(ctx, req)
	switch {
	case resp.GetOutcome() == jobwire.Outcome_OUTCOME_NO_JOB:
		return 0, nil, newProblem(http.StatusNotFound, "unknown-job", "Job is not known",
			"the team of this key has no such job, or it ended too long ago").withRun(RunUnknown, NotRun)
	case resp.GetOutcome() != jobwire.Outcome_OUTCOME_OK || len(resp.GetJobs()) != 1:
		return 0, nil, newProblem(http.StatusServiceUnavailable, "leader-silent", "Leader did not answer",
			"the state of the job is not known").withRun(RunUnknown, RunUnknown).withRetryAfter(time.Second)
	}
	answer := newJobStatusJSON(resp.GetJobs()[0])
	return http.StatusOK, &answer, nil
}

// listJobs returns at most maxListedJobs jobs of the key's team.
func (g *Ingress) listJobs(ctx context.Context, cred credential) (int, any, *Problem) {
	team, refusal := g.jobTeam(cred)
	if refusal != nil {
		return 0, nil, refusal
	}
	resp := g.cfg.Jobs.Job(ctx, &jobwire.JobRequest{
		Address: &jobwire.Address{
			Account: team,
		},
		Call: &jobwire.JobRequest_List{
			List: &jobwire.ListJobs{
				Most: maxListedJobs,
			},
		},
	})
	if resp.GetOutcome() != jobwire.Outcome_OUTCOME_OK {
		return 0, nil, newProblem(http.StatusServiceUnavailable, "leader-silent", "Leader did not answer",
			"the jobs are not known").withRun(RunUnknown, NotRun).withRetryAfter(time.Second)
	}
	list := &jobListJSON{
		Jobs: []jobStatusJSON{},
	}
	for _, j := range resp.GetJobs() {
		list.Jobs = append(list.Jobs, newJobStatusJSON(j))
	}
	return http.StatusOK, list, nil
}

func newJobStatusJSON(j *jobwire.JobStatus) jobStatusJSON {
	answer := jobStatusJSON{
		ID:        j.GetId(),
		Queue:     j.GetQueue(),
		State:     jobStateName(j.GetState()),
		Tasks:     j.GetTasks(),
		TasksDone: j.GetTasksDone(),
	}
	if at := j.GetAcceptedAtUnixNanos(); at != 0 {
		t := time.Unix(0, at).UTC()
		answer.AcceptedAt = &t
	}
	return answer
}

// jobStateName returns the state as it is written in responses, such as "queued".
func jobStateName(s jobwire.JobState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "JOB_STATE_"))
}
