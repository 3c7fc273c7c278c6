package dispatcher_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/wire"
)

// Guards against a confirmed cancellation that is lost in a scheduler change, and
// against a cancellation by another team.
func TestCancelSurvivesSchedulerChange(t *testing.T) {
	for name, running := range map[string]bool{"running": true, "queued": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			c.advance(5 * time.Second)
			if !running {
				c.setServiceState(wire.ServiceState_SERVICE_STATE_OUT)
			}
			id := c.hosts["a1"].d.ServeSubmit(t.Context(), &wire.SubmitRequest{
				Task: &wire.Task{
					Id:           "dc-a.1",
					Team:         "team",
					Queue:        "jobs",
					Size:         cores(1000),
					Idempotent:   true,
					RunTimeNanos: int64(time.Minute),
				},
			}).GetStatus().GetTask().GetId()
			c.advance(2 * time.Second)
			is.Equal(c.startCount[id] == 1, running)
			req := &wire.TaskRequest{
				Id:   id,
				Team: "other",
			}
			is.True(!c.hosts["b1"].d.Cancel(t.Context(), req).GetFound())
			req.Team = "team"
			c.partition("w3", "*>w3", "w3>*") // the stop order can't reach the worker yet
			is.True(c.hosts["b1"].d.Cancel(t.Context(), req).GetFound())
			c.hosts["a1"].up = false
			c.advance(60 * time.Second)
			is.Equal(c.hosts["b1"].d.Get(t.Context(), req).GetStatus().GetState(), wire.TaskState_TASK_STATE_CANCELLED)
			is.True(c.startCount[id] <= 1)
			is.Equal(len(c.violations), 0)
		})
	}
}

// Guards against a deployment with a single entry host that starts no tasks, or
// that reports a second copy.
func TestSingleEntryHost(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.hosts["a2"].up = false
	c.hosts["b1"].up = false
	c.advance(10 * time.Second)
	req := &wire.SubmitRequest{
		Task: &wire.Task{
			Team:         "team",
			Queue:        "jobs",
			Size:         cores(1000),
			RunTimeNanos: int64(time.Second),
		},
	}
	is.True(c.hosts["a1"].d.Submit(t.Context(), req).GetRefusal() != "")
	req.AcceptSingleCopy = true
	resp := c.hosts["a1"].d.Submit(t.Context(), req)
	is.Equal(resp.GetCopies(), int32(1))
	c.advance(5 * time.Second)
	is.Equal(c.hosts["a1"].d.Get(t.Context(), &wire.TaskRequest{
		Id:   resp.GetStatus().GetTask().GetId(),
		Team: "team",
	}).GetStatus().GetState(), wire.TaskState_TASK_STATE_SUCCEEDED)
}

// Guards against a resubmission with the same idempotency key that creates a second
// task.
func TestResendReturnsFirstTask(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.advance(5 * time.Second)
	send := func(host string) *wire.SubmitResponse {
		return c.submit(host, &wire.Task{
			Size:           cores(1000),
			IdempotencyKey: "redeem-7",
			RunTimeNanos:   int64(time.Second),
		})
	}
	first := send("a1")
	c.messageFaults["submit"] = "delay"
	second := send("b1") // the first response is lost and the call is retried
	c.advance(5 * time.Second)
	third := send("a2")
	is.Equal(second.GetStatus().GetTask().GetId(), first.GetStatus().GetTask().GetId())
	is.Equal(third.GetStatus().GetTask().GetId(), first.GetStatus().GetTask().GetId())
	is.Equal(third.GetStatus().GetState(), wire.TaskState_TASK_STATE_SUCCEEDED)
	is.Equal(len(c.startCount), 1)
}

// Guards against queued tasks that are lost, run twice or not moved when their data
// centre is taken out of service, also if offers are lost or the scheduler changes
// during the move.
func TestQueuedTasksMoveToAnotherDataCentre(t *testing.T) {
	tests := map[string]func(c *cluster){
		"no fault":      func(*cluster) {},
		"lost response": func(c *cluster) { c.partition("b1", "b1>*") },
		"lost response, data centre returns": func(c *cluster) {
			c.partition("b1", "b1>*")
			c.runAfter(2*time.Second, func() { c.setServiceState(wire.ServiceState_SERVICE_STATE_IN) })
		},
		"delayed offer":    func(c *cluster) { c.messageFaults["submit"] = "delay" },
		"duplicate offer":  func(c *cluster) { c.messageFaults["submit"] = "duplicate" },
		"scheduler killed": func(c *cluster) { c.runAfter(300*time.Millisecond, func() { c.kill("a1", time.Minute) }) },
		"target restarted": func(c *cluster) { c.runAfter(300*time.Millisecond, func() { c.kill("b1", 0) }) },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t)
			c.workers["x1"] = &workerHost{
				cluster:    c,
				name:       "x1",
				dataCentre: "dc-b",
			}
			c.bootWorker("x1")
			c.apply(&wire.Command{
				Change: &wire.Command_AddHosts{
					AddHosts: &wire.AddHosts{
						Hosts: []*wire.Host{{
							Name:       "x1",
							DataCentre: "dc-b",
							Pool:       "pool",
							Capacity:   cores(4000),
						}},
					},
				},
			})
			c.setAllotments(teamLimit/2, teamLimit/2)
			c.apply(&wire.Command{
				Change: &wire.Command_AssignScheduler{
					AssignScheduler: &wire.AssignScheduler{
						DataCentre: "dc-b",
						EntryHost:  "b1",
					},
				},
			})
			c.advance(25 * time.Second)
			for i := range 12 {
				c.submit("a1", &wire.Task{
					Size:         cores(1000),
					Idempotent:   i%2 == 0,
					RunTimeNanos: int64(3 * time.Second),
				})
			}
			c.advance(time.Second)
			c.setServiceState(wire.ServiceState_SERVICE_STATE_OUT)
			fault(c)
			c.advance(90 * time.Second)
			is.Equal(len(c.acknowledged), 12)
			for _, problem := range append(c.violations, c.lost()...) {
				t.Error(problem)
			}
		})
	}
}

// Guards against running tasks that are not counted because a worker lists them by
// ID only to a scheduler that doesn't know them.
func TestPollWithoutDetailsNeedsKnownTasks(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.advance(5 * time.Second)
	poll := func(sequence uint64, describedTo, task string, detail *wire.Task) *wire.WorkerOrders {
		return c.hosts["a1"].d.ServePoll(t.Context(), &wire.WorkerPoll{
			Worker:      "w3",
			Incarnation: "other",
			DataCentre:  "dc-a",
			Capacity:    cores(64_000),
			Epoch:       1,
			Sequence:    sequence,
			DescribedTo: describedTo,
			Running: []*wire.RunningTask{
				{
					Task:   task,
					Epoch:  1,
					Detail: detail,
				},
			},
		})
	}
	known := poll(1, "", "dc-a.1", &wire.Task{
		Id:    "dc-a.1",
		Team:  "team",
		Queue: "jobs",
		Size:  cores(1000),
	})
	is.Equal(known.GetError(), "")
	is.True(known.GetSession() != "")
	is.Equal(poll(2, known.GetSession(), "dc-a.1", nil).GetError(), "")
	is.True(poll(3, "another", "dc-a.1", nil).GetError() != "")
	is.True(poll(3, known.GetSession(), "dc-a.2", nil).GetError() != "")
}

// Guards against urgent tasks that are queued in a data centre that has just
// returned to service, and against tasks queued where their team has no allotment.
func TestTasksGoWhereTheyStartSoon(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.apply(&wire.Command{
		Change: &wire.Command_AddHosts{
			AddHosts: &wire.AddHosts{
				Hosts: []*wire.Host{
					{
						Name:       "w4",
						DataCentre: "dc-b",
						Pool:       "pool",
						Capacity:   cores(64_000),
					},
				},
			},
		},
	})
	c.apply(&wire.Command{
		Change: &wire.Command_AssignScheduler{
			AssignScheduler: &wire.AssignScheduler{
				DataCentre: "dc-b",
				EntryHost:  "b1",
			},
		},
	})
	c.setAllotments(teamLimit/2, teamLimit/2)
	c.advance(5 * time.Second)
	submit := func(urgent bool) string {
		resp := c.hosts["a1"].d.Submit(t.Context(), &wire.SubmitRequest{
			Task: &wire.Task{
				Team:         "team",
				Queue:        "jobs",
				Size:         cores(1000),
				Idempotent:   true,
				Urgent:       urgent,
				RunTimeNanos: int64(time.Second),
			},
		})
		dataCentre, _, _ := strings.Cut(resp.GetStatus().GetTask().GetId(), ".")
		return dataCentre
	}
	is.Equal(submit(true), "dc-a")
	c.setServiceState(wire.ServiceState_SERVICE_STATE_OUT)
	c.advance(time.Second)
	c.setServiceState(wire.ServiceState_SERVICE_STATE_IN)
	c.advance(time.Second)
	is.Equal(submit(false), "dc-a")
	is.Equal(submit(true), "dc-b")
	c.setAllotments(0, teamLimit/2)
	c.advance(time.Second)
	is.Equal(submit(false), "dc-b")
}
