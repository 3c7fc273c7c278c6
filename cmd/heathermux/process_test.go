package main_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// quick and slow are mean times of requests.
const (
	quick = 5 * time.Millisecond
	slow  = 1500 * time.Millisecond
)

// in-force: an acknowledged change must survive the kill of the leader and be
// known to the killed host after its restart; its resend must change nothing.
func TestKilledLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.ready()
	status, _ := c.status(c.hosts[0])
	code, first := c.post(c.hosts[0], "/v1/zones/dc-3/out", "out-once", status.Zones[2].Revision)
	is.Equal(code, http.StatusOK)
	leader := c.leader()
	c.kill(leader)
	for _, h := range c.others(leader) {
		c.eventually(h.name+" still knows the change", func() bool { return c.zone(h, "dc-3") == "out" })
	}
	other := c.others(leader)[0]
	c.setZone(other, "dc-2", "out", "out-after")
	code, again := c.post(other, "/v1/zones/dc-3/out", "out-once", status.Zones[2].Revision)
	is.Equal(code, http.StatusOK)
	is.Equal(again.Revision, first.Revision)
	c.start(leader)
	c.eventually("the restarted host knows both changes", func() bool {
		return c.zone(leader, "dc-2") == "out" && c.zone(leader, "dc-3") == "out"
	})
}

// key-scope: a host that was frozen while a key was withdrawn must not accept
// the key when it goes on, although it has heard nothing.
func TestFrozenHostRefusesWithdrawnKey(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.ready()
	c.upstreams(quick)
	frozen := c.hosts[hostCount-1]
	c.eventually("the key is accepted", func() bool { return c.serves(frozen, "redeem") })
	c.signal(frozen, syscall.SIGSTOP)
	var inForce time.Time
	c.eventually("the key is withdrawn", func() bool {
		code, answer := c.post(c.hosts[0], "/v1/keys/markets/withdraw", "withdraw", 1)
		inForce = answer.InForceAt
		return code == http.StatusOK
	})
	time.Sleep(time.Until(inForce))
	c.signal(frozen, syscall.SIGCONT)
	for range 50 {
		status, body := c.send(frozen, "redeem", "")
		is.True(status != http.StatusOK)
		is.True(status == 0 || strings.Contains(body, `"run":"not-run"`))
	}
}

// not-run-true: without a majority of voters, work that needs a key must be
// refused as not run, and open queues must go on; with the majority back,
// nothing is lost.
func TestLostMajority(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.ready()
	c.upstreams(quick)
	last := c.hosts[hostCount-1]
	c.eventually("both queues are served", func() bool { return c.serves(last, "redeem") && c.serves(last, "balance") })
	c.setZone(last, "dc-3", "out", "out-before")
	c.kill(c.hosts[0])
	c.kill(c.hosts[1])
	c.eventually("the key is refused", func() bool {
		status, body := c.send(last, "redeem", "")
		return status == http.StatusServiceUnavailable && strings.Contains(body, `"run":"not-run"`)
	})
	c.eventually("the open queue is served", func() bool { return c.serves(last, "balance") })
	c.start(c.hosts[0])
	c.start(c.hosts[1])
	c.eventually("the key is accepted again", func() bool { return c.serves(last, "redeem") })
	is.Equal(c.zone(last, "dc-3"), "out")
}

// in-force: a voter that lost its disk must come back, and the loss of a second
// voter right after must lose no acknowledged change.
func TestLostDiskThenSecondHost(t *testing.T) {
	c := newCluster(t)
	c.ready()
	c.setZone(c.hosts[0], "dc-3", "out", "out-before")
	lost, second := c.hosts[0], c.hosts[1]
	c.kill(lost)
	if err := os.RemoveAll(lost.data); err != nil {
		t.Fatal(err)
	}
	c.start(lost)
	c.eventually("the repaired voter votes", func() bool {
		status, ok := c.status(lost)
		return ok && len(status.Voters) == voterCount && c.zone(lost, "dc-3") == "out"
	})
	c.kill(second)
	c.setZone(lost, "dc-2", "out", "out-after")
	for _, h := range c.others(second) {
		c.eventually(h.name+" knows both changes", func() bool {
			return c.zone(h, "dc-2") == "out" && c.zone(h, "dc-3") == "out"
		})
	}
}

// clean-stop and at-most-once: during a planned stop every request must be
// answered or refused as not run, and none may run twice. The load balancer
// sends new requests only while the host says that it is ready.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.ready()
	// Requests outlast the time in which the host is unready and still serves.
	c.upstreams(slow)
	stopping := c.hosts[hostCount-1]
	c.eventually("the key is accepted", func() bool { return c.serves(stopping, "redeem") })
	var group sync.WaitGroup
	var mu sync.Mutex
	var interrupted []string
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group.Go(func() {
		defer cancel()
		c.awaitUnready(stopping)
	})
	for worker := range 8 {
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				operation := fmt.Sprintf("op-%d-%d", worker, i)
				status, body := c.send(stopping, "redeem", operation)
				if status == 0 || (status != http.StatusOK && c.ledger.Runs(operation) > 0) || c.ledger.Runs(operation) > 1 {
					mu.Lock()
					interrupted = append(interrupted, operation+": "+body)
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	limit, release := context.WithTimeout(context.Background(), patience)
	defer release()
	is.NoErr(c.stop(limit, stopping))
	group.Wait()
	is.Equal(interrupted, nil)
	// The host has left the view before it ended.
	status, ok := c.status(c.hosts[0])
	is.True(ok)
	is.Equal(len(status.EntryHosts), hostCount-1)
}
