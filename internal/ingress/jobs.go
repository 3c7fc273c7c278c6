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
	// jobTimeout bounds the calls to the leader, which syncs a job on a majority
	// of disks before it accepts it.
	jobTimeout = 2 * time.Second
	// jobsListed is how many jobs a list has at most.
	jobsListed = 1000
	// jobIDBytes is the length of a job's id, which is written in hexadecimal.
	jobIDBytes = 8
)

// jobAnswer is the JSON form of a job's status.
type jobAnswer struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	// State is queued, running, completed, failed or cancelled.
	State string `json:"state"`
	// Tasks and TasksDone are told of open jobs.
	Tasks      int64      `json:"tasks,omitempty"`
	TasksDone  int64      `json:"tasks-done,omitempty"`
	AcceptedAt *time.Time `json:"accepted-at,omitempty"`
}

// jobList is the JSON form of a list of jobs, the newest first.
type jobList struct {
	Jobs []jobAnswer `json:"jobs"`
}

func (g *Ingress) serveJob(w http.ResponseWriter, r *http.Request) {
	ctx, span := g.startSpan(r, "job")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, jobTimeout)
	defer cancel()
	status, answer, refusal := g.job(ctx, w, r)
	if refusal != nil {
		refusal.seenKey(r.Header).write(w)
		return
	}
	body, err := json.Marshal(answer)
	if err != nil {
		problem(http.StatusInternalServerError, "answer-unreadable", "Answer can't be written", err.Error()).ran(Unknown, Unknown).write(w)
		return
	}
	location := ""
	if accepted, ok := answer.(*jobAnswer); ok && status == http.StatusAccepted {
		location = jobsPath + "/" + accepted.ID
	}
	writeJSON(w, status, location, body)
}

func (g *Ingress) job(ctx context.Context, w http.ResponseWriter, r *http.Request) (int, any, *Problem) {
	c, refusal := takeCredential(r.Header)
	if refusal != nil {
		return 0, nil, refusal
	}
	if g.cfg.Jobs == nil {
		return 0, nil, problem(http.StatusServiceUnavailable, "no-jobs", "No jobs are taken",
			"this entry host takes no jobs").after(time.Second)
	}
	id := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, jobsPath), "/")
	switch {
	case id == "" && r.Method == http.MethodPost:
		return g.submitJob(ctx, w, r, c)
	case id == "" && r.Method == http.MethodGet:
		return g.listJobs(ctx, c)
	case id != "" && r.Method == http.MethodGet:
		return g.ownJob(ctx, id, c, &jobwire.JobRequest{
			Call: &jobwire.JobRequest_Get{
				Get: &jobwire.GetJob{},
			},
		})
	case id != "" && r.Method == http.MethodDelete:
		return g.ownJob(ctx, id, c, &jobwire.JobRequest{
			Call: &jobwire.JobRequest_Cancel{
				Cancel: &jobwire.CancelJob{
					Id: id,
				},
			},
		})
	}
	return 0, nil, problem(http.StatusMethodNotAllowed, "method-not-allowed", "Method is not allowed",
		"allowed are GET and POST "+jobsPath+", GET and DELETE "+jobsPath+"/{id}")
}

func (g *Ingress) submitJob(ctx context.Context, w http.ResponseWriter, r *http.Request, c credential) (int, any, *Problem) {
	key, refusal := idempotencyKey(r.Header)
	if refusal != nil {
		return 0, nil, refusal
	}
	size := g.bodyReserve(r)
	if !g.bodies.reserve(size) {
		return 0, nil, bodyMemoryFull().after(time.Second)
	}
	defer g.bodies.release(size)
	body, refusal := g.readBody(w, r, jobTimeout)
	if refusal != nil {
		return 0, nil, refusal
	}
	s, err := parseJob(body)
	if err != nil {
		return 0, nil, problem(http.StatusBadRequest, "bad-job", "Job is not readable", err.Error())
	}
	if most := g.cfg.Limits.TaskPayload; len(s.job.GetPayload()) > most {
		return 0, nil, problem(http.StatusRequestEntityTooLarge, "payload-too-large", "Payload is too large",
			"the payload of a job has at most "+strconv.Itoa(most)+" bytes")
	}
	present := g.cfg.View()
	view := g.saw(&present)
	queue, refusal := findQueue(view, g.cfg.Clock.Now(), wire.QueueKind_QUEUE_KIND_JOBS, s.queue)
	if refusal != nil {
		return 0, nil, refusal
	}
	team, refusal := authorise(view, g.cfg.Clock.Now(), &c, queue, true)
	if refusal != nil {
		return 0, nil, refusal
	}
	if team == nil {
		return 0, nil, problem(http.StatusUnauthorized, "key-missing", "Key is missing",
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
	if refusal := refusedJob(resp, key != ""); refusal != nil {
		return 0, nil, refusal
	}
	return http.StatusAccepted, &jobAnswer{
		ID:    id,
		Queue: s.queue,
		State: stateName(jobwire.JobState_JOB_STATE_QUEUED),
	}, nil
}

// jobID returns the id of a job. With an idempotency key it follows from team,
// key and body, so that a job which is sent again is the same one.
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

// refusedJob returns why a job was not accepted, nil when it was.
func refusedJob(resp *jobwire.JobResponse, keyed bool) *Problem {
	switch resp.GetOutcome() {
	case jobwire.Outcome_OUTCOME_OK:
		return nil
	case jobwire.Outcome_OUTCOME_INVALID:
		return problem(http.StatusUnprocessableEntity, "job-impossible", "Job can't be taken", resp.GetReason())
	case jobwire.Outcome_OUTCOME_NO_QUEUE:
		return problem(http.StatusServiceUnavailable, "queue-not-ready", "Queue is not ready",
			"the queue is not in force for jobs yet").after(time.Second)
	case jobwire.Outcome_OUTCOME_TOO_MANY:
		return problem(http.StatusTooManyRequests, "queue-full", "Queue is full", resp.GetReason()).
			after(time.Duration(resp.GetRetryAfterNanos()))
	case jobwire.Outcome_OUTCOME_TOO_LARGE:
		return problem(http.StatusRequestEntityTooLarge, "body-too-large", "Body is too large", resp.GetReason())
	case jobwire.Outcome_OUTCOME_UNAVAILABLE:
		return problem(http.StatusServiceUnavailable, "no-leader", "No host leads", resp.GetReason()).
			after(max(time.Second, time.Duration(resp.GetRetryAfterNanos())))
	}
	p := problem(http.StatusBadGateway, "leader-silent", "Leader did not answer",
		"the leader may have accepted the job").ran(Unknown, Unknown)
	if keyed {
		p = p.after(time.Second)
	}
	return p
}

// jobTeam returns the team whose jobs a caller may see.
func (g *Ingress) jobTeam(c credential) (string, *Problem) {
	present := g.cfg.View()
	view := g.saw(&present)
	if !view.Live(g.cfg.Clock.Now()) {
		return "", noLease().ran(Unknown, NotRun)
	}
	team, ok := c.team(&view.State)
	if !ok {
		return "", keyUnknown().ran(Unknown, NotRun)
	}
	return team.GetName(), nil
}

// ownJob reads or cancels a job of the key's team.
func (g *Ingress) ownJob(ctx context.Context, id string, c credential, req *jobwire.JobRequest) (int, any, *Problem) {
	team, refusal := g.jobTeam(c)
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
		return 0, nil, problem(http.StatusNotFound, "unknown-job", "Job is not known",
			"the team of this key has no such job, or it ended too long ago").ran(Unknown, NotRun)
	case resp.GetOutcome() != jobwire.Outcome_OUTCOME_OK || len(resp.GetJobs()) != 1:
		return 0, nil, problem(http.StatusServiceUnavailable, "leader-silent", "Leader did not answer",
			"the state of the job is not known").ran(Unknown, Unknown).after(time.Second)
	}
	answer := jobAnswerOf(resp.GetJobs()[0])
	return http.StatusOK, &answer, nil
}

// listJobs lists the jobs of the key's team.
func (g *Ingress) listJobs(ctx context.Context, c credential) (int, any, *Problem) {
	team, refusal := g.jobTeam(c)
	if refusal != nil {
		return 0, nil, refusal
	}
	resp := g.cfg.Jobs.Job(ctx, &jobwire.JobRequest{
		Address: &jobwire.Address{
			Account: team,
		},
		Call: &jobwire.JobRequest_List{
			List: &jobwire.ListJobs{
				Most: jobsListed,
			},
		},
	})
	if resp.GetOutcome() != jobwire.Outcome_OUTCOME_OK {
		return 0, nil, problem(http.StatusServiceUnavailable, "leader-silent", "Leader did not answer",
			"the jobs are not known").ran(Unknown, NotRun).after(time.Second)
	}
	list := &jobList{
		Jobs: []jobAnswer{},
	}
	for _, j := range resp.GetJobs() {
		list.Jobs = append(list.Jobs, jobAnswerOf(j))
	}
	return http.StatusOK, list, nil
}

func jobAnswerOf(j *jobwire.JobStatus) jobAnswer {
	answer := jobAnswer{
		ID:        j.GetId(),
		Queue:     j.GetQueue(),
		State:     stateName(j.GetState()),
		Tasks:     j.GetTasks(),
		TasksDone: j.GetTasksDone(),
	}
	if at := j.GetAcceptedAtUnixNanos(); at != 0 {
		t := time.Unix(0, at).UTC()
		answer.AcceptedAt = &t
	}
	return answer
}

func stateName(s jobwire.JobState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "JOB_STATE_"))
}
