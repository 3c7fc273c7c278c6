package jobkeeper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// replaceQueues returns a configuration with the given queues.
func replaceQueues(version uint64, queues ...*jobwire.Queue) *jobwire.Command {
	return &jobwire.Command{
		Change: &jobwire.Command_Configure{
			Configure: &jobwire.Configuration{
				Version: version,
				Queues:  queues,
			},
		},
	}
}

// submitUnder returns the submission of a job with one task that is accepted under terms
// with the given attempts.
func submitUnder(id string, attempts int32) *jobwire.Command {
	cmd := submit(id, 0, 1)
	cmd.GetSubmit().Terms = &jobwire.JobTerms{
		Attempts: attempts,
	}
	return cmd
}

// restored returns a state machine that was restored from a snapshot of m.
func restored(t *testing.T, m *jobkeeper.StateMachine) *jobkeeper.StateMachine {
	t.Helper()
	is := is.New(t)
	data, err := m.Encode()
	is.NoErr(err)
	next := jobkeeper.New(timer.System())
	is.NoErr(next.Restore(data))
	return next
}

// A job must be given the failed runs that its queue allowed when it was accepted: no fewer
// while the queue is removed or has been given fewer attempts, and no more after it has been
// given more. A replica restored from a snapshot must decide the same.
func TestJobKeepsItsAttempts(t *testing.T) {
	queue := func(attempts int32) *jobwire.Queue {
		return &jobwire.Queue{
			Name:     "q",
			Pool:     "p",
			Attempts: attempts,
		}
	}
	removed := replaceQueues(2)
	cases := map[string]struct {
		submission *jobwire.Command
		changes    []*jobwire.Command
		// attempts is the failed run with which the job fails.
		attempts uint64
	}{
		"queue unchanged": {
			submission: submitUnder("job", 3),
			attempts:   3,
		},
		"queue removed": {
			submission: submitUnder("job", 3),
			changes:    []*jobwire.Command{removed},
			attempts:   3,
		},
		"queue removed and added": {
			submission: submitUnder("job", 3),
			changes:    []*jobwire.Command{removed, replaceQueues(3, queue(3))},
			attempts:   3,
		},
		"queue removed and added with fewer attempts": {
			submission: submitUnder("job", 3),
			changes:    []*jobwire.Command{removed, replaceQueues(3, queue(1))},
			attempts:   3,
		},
		"fewer attempts": {
			submission: submitUnder("job", 3),
			changes:    []*jobwire.Command{replaceQueues(2, queue(2))},
			attempts:   3,
		},
		"more attempts": {
			submission: submitUnder("job", 3),
			changes:    []*jobwire.Command{replaceQueues(2, queue(5))},
			attempts:   3,
		},
		"accepted with no attempts": {
			submission: submitUnder("job", 0),
			changes:    []*jobwire.Command{replaceQueues(2, queue(5))},
			attempts:   1,
		},
		"accepted by an older build": {
			submission: submit("job", 0, 1),
			changes:    []*jobwire.Command{replaceQueues(2, queue(2))},
			attempts:   2,
		},
		"accepted by an older build, queue removed": {
			submission: submit("job", 0, 1),
			changes:    []*jobwire.Command{removed},
			attempts:   1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			m := jobkeeper.New(timer.System())
			apply(t, m, now, replaceQueues(1, queue(3)))
			apply(t, m, now, proto.CloneOf(c.submission))
			for _, change := range c.changes {
				apply(t, m, now, proto.CloneOf(change))
			}
			replicas := []*jobkeeper.StateMachine{m, restored(t, m)}
			for run := uint64(1); run <= c.attempts; run++ {
				for _, replica := range replicas {
					apply(t, replica, now, end("job", 0, 0, 0, run, failed))
					replica.View(func(s *jobkeeper.State) {
						is.Equal(s.Jobs["job"].Open(), run < c.attempts) // open until the last attempt has failed
					})
				}
			}
		})
	}
}
