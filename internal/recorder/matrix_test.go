package recorder_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/wire"
)

// faultPoints are the steps of a request and of a view change at which faults
// are injected.
var faultPoints = []string{
	"start", "begin/before", "begin/after", "copy/before", "copy/after", "send/before", "send/after",
	"finish/before", "finish/after", "copy-outcome/before", "copy-outcome/after",
	"view", "fetch/before", "fetch/after", "push/before", "push/after",
}

// faults maps each kind of fault to a function that injects it. The target is
// the name of a host; redeliver delivers the current message and is nil at points
// without a message.
var faults = map[string]func(c *cluster, target string, redeliver func()){
	"kill": func(c *cluster, target string, _ func()) {
		c.procs[target].dead = true
	},
	"restart": func(c *cluster, target string, _ func()) {
		c.restart(target)
	},
	"lost state of both holders": func(c *cluster, _ string, _ func()) {
		holders := c.holders()
		c.restart(holders.Owner.Name)
		c.restart(holders.Copy.Name)
	},
	"silent partition one way": func(c *cluster, target string, _ func()) {
		c.partition(target, false)
	},
	"silent partition both ways": func(c *cluster, target string, _ func()) {
		c.partition(target, true)
	},
	"late view on both holders": func(c *cluster, _ string, _ func()) {
		holders := c.holders()
		c.blockedLinks[[2]string{"", holders.Owner.Name}] = true
		c.blockedLinks[[2]string{"", holders.Copy.Name}] = true
	},
	"freeze": func(c *cluster, target string, _ func()) {
		c.frozen[target] = true
		c.changeView(target)
		c.sendRequests(3)
		c.heal()
	},
	"delay": func(c *cluster, _ string, redeliver func()) {
		if redeliver != nil {
			c.delayed = append(c.delayed, redeliver)
		}
		c.loseMessage = redeliver != nil
	},
	"duplicate": func(c *cluster, _ string, redeliver func()) {
		if redeliver != nil {
			redeliver()
			c.delayed = append(c.delayed, redeliver)
		}
	},
	"reorder": func(c *cluster, _ string, redeliver func()) {
		c.heldBack, c.loseMessage = redeliver, redeliver != nil
	},
	"two at once": func(c *cluster, target string, _ func()) {
		c.request(target)
	},
}

// partition drops all messages to the target, and also those from it if both is
// set.
func (c *cluster) partition(target string, both bool) {
	for _, name := range append(c.names, "") {
		c.blockedLinks[[2]string{name, target}] = true
		c.blockedLinks[[2]string{target, name}] = both
	}
}

// sendRequests sends n requests to random hosts, one second apart.
func (c *cluster) sendRequests(n int) {
	for range n {
		c.request(c.names[c.rng.IntN(len(c.names))])
		c.clock.Advance(time.Second)
	}
}

// Three invariants must hold for each fault at each step and on each target
// host, across view changes, the return of the host and the loss of a second
// one: a request runs at most once, a request reported as not run did not run,
// and a replayed answer is complete.
func TestFaultMatrix(t *testing.T) {
	for kind, fault := range faults {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			for i, point := range faultPoints {
				for target := range 4 {
					t.Run(fmt.Sprintf("%s/target-%d", point, target), func(t *testing.T) {
						runScenario(t, uint64(10*i+target), point, target, fault)
					})
				}
			}
		})
	}
}

func runScenario(t *testing.T, seed uint64, point string, target int, fault func(*cluster, string, func())) {
	c := newCluster(t, seed, 4)
	holders := c.holders()
	others := slices.DeleteFunc(slices.Clone(c.names), func(name string) bool {
		return name == holders.Owner.Name || name == holders.Copy.Name
	})
	targetHost := []string{holders.Owner.Name, holders.Copy.Name, others[0], others[1]}[target]
	reached := false
	c.point = point
	c.fault = func(redeliver func()) {
		reached = true
		fault(c, targetHost, redeliver)
	}
	leavingHost := targetHost
	if strings.HasPrefix(point, "fetch") || strings.HasPrefix(point, "push") {
		// These steps happen only if the slot moves to another owner.
		leavingHost = holders.Owner.Name
	}
	c.request(others[0])
	c.sendRequests(2)
	c.changeView(leavingHost)
	c.sendRequests(3)
	c.heal()
	c.changeView("")
	c.sendRequests(3)
	c.changeView(c.names[c.rng.IntN(4)])
	c.heal()
	c.changeView("")
	c.clock.Advance(time.Minute)
	c.sendRequests(4)
	c.check(reached, "the scenario did not reach its fault point")
	for _, name := range c.names {
		if resp := c.request(name); resp != nil {
			c.check(resp.GetOutcome() != wire.BeginOutcome_BEGIN_OUTCOME_REFUSED, "the registry still refuses requests after all faults were healed")
		}
	}
}
