package replica_test

import (
	"flag"
	"hash/fnv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/pkg/persister/faultfs"
)

// salt changes the seeds, to search beyond the fixed ones.
var salt = flag.Uint64("salt", 0, "added to the seed of each cell")

// faultLength is longer than the authority lease and than an election.
const faultLength = 3 * time.Second

// scenario is what happens around a protocol step, so that the step occurs.
type scenario func(c *cluster)

// leaderStops makes an election happen.
func leaderStops(c *cluster) {
	c.run(time.Second)
	c.crash(c.leader(), false, false, false)
	c.run(faultLength)
}

// oneLags leaves h-2 behind by more than a snapshot.
func oneLags(c *cluster) {
	c.crash(c.hosts["h-2"], false, false, false)
	c.run(2 * faultLength)
	c.open(c.hosts["h-2"])
	c.run(faultLength)
}

// oneJoins takes the disk of h-2, so that it joins under a new identity.
func oneJoins(c *cluster) {
	c.crash(c.hosts["h-2"], true, false, true)
	c.run(faultLength)
}

func nothing(c *cluster) { c.run(2 * faultLength) }

// row is a protocol step at which a fault strikes.
type row struct {
	scenario scenario
	// only, when set, is the host that the fault strikes.
	only string
	// often is set when the step occurs more than once.
	often bool
}

// at strikes at the first occurrence of the step, at one host when only is set.
func at(only string, s scenario) row {
	return row{
		scenario: s,
		only:     only,
	}
}

// often strikes at one of the first occurrences of the step.
func often(s scenario) row {
	return row{
		scenario: s,
		often:    true,
	}
}

// rows are named by the events that cluster observes.
var rows = map[string]row{
	"before vote request":      at("", leaderStops),
	"after vote request":       at("", leaderStops),
	"before vote reply":        at("", leaderStops),
	"after vote reply":         at("", leaderStops),
	"before append":            often(nothing),
	"after append":             often(nothing),
	"before append sync":       often(nothing),
	"after append sync":        often(nothing),
	"before append reply":      often(nothing),
	"after append reply":       often(nothing),
	"after commit":             often(nothing),
	"before apply":             often(nothing),
	"after apply":              often(nothing),
	"before snapshot save":     at("", nothing),
	"after snapshot save":      at("", nothing),
	"before snapshot install":  at("", oneLags),
	"after snapshot install":   at("", oneLags),
	"before membership change": at("h-2", oneJoins),
	"after membership change":  at("h-2", oneJoins),
}

// columns are the faults; h is the host at which the step occurs.
var columns = map[string]func(c *cluster, h *host){
	"kill":       func(c *cluster, h *host) { c.crash(h, false, false, false) },
	"restart":    func(c *cluster, h *host) { c.crash(h, true, false, false) },
	"lost disk":  func(c *cluster, h *host) { c.crash(h, true, false, true) },
	"torn write": func(c *cluster, h *host) { c.crash(h, true, true, false) },
	"failed sync": func(c *cluster, h *host) {
		c.failFiles(h, faultfs.Sync, syscall.EIO, time.Nanosecond)
	},
	"full disk": func(c *cluster, h *host) {
		c.failFiles(h, faultfs.Write, syscall.ENOSPC, faultLength)
	},
	"silent partition in": func(c *cluster, h *host) {
		c.routeUntil(func(_, to string) []time.Duration { return onlyIf(to != h.name) })
	},
	"silent partition out": func(c *cluster, h *host) {
		c.routeUntil(func(from, _ string) []time.Duration { return onlyIf(from != h.name) })
	},
	"silent partition both ways": func(c *cluster, h *host) {
		c.routeUntil(func(from, to string) []time.Duration { return onlyIf(from != h.name && to != h.name || from == to) })
	},
	"freeze": func(c *cluster, h *host) { h.frozenUntil = c.now.Add(faultLength) },
	"delay": func(c *cluster, h *host) {
		c.routeUntil(func(from, to string) []time.Duration {
			if from == h.name || to == h.name {
				return []time.Duration{400 * time.Millisecond}
			}
			return onlyIf(true)
		})
	},
	"duplicate": func(c *cluster, _ *host) {
		c.routeUntil(func(_, _ string) []time.Duration { return []time.Duration{0, c.jitter(2000)} })
	},
	"reorder": func(c *cluster, _ *host) {
		c.routeUntil(func(_, _ string) []time.Duration { return []time.Duration{c.jitter(150)} })
	},
	"two at once": func(c *cluster, h *host) {
		c.crash(h, true, false, true)
		other := c.hosts[c.names[(strings.Index("h-0h-1h-2", h.name)/3+1)%3]]
		c.crash(other, true, true, false)
	},
}

func onlyIf(ok bool) []time.Duration {
	if ok {
		return []time.Duration{0}
	}
	return nil
}

func (c *cluster) jitter(milliseconds int64) time.Duration {
	return time.Duration(c.r.Int64N(milliseconds)) * time.Millisecond
}

// routeUntil changes the link for the length of a fault.
func (c *cluster) routeUntil(route func(from, to string) []time.Duration) {
	until := c.now.Add(faultLength)
	c.route = func(from, to string) []time.Duration {
		if c.now.Before(until) {
			return route(from, to)
		}
		return []time.Duration{0}
	}
}

// failFiles makes an operation fail, at least once.
func (c *cluster) failFiles(h *host, failing faultfs.Op, err error, d time.Duration) {
	until, former, failed := c.now.Add(d), c.hook, false
	c.hook = func(other *host, op faultfs.Op, name string) error {
		if other == h && op == failing && (!failed || c.now.Before(until)) {
			failed = true
			return err
		}
		return former(other, op, name)
	}
}

func (c *cluster) leader() *host {
	for range 1000 {
		for _, name := range c.names {
			if h := c.hosts[name]; h.replica != nil {
				if _, self := h.replica.Leader(); self {
					return h
				}
			}
		}
		c.step()
	}
	c.t.Fatal("no leader was elected")
	return nil
}

// arm lets the fault strike at the given occurrence of an event.
func (c *cluster) arm(event, only string, occurrence int, fault func(c *cluster, h *host)) *bool {
	struck := new(bool)
	strike := func(h *host, e string) {
		if e != event || *struck || h.dead || (only != "" && h.name != only) {
			return
		}
		if occurrence--; occurrence <= 0 {
			*struck = true
			fault(c, h)
		}
	}
	c.observe = strike
	c.hook = func(h *host, op faultfs.Op, name string) error {
		switch {
		case op == faultfs.Sync && strings.Contains(name, "segment-") && !strings.HasSuffix(name, ".new"):
			strike(h, "before append sync")
		case op == faultfs.Create && strings.Contains(name, "snapshot-"):
			strike(h, "before snapshot save")
		case op == faultfs.SyncDir:
			strike(h, "after snapshot save")
		}
		if h.dead {
			return syscall.EIO
		}
		return nil
	}
	return struck
}

// settle ends all faults and waits until every replica holds every
// acknowledged change and every host votes.
func (c *cluster) settle() {
	c.heal()
	c.observe, c.hook = func(*host, string) {}, func(*host, faultfs.Op, string) error { return nil }
	for _, h := range c.hosts {
		h.frozenUntil = time.Time{}
		h.restart = true
		if c.reap(h); h.replica == nil {
			c.open(h)
		}
	}
	for range 60 {
		c.run(500 * time.Millisecond)
		if c.settled() {
			return
		}
	}
	for _, name := range c.names {
		c.t.Log(name, c.hosts[name].replica.Failed(), c.hosts[name].replica.Status())
	}
	c.t.Fatal("the group did not recover")
}

func (c *cluster) settled() bool {
	var newest uint64
	for _, rev := range c.client.acked {
		newest = max(newest, rev)
	}
	for _, h := range c.hosts {
		s := h.replica.Status()
		if h.replica.Failed() || !s.Voter || len(s.Membership.GetMembers()) != len(c.names) ||
			h.replica.State().Revision() < newest || !h.view.Live(c.now) {
			return false
		}
		c.checkOrder(h.replica.State())
	}
	return true
}

// TestFaultMatrix guards against the loss of an acknowledged change, two
// leaders in a term, logs that differ and leases that outlive their bound when
// one fault strikes at one protocol step.
func TestFaultMatrix(t *testing.T) {
	for event, row := range rows {
		for name, fault := range columns {
			t.Run(event+"/"+name, func(t *testing.T) {
				t.Parallel()
				hash := fnv.New64a()
				_, _ = hash.Write([]byte(event + name))
				c := newCluster(t, hash.Sum64()+*salt, 3)
				c.run(1500 * time.Millisecond)
				occurrence := 1
				if row.often {
					occurrence += c.r.IntN(4)
				}
				struck := c.arm(event, row.only, occurrence, fault)
				row.scenario(c)
				is.New(t).True(*struck) // the protocol step has occurred
				before := len(c.client.acked)
				c.settle()
				c.run(faultLength)
				is.New(t).True(len(c.client.acked) > before) // changes are accepted again
			})
		}
	}
}
