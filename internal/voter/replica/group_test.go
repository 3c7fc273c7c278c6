package replica_test

import (
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/follower"
	"github.com/heathermux/heathermux/internal/voter/replica"
	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/persister/faultfs"
	"github.com/heathermux/heathermux/pkg/replication"
)

// newFormedCluster returns a cluster whose group has been formed and accepts changes.
func newFormedCluster(t *testing.T, seed uint64, n int) *cluster {
	c := newCluster(t, seed, n)
	c.leader()
	c.run(time.Second)
	return c
}

// TestSuccessiveDiskLosses guards against the loss of an acknowledged change when
// hosts lose their disks one by one, in random order, each right after the repair
// of the previous loss.
func TestSuccessiveDiskLosses(t *testing.T) {
	for name, n := range map[string]int{"three voters": 3, "five voters": 5} {
		t.Run(name, func(t *testing.T) {
			c := newFormedCluster(t, uint64(n), n)
			for range 2 {
				for _, lost := range c.rng.Perm(n) {
					c.crash(c.hosts[c.names[lost]], true, false, true)
					c.awaitRecovery()
				}
			}
			is.New(t).True(c.client.sequence > 2*n)
		})
	}
}

// TestTwoSimultaneousDiskLosses guards against a repair that costs the group its
// majority when two of five voters lose their disks at the same time.
func TestTwoSimultaneousDiskLosses(t *testing.T) {
	c := newFormedCluster(t, 1, 5)
	for _, name := range c.names[1:3] {
		c.crash(c.hosts[name], true, false, true)
	}
	c.awaitRecovery()
}

// TestPromotionWaitsForLog guards against promoting a learner before it holds the
// log: while the joining host can't receive the log, its former ID stays a voter.
func TestPromotionWaitsForLog(t *testing.T) {
	is := is.New(t)
	c := newFormedCluster(t, 1, 3)
	c.crash(c.hosts["h-2"], true, false, true)
	c.step()
	drop := func(to string) bool { return to == "h-2" }
	c.linkDelays = func(from, to string) []time.Duration { return deliverIf(!drop(to) || from == to) }
	c.run(5 * time.Second)
	voters := 0
	for _, m := range c.leader().replica.Status().Membership.GetMembers() {
		if !m.GetLearner() {
			voters++
		}
	}
	is.Equal(voters, 3)
	c.awaitRecovery()
}

// TestFormation guards against a second group: a host without files must not form
// one while any initial voter belongs to a group or has not answered.
func TestFormation(t *testing.T) {
	tests := map[string]func(c *cluster){
		"one host is down": func(c *cluster) { c.crash(c.hosts["h-2"], false, false, false) },
		"the first host can't be reached": func(c *cluster) {
			c.linkDelays = func(from, to string) []time.Duration { return deliverIf(to != "h-0" || from == to) }
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, 1, 3)
			fault(c)
			c.run(10 * time.Second)
			is.Equal(len(c.leaderByTerm), 0) // no leader before the group is formed
			c.awaitRecovery()
			is.True(len(c.leaderByTerm) > 0)
		})
	}
}

// TestFormationFaults guards against a group that never forms, or forms twice, when
// a host crashes or loses its disk at any file operation of the formation.
func TestFormationFaults(t *testing.T) {
	for _, wipe := range []bool{false, true} {
		for at := range 24 {
			c := newCluster(t, uint64(at), 3)
			n := 0
			c.onFileOp = func(h *host, _ faultfs.Op, _ string) error {
				if n++; n == at {
					c.crash(h, true, true, wipe)
					return errors.New("crashed")
				}
				return nil
			}
			c.run(2 * time.Second)
			c.awaitRecovery()
		}
	}
}

// TestDamagedFiles guards against a replica that votes or acknowledges under its
// former ID after one of its files was damaged or lost.
func TestDamagedFiles(t *testing.T) {
	lose := func(fs *faultfs.FS, file string) { _ = fs.Remove(file) }
	damage := func(fs *faultfs.FS, file string) { fs.Damage(file, 18) }
	files := func(prefix string, do func(fs *faultfs.FS, file string)) func(fs *faultfs.FS) {
		return func(fs *faultfs.FS) {
			names, _ := fs.ReadDir("data")
			for _, file := range names {
				if strings.HasPrefix(file, prefix) {
					do(fs, "data/"+file)
				}
			}
		}
	}
	tests := map[string]func(fs *faultfs.FS){
		"log damaged":               files("segment-", damage),
		"log lost":                  files("segment-", lose),
		"all but the identity lost": files("s", lose),
		"snapshot damaged":          files("snapshot-", damage),
		"identity damaged":          files("identity", damage),
		"identity lost":             files("identity", lose),
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newFormedCluster(t, 1, 3)
			h := c.hosts["h-2"]
			former := c.memberIDs()
			c.crash(h, false, false, false)
			c.step()
			fault(h.fs)
			c.open(h)
			c.awaitRecovery()
			now := c.memberIDs()
			is.Equal(now[:2], former[:2])
			is.True(now[2] != former[2]) // the host has a new ID
			names, _ := h.fs.ReadDir("data")
			is.True(slices.ContainsFunc(names, func(s string) bool { return strings.HasPrefix(s, "damaged-") })) // damaged files are kept
		})
	}
}

func (c *cluster) memberIDs() []string {
	var ids []string
	for _, m := range c.leader().replica.Status().Membership.GetMembers() {
		ids = append(ids, m.GetId())
	}
	slices.Sort(ids)
	return ids
}

// propose proposes one change on the leader and waits for its result.
func (c *cluster) propose(cmd *wire.Command, await bool) *wire.Result {
	var result *wire.Result
	c.leader().replica.Propose(c.now, cmd, await, func(r *wire.Result, err error) {
		if err != nil {
			c.t.Fatal(err)
		}
		result = r
	})
	for range 1000 {
		if result != nil {
			return result
		}
		c.step()
	}
	c.t.Fatal("no result for the proposal after 1000 steps")
	return nil
}

// TestResend guards against a second result for the same operation, and against an
// in-force time earlier than the real one, after a leader change, a restart and a
// restore from a snapshot.
func TestResend(t *testing.T) {
	is := is.New(t)
	c := newFormedCluster(t, 1, 3)
	c.client.stopped = true
	c.run(5 * time.Second)
	first := c.propose(change("mine"), false)
	is.Equal(first.GetInForceAtUnixNanos(), c.now.Add(follower.InForceBound).UnixNano())
	other := change("other")
	other.GetDefineDataCentre().DataCentre.Name = "mine"
	is.Equal(c.propose(other, false).GetWinner(), "mine")
	for _, name := range c.names {
		c.crash(c.hosts[name], true, false, false)
	}
	c.awaitRecovery()
	again := c.propose(change("mine"), false)
	is.Equal(again.GetRevision(), first.GetRevision())
	is.True(again.GetInForceAtUnixNanos() >= first.GetInForceAtUnixNanos())
	is.Equal(c.propose(other, false).GetOutcome(), wire.Outcome_OUTCOME_CONFLICT)
}

// TestInForceEarly guards against waiting for the full lease time although all
// entry hosts have confirmed a change, and against replying before they have.
func TestInForceEarly(t *testing.T) {
	is := is.New(t)
	c := newFormedCluster(t, 1, 3)
	c.client.stopped = true
	c.run(5 * time.Second)
	at := c.now
	r := c.propose(change("mine"), true)
	is.True(c.now.Sub(at) < time.Second)
	is.True(r.GetInForceAtUnixNanos() <= c.now.UnixNano())
	for _, h := range c.hosts {
		is.True(h.view.State.Revision() >= r.GetRevision())
	}
	is.Equal(len(c.leader().replica.Followers()), 3)
}

// TestSnapshotForFollower guards against a follower that can't catch up when the
// commands that it lacks are no longer held.
func TestSnapshotForFollower(t *testing.T) {
	is := is.New(t)
	c := newFormedCluster(t, 1, 3)
	for _, name := range c.names {
		c.crash(c.hosts[name], true, false, false)
	}
	c.awaitRecovery()
	resp := c.leader().replica.Follow(c.now, &wire.FollowRequest{
		Revision: 1,
	})
	is.True(resp.GetSnapshot() != nil)
	is.Equal(resp.GetSnapshot().GetRevision(), resp.GetRevision())
	is.True(resp.GetLeaseNanos() > 0 && resp.GetLeaseNanos() <= int64(follower.LeaseLength))
}

// TestHistory guards against gaps in the commands that a follower gets, and against
// a history that grows without bound.
func TestHistory(t *testing.T) {
	is := is.New(t)
	v := openSingleVoter(t, t.TempDir(), 1000)
	v.proposeChanges(0, 4500)
	for revision, whole := range map[uint64]bool{0: true, 1999: true, 2000: false, 4499: false, 4500: false} {
		resp := v.Follow(v.now, &wire.FollowRequest{
			Revision: revision,
		})
		is.Equal(resp.GetSnapshot() != nil, whole)
		for i, c := range resp.GetCommands() {
			is.Equal(c.GetRevision(), revision+uint64(i)+1)
		}
		is.True(whole || revision+uint64(len(resp.GetCommands())) == 4500)
	}
	is.NoErr(v.Close())
}

// FuzzStep guards against a panic on malformed or unexpected messages.
func FuzzStep(f *testing.F) {
	for kind := range replication.MessageKind_name {
		for _, index := range []uint64{0, ^uint64(0)} {
			payload, _ := proto.Marshal(&replication.Packet{
				Body: &replication.Packet_Message{
					Message: &replication.Message{
						Kind:    replication.MessageKind(kind),
						From:    "h-1#x",
						To:      "h-0#0000000000000001",
						Term:    9,
						Index:   index,
						LogTerm: 9,
						Commit:  1 << 60,
						Entries: []*replication.Entry{
							{
								Term:  9,
								Index: index + 1,
							},
						},
					},
				},
			})
			f.Add(payload)
		}
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		// As the only peer the replica leads its group; with a second peer it
		// belongs to no group.
		for _, peers := range [][]string{{"h-0"}, {"h-0", "h-1"}} {
			stepTwice(t, peers, payload)
		}
	})
}

func stepTwice(t *testing.T, peers []string, payload []byte) {
	now := time.Unix(1000, 0)
	c := &cluster{
		now:   now,
		rng:   rand.New(rand.NewPCG(1, 1)),
		names: peers,
	}
	opts := c.options(&host{
		name: "h-0",
		fs:   faultfs.New(),
	})
	opts.Send = func(string, *wire.Envelope) {}
	opts.Incarnation = func() string { return "0000000000000001" }
	r, err := replica.Open(now, opts)
	is.New(t).NoErr(err)
	for range 3 {
		r.Tick(now)
		r.Flush(now)
		now = now.Add(time.Second)
	}
	for range 2 {
		r.Step(now, &wire.Envelope{
			From:    "h-1",
			To:      "h-0",
			Payload: payload,
		})
		r.Flush(now)
		now = now.Add(time.Second)
		r.Tick(now)
	}
}
