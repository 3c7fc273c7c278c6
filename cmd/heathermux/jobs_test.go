package main_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/announcer"
	"github.com/heathermux/heathermux/internal/commander"
	"github.com/heathermux/heathermux/internal/emulator"
	"github.com/heathermux/heathermux/pkg/timer"
)

// runRecorder is a job ledger that checks that no task of a job has two runs at the
// same time, or a run after it has completed.
type runRecorder struct {
	mu      sync.Mutex
	running map[string]int
	done    map[string]int
	// violations lists the runs that should not have started.
	violations []string
}

func (r *runRecorder) Started(task string, run uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running[task]++; r.running[task] > 1 || r.done[task] > 0 {
		r.violations = append(r.violations, fmt.Sprint(task, " run ", run))
	}
}

func (r *runRecorder) Ended(task string, _ uint64, how emulator.JobEnding) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[task]--
	if how == emulator.JobDone {
		r.done[task]++
	}
}

func (r *runRecorder) Noted(string, uint64, emulator.JobEnding) {}

// startJobWorkers starts workers that run tasks of jobs.
func (c *cluster) startJobWorkers(n int, ledger emulator.JobLedger) {
	c.t.Helper()
	var urls []string
	for _, h := range c.hosts {
		urls = append(urls, h.url)
	}
	for i := range n {
		w, err := emulator.NewJobWorker(emulator.JobWorkerOptions{
			ID:         fmt.Sprint("j-", i+1),
			Pool:       "redeem",
			DataCentre: fmt.Sprintf("dc-%d", i%voterCount+1),
			Capacity: announcer.Resources{
				MilliCores:  8000,
				MemoryBytes: 8 << 30,
			},
			TaskTime:   150 * time.Millisecond,
			EntryHosts: urls,
			Ledger:     ledger,
		})
		if err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(w.Kill)
	}
}

// jobAnswer has the fields of the API's job answers that the tests read.
type jobAnswer struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

const twoStepJob = `{"queue": "redeem-jobs", "steps": [
	{"tasks": 3, "processors": 2, "memory": "1GiB", "run-time": "150ms"},
	{"tasks": 2, "processors": 2, "memory": "1GiB", "run-time": "150ms", "after": [0]}]}`

// submitJob submits a job to the entry hosts in turn, with the same idempotency
// key, until one accepts it, and returns its ID.
func (c *cluster) submitJob(key, body string) string {
	c.t.Helper()
	id := ""
	n := 0
	c.eventually("job "+key+" is accepted", func() bool {
		n++
		h := c.hosts[n%len(c.hosts)]
		var answer jobAnswer
		response, err := c.client.R().SetAuthToken(c.teamKey).SetHeader("Idempotency-Key", key).
			SetBody(body).SetResult(&answer).Post(h.url + "/v1/jobs")
		if err != nil || response.StatusCode() != http.StatusAccepted {
			return false
		}
		id = answer.ID
		return true
	})
	return id
}

func (c *cluster) jobState(id string) string {
	for _, h := range c.hosts {
		var answer jobAnswer
		response, err := c.client.R().SetAuthToken(c.teamKey).SetResult(&answer).Get(h.url + "/v1/jobs/" + id)
		if err == nil && response.StatusCode() == http.StatusOK {
			return answer.State
		}
	}
	return ""
}

// crashingWorkers starts job workers of which each one crashes that starts a task of the
// deadly job. It is back after a moment under its ID.
type crashingWorkers struct {
	c      *cluster
	ledger emulator.JobLedger

	mu      sync.Mutex
	workers map[string]*emulator.JobWorker
	// deadly is the job of the first task that starts.
	deadly  string
	crashes int
	closed  bool
}

func (w *crashingWorkers) start(id string) {
	var urls []string
	for _, h := range w.c.hosts {
		urls = append(urls, h.url)
	}
	started, err := emulator.NewJobWorker(emulator.JobWorkerOptions{
		ID:         id,
		Pool:       "redeem",
		DataCentre: "dc-1",
		Capacity: announcer.Resources{
			MilliCores:  8000,
			MemoryBytes: 8 << 30,
		},
		TaskTime:   150 * time.Millisecond,
		EntryHosts: urls,
		Ledger:     w.ledger,
		OnStart:    func(job string) { w.started(id, job) },
	})
	if err != nil {
		w.c.t.Error(err)
		return
	}
	w.workers[id] = started
}

func (w *crashingWorkers) started(id, job string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deadly == "" {
		w.deadly = job
	}
	if job != w.deadly {
		return
	}
	w.crashes++
	go func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.closed {
			return
		}
		w.workers[id].Kill()
		time.Sleep(500 * time.Millisecond)
		w.start(id)
	}()
}

func (w *crashingWorkers) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, worker := range w.workers {
		worker.Kill()
	}
}

// jobs: a job with a task that crashes each worker that starts it must fail after a few
// of them, and the jobs beside it complete.
func TestJobThatCrashesWorkersFails(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.waitForFullView()
	workers := &crashingWorkers{
		c: c,
		ledger: &runRecorder{
			running: make(map[string]int),
			done:    make(map[string]int),
		},
		workers: make(map[string]*emulator.JobWorker),
	}
	workers.mu.Lock()
	for i := range 4 {
		workers.start(fmt.Sprint("j-", i+1))
	}
	workers.mu.Unlock()
	t.Cleanup(workers.close)
	deadly := c.submitJob("deadly", `{"queue": "redeem-jobs", "steps": [{"tasks": 1, "processors": 1, "memory": "1MiB", "run-time": "150ms", "after": []}]}`)
	c.eventually("a worker crashes", func() bool {
		workers.mu.Lock()
		defer workers.mu.Unlock()
		return workers.crashes > 0
	})
	harmless := c.submitJob("harmless", twoStepJob)
	c.eventually("the deadly job fails", func() bool { return c.jobState(deadly) == "failed" })
	c.eventually("the harmless job is completed", func() bool { return c.jobState(harmless) == "completed" })
	workers.mu.Lock()
	defer workers.mu.Unlock()
	is.Equal(workers.deadly, deadly)
	is.True(workers.crashes <= 5)
}

// jobs: accepted jobs must survive the kill of the leader and complete, and no task
// may run twice. A repeated submission with the same idempotency key must return
// the same job.
func TestJobsSurviveKilledLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.waitForFullView()
	ledger := &runRecorder{
		running: make(map[string]int),
		done:    make(map[string]int),
	}
	c.startJobWorkers(4, ledger)
	ids := make(map[string]bool)
	for i := range 10 {
		ids[c.submitJob(fmt.Sprint("before-", i), twoStepJob)] = true
	}
	c.kill(c.leader())
	for i := range 10 {
		ids[c.submitJob(fmt.Sprint("after-", i), twoStepJob)] = true
		ids[c.submitJob(fmt.Sprint("before-", i), twoStepJob)] = true
	}
	is.Equal(len(ids), 20)
	for id := range ids {
		c.eventually("job "+id+" is completed", func() bool { return c.jobState(id) == "completed" })
	}
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	is.Equal(len(ledger.violations), 0)
	is.Equal(len(ledger.done), 20*5)
}

// The job commands of the command line must work as documented in their help
// against real processes.
func TestJobCommands(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.waitForFullView()
	c.startJobWorkers(2, &runRecorder{
		running: make(map[string]int),
		done:    make(map[string]int),
	})
	file := filepath.Join(t.TempDir(), "job.json")
	is.NoErr(os.WriteFile(file, []byte(strings.Replace(twoStepJob, `"run-time": "150ms"}`, `"lasting": true}`, 1)), 0o600))
	t.Setenv("HEATHERMUX_KEY", c.teamKey)
	run := func(want int, args ...string) string {
		t.Helper()
		var out bytes.Buffer
		args = append([]string{"--server", c.hosts[0].url, "--wait", "30s", "job"}, args...)
		code := commander.Run(t.Context(), args, commander.Programs{
			Clock: timer.System(),
		}, strings.NewReader(twoStepJob), &out, &out)
		if code != want {
			t.Fatalf("%v: exit code %d, want %d: %s", args, code, want, &out)
		}
		return out.String()
	}
	id := strings.Fields(run(commander.ExitDone, "submit", "-"))[1]
	c.eventually("the job is completed", func() bool { return strings.Contains(run(commander.ExitDone, "get", id), "completed") })
	lasting := strings.Fields(run(commander.ExitDone, "submit", "--idempotency-key", "once", file))[1]
	is.Equal(strings.Fields(run(commander.ExitDone, "submit", "--idempotency-key", "once", file))[1], lasting)
	list := run(commander.ExitDone, "list")
	is.True(strings.Contains(list, id) && strings.Contains(list, lasting))
	is.True(strings.Contains(run(commander.ExitDone, "cancel", lasting), "cancelled"))
	is.True(strings.Contains(run(commander.ExitDone, "get", lasting), "cancelled"))
	run(commander.ExitRejected, "get", "0123456789abcdef")
	run(commander.ExitRejected, "cancel", "0123456789abcdef")
	is.NoErr(os.WriteFile(file, []byte(`{"queue": "redeem-jobs", "steps": [{"task": 3}]}`), 0o600))
	is.True(strings.Contains(run(commander.ExitUsage, "submit", file), `field "task" is not known`))
	is.NoErr(os.WriteFile(file, []byte(strings.Replace(twoStepJob, "redeem-jobs", "redeem", 1)), 0o600))
	run(commander.ExitRejected, "submit", file)
	t.Setenv("HEATHERMUX_KEY", c.operatorKey)
	run(commander.ExitNotAllowed, "list")
}
