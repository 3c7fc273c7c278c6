package commander

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/google/uuid"
)

const (
	jobsPath = "/v1/jobs"
	// stdinName is the file name that stands for standard input.
	stdinName = "-"
)

func jobCommands(s *session) command {
	return command{
		name:  "job",
		short: "Submit and follow jobs",
		long:  "Submits, shows, lists and cancels jobs with the key of a submitter.",
		children: []command{
			{
				name:  "submit",
				short: "Submit a job",
				long:  "Submits the job of a JSON file, or of the standard input with -. A job that is submitted again with the same --idempotency-key is the same one.",
				data: &jobSubmit{
					session: s,
				},
			},
			{
				name:  "get",
				short: "Show a job",
				long:  "Shows the state of a job of the key's team.",
				data: &jobGet{
					session: s,
				},
			},
			{
				name:  "list",
				short: "List jobs",
				long:  "Lists the jobs of the key's team, the newest first.",
				data: &jobList{
					session: s,
				},
			},
			{
				name:  "cancel",
				short: "Cancel a job",
				long:  "Cancels a job of the key's team; what runs of it is stopped.",
				data: &jobCancel{
					session: s,
				},
			},
		},
	}
}

// job is the JSON form of a job's status.
type job struct {
	ID         string     `json:"id"`
	Queue      string     `json:"queue"`
	State      string     `json:"state"`
	Tasks      int64      `json:"tasks,omitempty"`
	TasksDone  int64      `json:"tasks-done,omitempty"`
	AcceptedAt *time.Time `json:"accepted-at,omitempty"`
}

// jobListAnswer is the JSON form of a list of jobs.
type jobListAnswer struct {
	Jobs []job `json:"jobs"`
}

func (s *session) showJobs(list []job) {
	s.table("JOB\tQUEUE\tSTATE\tDONE\tTASKS\tACCEPTED", func(row func(...any)) {
		for _, j := range list {
			accepted := ""
			if j.AcceptedAt != nil {
				accepted = j.AcceptedAt.Format(time.RFC3339)
			}
			row(j.ID, j.Queue, j.State, j.TasksDone, j.Tasks, accepted)
		}
	})
}

type jobSubmit struct {
	session *session
	Key     string `long:"idempotency-key" value-name:"KEY" description:"Key of the submission; without it one is made"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"File with the job, or - for the standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute submits the job. After a lost answer it resends the job with the same
// idempotency key.
func (c *jobSubmit) Execute([]string) error {
	data, err := c.read()
	if err != nil {
		return usageError("%v", err)
	}
	if !json.Valid(data) {
		return usageError("%s is not JSON", c.Args.File)
	}
	api, err := c.session.client()
	if err != nil {
		return err
	}
	if c.Key == "" {
		c.Key = uuid.NewString()
	}
	api.resty.SetHeader("Idempotency-Key", c.Key)
	api.repeatOption = "--idempotency-key"
	var accepted job
	if err := api.call(http.MethodPost, jobsPath, json.RawMessage(data), &accepted, c.Key); err != nil {
		return err
	}
	return c.session.show(accepted, func() { c.session.print("job %s is accepted\n", accepted.ID) })
}

func (c *jobSubmit) read() ([]byte, error) {
	if c.Args.File == stdinName {
		return io.ReadAll(c.session.stdin)
	}
	return os.ReadFile(c.Args.File)
}

// jobArgs is the positional argument of commands on one job.
type jobArgs struct {
	ID string `positional-arg-name:"ID" description:"ID of the job"`
}

type jobGet struct {
	session *session
	Args    jobArgs `positional-args:"yes" required:"yes"`
}

// Execute prints the state of the job.
func (c *jobGet) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	var found job
	if err := api.get(jobsPath+"/"+url.PathEscape(c.Args.ID), &found); err != nil {
		return err
	}
	return c.session.show(found, func() { c.session.showJobs([]job{found}) })
}

type jobList struct {
	session *session
}

// Execute lists the jobs of the key's team.
func (c *jobList) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	var list jobListAnswer
	if err := api.get(jobsPath, &list); err != nil {
		return err
	}
	return c.session.show(list, func() { c.session.showJobs(list.Jobs) })
}

type jobCancel struct {
	session *session
	Args    jobArgs `positional-args:"yes" required:"yes"`
}

// Execute cancels the job. A job that has already ended keeps its state.
func (c *jobCancel) Execute([]string) error {
	api, err := c.session.client()
	if err != nil {
		return err
	}
	// A repetition of the same command cancels the same job.
	api.repeatOption = ""
	var cancelled job
	if err := api.call(http.MethodDelete, jobsPath+"/"+url.PathEscape(c.Args.ID), nil, &cancelled, c.Args.ID); err != nil {
		return err
	}
	return c.session.show(cancelled, func() { c.session.print("job %s is %s\n", cancelled.ID, cancelled.State) })
}
