package dispatcher_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/wire"
)

// Guards against a confirmed cancellation that a scheduler change forgets,
// and against a cancellation by another team.
func TestCancelSurvivesSchedulerChange(t *testing.T) {
	for name, running := range map[string]bool{"running": true, "queued": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.advance(5 * time.Second)
			if !running {
				w.setZone(wire.ServiceState_SERVICE_STATE_OUT)
			}
			id := w.hosts["a1"].d.ServeSubmit(t.Context(), &wire.SubmitRequest{
				Task: &wire.Task{
					Id:           "dc-a.1",
					Team:         "team",
					Queue:        "jobs",
					Size:         cores(1000),
					Idempotent:   true,
					RunTimeNanos: int64(time.Minute),
				},
			}).GetStatus().GetTask().GetId()
			w.advance(2 * time.Second)
			is.Equal(w.runs[id] == 1, running)
			req := &wire.TaskRequest{
				Id:   id,
				Team: "other",
			}
			is.True(!w.hosts["b1"].d.Cancel(t.Context(), req).GetFound())
			req.Team = "team"
			w.partition("w3", "*>w3", "w3>*") // the stop can't reach the worker yet
			is.True(w.hosts["b1"].d.Cancel(t.Context(), req).GetFound())
			w.hosts["a1"].up = false
			w.advance(60 * time.Second)
			is.Equal(w.hosts["b1"].d.Get(t.Context(), req).GetStatus().GetState(), wire.TaskState_TASK_STATE_CANCELLED)
			is.True(w.runs[id] <= 1)
			is.Equal(len(w.trouble), 0)
		})
	}
}

// Guards against a deployment of one entry host that never starts anything or
// claims a second copy.
func TestSingleEntryHost(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.hosts["a2"].up = false
	w.hosts["b1"].up = false
	w.advance(10 * time.Second)
	req := &wire.SubmitRequest{
		Task: &wire.Task{
			Team:         "team",
			Queue:        "jobs",
			Size:         cores(1000),
			RunTimeNanos: int64(time.Second),
		},
	}
	is.True(w.hosts["a1"].d.Submit(t.Context(), req).GetRefusal() != "")
	req.AcceptSingleCopy = true
	resp := w.hosts["a1"].d.Submit(t.Context(), req)
	is.Equal(resp.GetCopies(), int32(1))
	w.advance(5 * time.Second)
	is.Equal(w.hosts["a1"].d.Get(t.Context(), &wire.TaskRequest{
		Id:   resp.GetStatus().GetTask().GetId(),
		Team: "team",
	}).GetStatus().GetState(), wire.TaskState_TASK_STATE_SUCCEEDED)
}

// Guards against a resend that becomes a second task.
func TestResendReturnsFirstTask(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.advance(5 * time.Second)
	send := func(host string) *wire.SubmitResponse {
		return w.submit(host, &wire.Task{
			Size:           cores(1000),
			IdempotencyKey: "redeem-7",
			RunTimeNanos:   int64(time.Second),
		})
	}
	first := send("a1")
	w.mangle["submit"] = "delay"
	second := send("b1") // the first response is lost, a repeat follows
	w.advance(5 * time.Second)
	third := send("a2")
	is.Equal(second.GetStatus().GetTask().GetId(), first.GetStatus().GetTask().GetId())
	is.Equal(third.GetStatus().GetTask().GetId(), first.GetStatus().GetTask().GetId())
	is.Equal(third.GetStatus().GetState(), wire.TaskState_TASK_STATE_SUCCEEDED)
	is.Equal(len(w.runs), 1)
}

// Guards against queued tasks that are lost, run twice or left behind when
// their data centre is taken out of service, also when offers are lost and the
// scheduler changes in between.
func TestQueuedTasksMoveToAnotherDataCentre(t *testing.T) {
	tests := map[string]func(w *world){
		"no fault":      func(*world) {},
		"lost response": func(w *world) { w.partition("b1", "b1>*") },
		"lost response, zone returns": func(w *world) {
			w.partition("b1", "b1>*")
			w.after(2*time.Second, func() { w.setZone(wire.ServiceState_SERVICE_STATE_IN) })
		},
		"delayed offer":    func(w *world) { w.mangle["submit"] = "delay" },
		"duplicate offer":  func(w *world) { w.mangle["submit"] = "duplicate" },
		"scheduler killed": func(w *world) { w.after(300*time.Millisecond, func() { w.kill("a1", time.Minute) }) },
		"target restarted": func(w *world) { w.after(300*time.Millisecond, func() { w.kill("b1", 0) }) },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t)
			w.workers["x1"] = &workerHost{
				w:    w,
				name: "x1",
				zone: "dc-b",
			}
			w.bootWorker("x1")
			w.apply(&wire.Command{
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
			w.allot(teamLimit/2, teamLimit/2)
			w.apply(&wire.Command{
				Change: &wire.Command_AssignScheduler{
					AssignScheduler: &wire.AssignScheduler{
						DataCentre: "dc-b",
						EntryHost:  "b1",
					},
				},
			})
			w.advance(25 * time.Second)
			for i := range 12 {
				w.submit("a1", &wire.Task{
					Size:         cores(1000),
					Idempotent:   i%2 == 0,
					RunTimeNanos: int64(3 * time.Second),
				})
			}
			w.advance(time.Second)
			w.setZone(wire.ServiceState_SERVICE_STATE_OUT)
			fault(w)
			w.advance(90 * time.Second)
			is.Equal(len(w.acked), 12)
			for _, problem := range append(w.trouble, w.lost()...) {
				t.Error(problem)
			}
		})
	}
}

// Guards against tasks that run uncounted because a scheduler was told of them
// by name only.
func TestPollWithoutDetailsNeedsKnownTasks(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.advance(5 * time.Second)
	poll := func(sequence uint64, describedTo, task string, detail *wire.Task) *wire.WorkerOrders {
		return w.hosts["a1"].d.ServePoll(t.Context(), &wire.WorkerPoll{
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

// Guards against urgent tasks that wait in a data centre that has just returned
// to service, and against tasks that wait where their team may run nothing.
func TestTasksGoWhereTheyStartSoon(t *testing.T) {
	is := is.New(t)
	w := newWorld(t)
	w.apply(&wire.Command{
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
	w.apply(&wire.Command{
		Change: &wire.Command_AssignScheduler{
			AssignScheduler: &wire.AssignScheduler{
				DataCentre: "dc-b",
				EntryHost:  "b1",
			},
		},
	})
	w.allot(teamLimit/2, teamLimit/2)
	w.advance(5 * time.Second)
	submit := func(urgent bool) string {
		resp := w.hosts["a1"].d.Submit(t.Context(), &wire.SubmitRequest{
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
	w.setZone(wire.ServiceState_SERVICE_STATE_OUT)
	w.advance(time.Second)
	w.setZone(wire.ServiceState_SERVICE_STATE_IN)
	w.advance(time.Second)
	is.Equal(submit(false), "dc-a")
	is.Equal(submit(true), "dc-b")
	w.allot(0, teamLimit/2)
	w.advance(time.Second)
	is.Equal(submit(false), "dc-b")
}
