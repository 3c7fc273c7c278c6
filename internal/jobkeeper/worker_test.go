package jobkeeper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/timer"
)

// report returns the command of a heartbeat that states a capacity.
func report(born int64, sequence uint64, milliCores int64) *jobwire.Command {
	return &jobwire.Command{
		Change: &jobwire.Command_Worker{
			Worker: &jobwire.Worker{
				Id:       "w",
				Born:     born,
				Sequence: sequence,
				Capacity: &wire.Resources{
					MilliCores: milliCores,
				},
			},
		},
	}
}

// A heartbeat from before a worker became smaller may reach a new leader seconds later.
// If it took effect, tasks would start beyond the capacity.
func TestDelayedReportDoesNotRestoreCapacity(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	m := jobkeeper.New(timer.System())
	capacity := func() int64 {
		var n int64
		m.View(func(s *jobkeeper.State) { n = s.Workers["w"].GetCapacity().GetMilliCores() })
		return n
	}
	apply(t, m, now, report(1, 4, 8000))
	apply(t, m, now, report(1, 6, 2000))
	apply(t, m, now, report(1, 5, 8000))
	is.Equal(capacity(), int64(2000))
	apply(t, m, now, report(1, 7, 4000))
	is.Equal(capacity(), int64(4000))
	apply(t, m, now, report(2, 1, 8000))
	is.Equal(capacity(), int64(8000))
}
