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

// seedOffset varies the seeds, to search beyond the fixed ones.
var seedOffset = flag.Uint64("salt", 0, "added to the seed of each test case")

// faultDuration is longer than the authority lease and longer than an election.
const faultDuration = 3 * time.Second

// scenario runs the cluster in a way that makes a protocol step occur.
type scenario func(c *cluster)

// crashLeader crashes the leader, which causes an election.
func crashLeader(c *cluster) {
	c.run(time.Second)
	c.crash(c.leader(), false, false, false)
	c.run(faultDuration)
}

// lagFollower stops h-2 until it is so far behind that it needs a snapshot.
func lagFollower(c *cluster) {
	c.crash(c.hosts["h-2"], false, false, false)
	c.run(2 * faultDuration)
	c.open(c.hosts["h-2"])
	c.run(faultDuration)
}

// rejoinWithoutDisk wipes the disk of h-2, so that it joins under a new ID.
func rejoinWithoutDisk(c *cluster) {
	c.crash(c.hosts["h-2"], true, false, true)
	c.run(faultDuration)
}

func normalOperation(c *cluster) { c.run(2 * faultDuration) }

// faultPoint is a protocol step at which a fault is injected.
type faultPoint struct {
	scenario scenario
	// onlyHost is the host at which the fault is injected; empty means any host.
	onlyHost string
	// recurring is set when the step occurs repeatedly in the scenario.
	recurring bool
}

// firstOccurrence injects the fault at the first occurrence of the step, on
// onlyHost if that is set.
func firstOccurrence(onlyHost string, s scenario) faultPoint {
	return faultPoint{
		scenario: s,
		onlyHost: onlyHost,
	}
}

// earlyOccurrence injects the fault at one of the first four occurrences of the step.
func earlyOccurrence(s scenario) faultPoint {
	return faultPoint{
		scenario:  s,
		recurring: true,
	}
}

// faultPoints are keyed by the events that cluster.onEvent and injectAt report. The
// names are part of the random seeds.
var faultPoints = map[string]faultPoint{
	"before vote request":      firstOccurrence("", crashLeader),
	"after vote request":       firstOccurrence("", crashLeader),
	"before vote reply":        firstOccurrence("", crashLeader),
	"after vote reply":         firstOccurrence("", crashLeader),
	"before append":            earlyOccurrence(normalOperation),
	"after append":             earlyOccurrence(normalOperation),
	"before append sync":       earlyOccurrence(normalOperation),
	"after append sync":        earlyOccurrence(normalOperation),
	"before append reply":      earlyOccurrence(normalOperation),
	"after append reply":       earlyOccurrence(normalOperation),
	"after commit":             earlyOccurrence(normalOperation),
	"before apply":             earlyOccurrence(normalOperation),
	"after apply":              earlyOccurrence(normalOperation),
	"before snapshot save":     firstOccurrence("", normalOperation),
	"after snapshot save":      firstOccurrence("", normalOperation),
	"before snapshot install":  firstOccurrence("", lagFollower),
	"after snapshot install":   firstOccurrence("", lagFollower),
	"before membership change": firstOccurrence("h-2", rejoinWithoutDisk),
	"after membership change":  firstOccurrence("h-2", rejoinWithoutDisk),
}

// faults are keyed by name, which is part of the random seeds; h is the host at
// which the protocol step occurs.
var faults = map[string]func(c *cluster, h *host){
	"kill":       func(c *cluster, h *host) { c.crash(h, false, false, false) },
	"restart":    func(c *cluster, h *host) { c.crash(h, true, false, false) },
	"lost disk":  func(c *cluster, h *host) { c.crash(h, true, false, true) },
	"torn write": func(c *cluster, h *host) { c.crash(h, true, true, false) },
	"failed sync": func(c *cluster, h *host) {
		c.failFileOp(h, faultfs.Sync, syscall.EIO, time.Nanosecond)
	},
	"full disk": func(c *cluster, h *host) {
		c.failFileOp(h, faultfs.Write, syscall.ENOSPC, faultDuration)
	},
	"silent partition in": func(c *cluster, h *host) {
		c.setLinkDuringFault(func(_, to string) []time.Duration { return deliverIf(to != h.name) })
	},
	"silent partition out": func(c *cluster, h *host) {
		c.setLinkDuringFault(func(from, _ string) []time.Duration { return deliverIf(from != h.name) })
	},
	"silent partition both ways": func(c *cluster, h *host) {
		c.setLinkDuringFault(func(from, to string) []time.Duration { return deliverIf(from != h.name && to != h.name || from == to) })
	},
	"freeze": func(c *cluster, h *host) { h.frozenUntil = c.now.Add(faultDuration) },
	"delay": func(c *cluster, h *host) {
		c.setLinkDuringFault(func(from, to string) []time.Duration {
			if from == h.name || to == h.name {
				return []time.Duration{400 * time.Millisecond}
			}
			return deliverIf(true)
		})
	},
	"duplicate": func(c *cluster, _ *host) {
		c.setLinkDuringFault(func(_, _ string) []time.Duration { return []time.Duration{0, c.randomDelay(2000)} })
	},
	"reorder": func(c *cluster, _ *host) {
		c.setLinkDuringFault(func(_, _ string) []time.Duration { return []time.Duration{c.randomDelay(150)} })
	},
	"two at once": func(c *cluster, h *host) {
		c.crash(h, true, false, true)
		other := c.hosts[c.names[(strings.Index("h-0h-1h-2", h.name)/3+1)%3]]
		c.crash(other, true, true, false)
	},
}

func deliverIf(ok bool) []time.Duration {
	if ok {
		return []time.Duration{0}
	}
	return nil
}

func (c *cluster) randomDelay(milliseconds int64) time.Duration {
	return time.Duration(c.rng.Int64N(milliseconds)) * time.Millisecond
}

// setLinkDuringFault replaces linkDelays for the duration of a fault.
func (c *cluster) setLinkDuringFault(linkDelays func(from, to string) []time.Duration) {
	until := c.now.Add(faultDuration)
	c.linkDelays = func(from, to string) []time.Duration {
		if c.now.Before(until) {
			return linkDelays(from, to)
		}
		return []time.Duration{0}
	}
}

// failFileOp makes a file operation of a host fail with err for the duration d, and
// at least once.
func (c *cluster) failFileOp(h *host, failing faultfs.Op, err error, d time.Duration) {
	until, former, failed := c.now.Add(d), c.onFileOp, false
	c.onFileOp = func(other *host, op faultfs.Op, name string) error {
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
	c.t.Fatal("no leader was elected within 1000 steps")
	return nil
}

// injectAt arranges for the fault to be injected at the given occurrence of an
// event. The result becomes true when that has happened.
func (c *cluster) injectAt(event, onlyHost string, occurrence int, fault func(c *cluster, h *host)) *bool {
	injected := new(bool)
	inject := func(h *host, e string) {
		if e != event || *injected || h.crashed || (onlyHost != "" && h.name != onlyHost) {
			return
		}
		if occurrence--; occurrence <= 0 {
			*injected = true
			fault(c, h)
		}
	}
	c.onEvent = inject
	c.onFileOp = func(h *host, op faultfs.Op, name string) error {
		switch {
		case op == faultfs.Sync && strings.Contains(name, "segment-") && !strings.HasSuffix(name, ".new"):
			inject(h, "before append sync")
		case op == faultfs.Create && strings.Contains(name, "snapshot-"):
			inject(h, "before snapshot save")
		case op == faultfs.SyncDir:
			inject(h, "after snapshot save")
		}
		if h.crashed {
			return syscall.EIO
		}
		return nil
	}
	return injected
}

// awaitRecovery ends all faults and waits until every host votes and every replica
// holds every acknowledged change.
func (c *cluster) awaitRecovery() {
	c.restoreLink()
	c.onEvent, c.onFileOp = func(*host, string) {}, func(*host, faultfs.Op, string) error { return nil }
	for _, h := range c.hosts {
		h.frozenUntil = time.Time{}
		h.restart = true
		if c.completeCrash(h); h.replica == nil {
			c.open(h)
		}
	}
	for range 60 {
		c.run(500 * time.Millisecond)
		if c.recovered() {
			return
		}
	}
	for _, name := range c.names {
		c.t.Log(name, c.hosts[name].replica.Failed(), c.hosts[name].replica.Status())
	}
	c.t.Fatal("the group did not recover within 30 s of simulated time")
}

func (c *cluster) recovered() bool {
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

// TestFaultMatrix guards against the loss of an acknowledged change, two leaders in
// one term, diverging logs and leases that outlive their bound when one fault
// occurs at one protocol step.
func TestFaultMatrix(t *testing.T) {
	for event, point := range faultPoints {
		for name, fault := range faults {
			t.Run(event+"/"+name, func(t *testing.T) {
				t.Parallel()
				hash := fnv.New64a()
				_, _ = hash.Write([]byte(event + name))
				c := newCluster(t, hash.Sum64()+*seedOffset, 3)
				c.run(1500 * time.Millisecond)
				occurrence := 1
				if point.recurring {
					occurrence += c.rng.IntN(4)
				}
				injected := c.injectAt(event, point.onlyHost, occurrence, fault)
				point.scenario(c)
				is.New(t).True(*injected) // the protocol step has occurred
				before := len(c.client.acked)
				c.awaitRecovery()
				c.run(faultDuration)
				is.New(t).True(len(c.client.acked) > before) // changes are accepted again
			})
		}
	}
}
