package voter

import (
	"time"
)

// tickInterval is a fifth of the heartbeat interval, so that rounds are at
// most that much late.
const tickInterval = 20 * time.Millisecond

// run owns the replica until the voter is closed.
func (v *Voter) run() {
	defer close(v.done)
	tick := v.opts.Clock.NewTimer(tickInterval)
	defer func() { tick.Stop() }()
	for {
		select {
		case <-v.stop:
			v.result = v.replica.Close()
			return
		case call := <-v.calls:
			call()
			v.runWaiting()
		case <-tick.C():
			v.replica.Tick(v.opts.Clock.Now())
			tick = v.opts.Clock.NewTimer(tickInterval)
		}
		v.replica.Flush(v.opts.Clock.Now())
		v.show()
	}
}

// runWaiting runs the calls that wait already, before the next sync.
func (v *Voter) runWaiting() {
	for range waitingCalls {
		select {
		case call := <-v.calls:
			call()
		default:
			return
		}
	}
}

func (v *Voter) show() {
	name, self := v.replica.Leader()
	term, contact, confirmed := v.replica.Authority(v.opts.Clock.Now())
	v.shown.Store(&shown{
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
	})
}
