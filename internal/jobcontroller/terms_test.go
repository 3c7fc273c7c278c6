package jobcontroller_test

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// A job must be written to the log with the terms of the queue that accepts it, whatever the
// request says. Without them it loses its attempts when its queue is removed.
func TestJobIsWrittenWithTermsOfItsQueue(t *testing.T) {
	s := newHarness(t)
	cfg := configuration(2)
	cfg.Queues[0].Attempts, cfg.Queues[0].Stretch, cfg.Queues[0].TargetNanos = 4, 1.5, 700
	s.is.Equal(s.configure(cfg), jobwire.Outcome_OUTCOME_OK)
	const id = "aaaaaaaaaaaaaaaa"
	addresses := map[string]*jobwire.Address{
		"by path": {
			Host: "h",
			Path: "/q/" + id,
			Key:  "key",
		},
		"by account": {
			Account: "one",
			Queue:   "q",
			Id:      "bbbbbbbbbbbbbbbb",
		},
	}
	for name, address := range addresses {
		t.Run(name, func(t *testing.T) {
			s := s.with(t)
			req := submitRequest()
			req.Address = address
			req.GetSubmit().Terms = &jobwire.JobTerms{
				Attempts: 100,
			}
			s.is.Equal(s.controller.Job(context.Background(), req).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
			jobID := address.GetId()
			if jobID == "" {
				jobID = id
			}
			var terms *jobwire.JobTerms
			s.log.machine.View(func(state *jobkeeper.State) { terms = proto.CloneOf(state.Jobs[jobID].Spec.GetTerms()) })
			s.is.True(proto.Equal(terms, &jobwire.JobTerms{
				Attempts:    4,
				Stretch:     1.5,
				TargetNanos: 700,
			}))
		})
	}
}
