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

	"github.com/heathermux/heathermux/internal/operator"
)

// fastService and slowService are mean service times of requests.
const (
	fastService = 5 * time.Millisecond
	slowService = 1500 * time.Millisecond
)

// in-force: an acknowledged change must survive the kill of the leader, and the
// killed host must know it after its restart. A resend of the change must return
// the first result and change nothing.
func TestKilledLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.waitForFullView()
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

// key-scope: a host that was suspended (SIGSTOP) while a key was withdrawn must
// not accept the key after it resumes, although it has received no update.
func TestFrozenHostRefusesWithdrawnKey(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.waitForFullView()
	c.startUpstreams(fastService)
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

// not-run-true: without a majority of voters, requests that need a key must be
// refused as not run, and open queues must still be served. Once the majority is
// back, no acknowledged change may be lost.
func TestLostMajority(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.waitForFullView()
	c.startUpstreams(fastService)
	follower := c.hosts[hostCount-1]
	c.eventually("both queues are served", func() bool { return c.serves(follower, "redeem") && c.serves(follower, "balance") })
	c.setZone(follower, "dc-3", "out", "out-before")
	c.kill(c.hosts[0])
	c.kill(c.hosts[1])
	c.eventually("the key is refused", func() bool {
		status, body := c.send(follower, "redeem", "")
		return status == http.StatusServiceUnavailable && strings.Contains(body, `"run":"not-run"`)
	})
	c.eventually("the open queue is served", func() bool { return c.serves(follower, "balance") })
	c.start(c.hosts[0])
	c.start(c.hosts[1])
	c.eventually("the key is accepted again", func() bool { return c.serves(follower, "redeem") })
	is.Equal(c.zone(follower, "dc-3"), "out")
}

// in-force: a voter that lost its disk must rejoin as a new voter, and the failure
// of a second voter directly afterwards must not lose an acknowledged change.
func TestLostDiskThenSecondHost(t *testing.T) {
	c := newCluster(t)
	c.waitForFullView()
	c.setZone(c.hosts[0], "dc-3", "out", "out-before")
	lost, second := c.hosts[0], c.hosts[1]
	before, _ := c.status(c.hosts[2])
	c.kill(lost)
	if err := os.RemoveAll(lost.data); err != nil {
		t.Fatal(err)
	}
	c.start(lost)
	c.eventually("the repaired voter has replaced the lost one", func() bool {
		status, ok := c.status(lost)
		return ok && len(status.Voters) == voterCount && voterID(status, lost) != "" &&
			voterID(status, lost) != voterID(before, lost) && c.zone(lost, "dc-3") == "out"
	})
	c.kill(second)
	c.setZone(lost, "dc-2", "out", "out-after")
	for _, h := range c.others(second) {
		c.eventually(h.name+" knows both changes", func() bool {
			return c.zone(h, "dc-2") == "out" && c.zone(h, "dc-3") == "out"
		})
	}
}

// voterID returns the voter ID of the host, or "" if it isn't a voter. It is the
// host name with a suffix that changes when the voter is replaced.
func voterID(status operator.Status, h *entryHost) string {
	for _, id := range status.Voters {
		if strings.HasPrefix(id, h.name+"#") {
			return id
		}
	}
	return ""
}

// clean-stop and at-most-once: during a graceful shutdown every request must be
// answered or refused as not run, and none may run twice. As with a load balancer,
// new requests are sent only while the host reports that it is ready.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	c.waitForFullView()
	// Requests take longer than the time for which the host still serves after it
	// has become unready.
	c.startUpstreams(slowService)
	stopping := c.hosts[hostCount-1]
	c.eventually("the key is accepted", func() bool { return c.serves(stopping, "redeem") })
	var group sync.WaitGroup
	var mu sync.Mutex
	var interrupted []string
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group.Go(func() {
		defer cancel()
		c.waitUntilUnready(stopping)
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
	limit, cancelLimit := context.WithTimeout(context.Background(), waitTimeout)
	defer cancelLimit()
	is.NoErr(c.stop(limit, stopping))
	group.Wait()
	is.Equal(interrupted, nil)
	// The host has left the view before its process ended.
	status, ok := c.status(c.hosts[0])
	is.True(ok)
	is.Equal(len(status.EntryHosts), hostCount-1)
}
