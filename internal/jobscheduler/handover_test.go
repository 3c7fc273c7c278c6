package jobscheduler_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobscheduler"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// announce applies the announcement of orders for hosts by the leader of a term.
func (h *harness) announce(term uint64, hosts ...string) {
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_HostOrders{
			HostOrders: &jobwire.HostOrders{
				Term:  term,
				Hosts: hosts,
			},
		},
	})
}

// movesWithin plays passes for d, with all hosts in the reserve, and returns how long
// after now each host was first ordered to move.
func (h *harness) movesWithin(d time.Duration, hosts ...string) map[string]time.Duration {
	var listed []jobscheduler.Host
	for _, name := range hosts {
		listed = append(listed, jobscheduler.Host{
			Name:  name,
			Pool:  "reserve",
			State: jobscheduler.HostUp,
		})
	}
	start := h.now
	moved := make(map[string]time.Duration)
	for h.now.Sub(start) < d {
		h.advance(50 * time.Millisecond)
		for range takeAll[jobscheduler.ListHosts](h) {
			h.withScheduler(func() { h.sched.HostsListed(h.now, listed) })
		}
		for _, m := range takeAll[jobscheduler.MoveHost](h) {
			if _, ok := moved[m.Host]; !ok {
				moved[m.Host] = h.now.Sub(start)
			}
			h.withScheduler(func() { h.sched.HostMoved(m, jobscheduler.HostOrderUnknown) })
		}
	}
	return moved
}

// A leader is lost as a pool nears its peak. Its successor must bring hosts at once,
// but must leave those alone that the former leader has ordered just before: the
// orders of two leaders for one host must be apart.
func TestNewLeaderMovesHostsAtOnce(t *testing.T) {
	const delay = 3 * time.Second
	h := newHarness(t)
	h.providerOrderDelay = delay
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Configure{
			Configure: &jobwire.Configuration{
				Version: 2,
				Pools: []*jobwire.Pool{
					{
						Name: "p",
					},
					{
						Name:    "reserve",
						Standby: true,
					},
				},
			},
		},
	})
	h.submit("earlier", tasks(1, 1000))
	h.now = h.now.Add(10 * time.Second)
	h.announce(1, "older")
	h.now = h.now.Add(delay)
	h.announce(1, "recent")
	h.now = h.now.Add(time.Second)
	h.term = 1
	h.startTerm()
	moved := h.movesWithin(delay, "older", "recent", "never")
	h.is.Equal(len(moved), 3)
	h.is.True(moved["older"] < 500*time.Millisecond)
	h.is.True(moved["never"] < 500*time.Millisecond)
	h.is.True(moved["recent"] >= delay-time.Second)
}

// A replica that has just started, or was brought up to date by a snapshot, does not
// know which hosts were ordered before. As the leader it must wait with all of them.
func TestNewLeaderWithoutHistoryWaits(t *testing.T) {
	const delay = 3 * time.Second
	h := newHarness(t)
	h.providerOrderDelay = delay
	data, err := h.machine.Encode()
	h.is.NoErr(err)
	h.now = h.now.Add(time.Minute)
	h.is.NoErr(h.machine.Restore(data))
	h.apply(&jobwire.Command{
		Change: &jobwire.Command_Configure{
			Configure: &jobwire.Configuration{
				Version: 2,
				Pools: []*jobwire.Pool{
					{
						Name: "p",
					},
					{
						Name:    "reserve",
						Standby: true,
					},
				},
			},
		},
	})
	h.startTerm()
	moved := h.movesWithin(2*delay, "host")
	h.is.True(moved["host"] >= delay)
}
