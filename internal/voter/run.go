package voter

import (
	"time"

	"github.com/heathermux/heathermux/pkg/timer"
)

// tickInterval is a fifth of the heartbeat interval, so that a heartbeat round
// starts at most that much late.
const tickInterval = 20 * time.Millisecond

// run owns the replica and executes calls and ticks until the voter is closed.
func (v *Voter) run() {
	defer close(v.done)
	tick := v.opts.Clock.NewTimer(tickInterval)
	defer func() { tick.Stop() }()
	var round timer.Timer
	for {
		var roundDue <-chan time.Time
		if round != nil {
			roundDue = round.C()
		}
		select {
		case <-v.stop:
			v.closeErr = v.replica.Close()
			return
		case call := <-v.calls:
			call()
			v.runQueued()
		case <-tick.C():
			v.replica.Tick(v.opts.Clock.Now())
			tick = v.opts.Clock.NewTimer(tickInterval)
		case <-roundDue:
			round = nil
		}
		v.replica.Flush(v.opts.Clock.Now())
		if at, waiting := v.replica.NextRound(); waiting && round == nil {
			round = v.opts.Clock.NewTimer(at.Sub(v.opts.Clock.Now()))
		}
		v.publish()
	}
}

// runQueued executes the calls that are already queued, so that they share the
// next sync.
func (v *Voter) runQueued() {
	for range maxQueuedCalls {
		select {
		case call := <-v.calls:
			call()
		default:
			return
		}
	}
}

func (v *Voter) publish() {
	name, self := v.replica.Leader()
	status := v.replica.Status()
	term, contact, confirmed := v.replica.Authority(v.opts.Clock.Now())
	v.published.Store(&publishedState{
		authority: Authority{
			Term:      term,
			Contact:   contact,
			Confirmed: confirmed,
		},
		state:     v.replica.State(),
		leader:    name,
		leading:   self,
		voters:    v.replica.Voters(),
		followers: v.replica.Followers(),
		caughtUp: CaughtUp{
			At:    status.CaughtUpAt,
			Since: status.CaughtUpSince,
		},
	})
}
