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

// The leader looks up the pool, the priority and the adviser of a removed queue for the jobs
// that were accepted before. The last configuration that had the queue decides; a replica
// restored from a snapshot must know it too, and queues that nothing needs any more must not
// pile up.
func TestRemovedQueueIsKept(t *testing.T) {
	in := func(pool string) *jobwire.Queue {
		return &jobwire.Queue{
			Name:     "q",
			Pool:     pool,
			Priority: 4,
			Advised:  true,
		}
	}
	other := &jobwire.Queue{
		Name: "other",
		Pool: "p",
	}
	const longAfter = 2 * time.Minute
	type entry struct {
		after time.Duration
		cmd   *jobwire.Command
	}
	cases := map[string]struct {
		entries []entry
		// want is nil if the queue is not known any more.
		want *jobwire.Queue
	}{
		"with an open job": {
			entries: []entry{
				{cmd: submitUnder("job", 3)},
				{cmd: replaceQueues(2, other)},
				{after: longAfter, cmd: replaceQueues(3, other)},
			},
			want: in("p"),
		},
		"changed before it was removed": {
			entries: []entry{
				{cmd: submitUnder("job", 3)},
				{cmd: replaceQueues(2, in("p2"))},
				{cmd: replaceQueues(3, other)},
				{after: longAfter, cmd: replaceQueues(4)},
			},
			want: in("p2"),
		},
		"added again with another pool": {
			entries: []entry{
				{cmd: submitUnder("job", 3)},
				{cmd: replaceQueues(2, other)},
				{cmd: replaceQueues(3, in("p2"))},
			},
			want: in("p2"),
		},
		"removed twice": {
			entries: []entry{
				{cmd: submitUnder("job", 3)},
				{cmd: replaceQueues(2, other)},
				{cmd: replaceQueues(3, in("p2"))},
				{cmd: replaceQueues(4, other)},
			},
			want: in("p2"),
		},
		"older configuration": {
			entries: []entry{
				{cmd: submitUnder("job", 3)},
				{cmd: replaceQueues(5, other)},
				{cmd: replaceQueues(4, in("p2"))},
			},
			want: in("p"),
		},
		"removed just before a job that it had accepted": {
			entries: []entry{
				{cmd: replaceQueues(2, other)},
				{after: 5 * time.Second, cmd: replaceQueues(3)},
				{after: 5 * time.Second, cmd: submitUnder("job", 3)},
				{after: longAfter, cmd: replaceQueues(4)},
			},
			want: in("p"),
		},
		"without jobs": {
			entries: []entry{
				{cmd: replaceQueues(2, other)},
				{after: longAfter, cmd: replaceQueues(3, other)},
			},
		},
		"with an ended job": {
			entries: []entry{
				{cmd: submitUnder("job", 3)},
				{cmd: replaceQueues(2, other)},
				{cmd: cancel("job")},
				{after: longAfter, cmd: replaceQueues(3, other)},
			},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			m := jobkeeper.New(timer.System())
			// halfway loads a snapshot before each entry.
			halfway := jobkeeper.New(timer.System())
			for _, e := range append([]entry{{cmd: replaceQueues(1, in("p"))}}, c.entries...) {
				now = now.Add(e.after)
				halfway = restored(t, halfway)
				apply(t, m, now, proto.CloneOf(e.cmd))
				apply(t, halfway, now, proto.CloneOf(e.cmd))
			}
			for _, replica := range []*jobkeeper.StateMachine{m, halfway} {
				replica.View(func(s *jobkeeper.State) { is.True(proto.Equal(s.LatestQueues()["q"], c.want)) })
			}
			ours, err := m.Encode()
			is.NoErr(err)
			theirs, err := halfway.Encode()
			is.NoErr(err)
			is.Equal(string(ours), string(theirs))
		})
	}
}
