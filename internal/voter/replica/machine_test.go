package replica_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/recoverer"
	"github.com/heathermux/heathermux/internal/voter/replica"
)

// panicEntry makes a recorder panic.
const panicEntry = "!"

// recorder is a state machine that records all its entries.
type recorder struct{ text string }

func (m *recorder) Apply(data []byte) any {
	if string(data) == panicEntry {
		panic("entry can't be applied")
	}
	m.text += string(data)
	return len(m.text)
}

func (m *recorder) Encode() ([]byte, error) { return []byte(m.text), nil }

func (m *recorder) Restore(data []byte) error {
	m.text = string(data)
	return nil
}

// recorders holds the current state machine of each host.
type recorders map[string]*recorder

// adjustOptions gives a host a new state machine on each start, and configures an
// open group with three voters that the first three hosts form.
func (m recorders) adjustOptions(h *host, o *replica.Options) {
	m[h.name] = &recorder{}
	o.StateMachine = m[h.name]
	o.Peers = []string{"h-0", "h-1", "h-2"}
	o.VoterCount = 3
}

// submit appends an entry on the leader and waits for its result.
func (c *cluster) submit(text string) bool {
	done := false
	c.leader().replica.Submit(c.now, []byte(text), func(_ any, err error) { done = err == nil })
	for range 200 {
		c.step()
		if done {
			return true
		}
	}
	return false
}

func voterNames(c *cluster) string {
	var names []string
	for _, id := range c.leader().replica.Voters() {
		name, _, _ := strings.Cut(id, "#")
		names = append(names, name)
	}
	return strings.Join(names, " ")
}

// TestMachineSurvivesLostDisk guards against the loss of an acknowledged state
// machine entry when one host loses its disk, and of one that a replica has to
// restore from a snapshot.
func TestMachineSurvivesLostDisk(t *testing.T) {
	is := is.New(t)
	m := make(recorders)
	c := newClusterWith(t, 1, 3, m.adjustOptions)
	c.leader()
	want := ""
	for i := range 30 {
		letter := string(rune('a' + i%26))
		is.True(c.submit(letter))
		want += letter
		if i%10 == 9 {
			c.crash(c.leader(), true, false, true)
			c.run(8 * time.Second)
		}
	}
	for _, machine := range m {
		is.Equal(machine.text, want)
	}
}

// TestEntryThatPanicsEndsNoReplica guards against an entry that ends each replica that
// applies it, one after the other, and again after each restart.
func TestEntryThatPanicsEndsNoReplica(t *testing.T) {
	is := is.New(t)
	m := make(recorders)
	c := newClusterWith(t, 1, 3, m.adjustOptions)
	c.leader()
	is.True(c.submit("a"))
	var result any
	c.leader().replica.Submit(c.now, []byte(panicEntry), func(r any, _ error) { result = r })
	c.run(time.Second)
	err, failed := result.(error)
	is.True(failed)
	is.Equal(errors.Cause(err), recoverer.ErrPanicked)
	is.True(c.submit("b"))
	c.run(time.Second)
	for _, machine := range m {
		is.Equal(machine.text, "ab")
	}
}

// TestLearnerReplacesSilentVoter guards against an open group that tolerates one
// failure less after a host is gone for good: a learner must take its place, and
// the group must keep its size.
func TestLearnerReplacesSilentVoter(t *testing.T) {
	is := is.New(t)
	m := make(recorders)
	c := newClusterWith(t, 1, 4, m.adjustOptions)
	c.leader()
	is.True(c.submit("a"))
	c.run(4 * time.Second)
	is.Equal(len(strings.Fields(voterNames(c))), 3)
	is.True(!strings.Contains(voterNames(c), "h-3"))

	c.crash(c.leader(), false, false, false)
	c.run(8 * time.Second)
	is.Equal(len(strings.Fields(voterNames(c))), 3)
	is.True(strings.Contains(voterNames(c), "h-3"))

	// The group tolerates the next failure too, since the learner is now a voter.
	c.crash(c.leader(), false, false, false)
	c.run(3 * time.Second)
	is.True(c.submit("b"))
	is.Equal(m["h-3"].text, "ab")
}

// TestJoiningHostsFormNoGroup guards against a second group: hosts with JoinOnly,
// for example after the loss of their disks, must not form one, whatever their
// peers answer.
func TestJoiningHostsFormNoGroup(t *testing.T) {
	c := newClusterWith(t, 1, 3, func(_ *host, o *replica.Options) { o.JoinOnly = true })
	c.run(10 * time.Second)
	is.New(t).Equal(len(c.leaderByTerm), 0)
}

// members returns the host names of all members, including learners.
func members(c *cluster) []string {
	var names []string
	for _, m := range c.leader().replica.Status().Membership.GetMembers() {
		name, _, _ := strings.Cut(m.GetId(), "#")
		names = append(names, name)
	}
	return names
}

// TestRemovedVoterJoinsAgain guards against a group that stays one member short: a
// voter that was replaced while it was frozen does not know of it, and has to ask
// to join again.
func TestRemovedVoterJoinsAgain(t *testing.T) {
	is := is.New(t)
	c := newClusterWith(t, 1, 4, make(recorders).adjustOptions)
	former := c.leader()
	is.True(c.submit("a"))
	c.run(4 * time.Second)
	former.frozenUntil = c.now.Add(8 * time.Second)
	c.run(8 * time.Second)
	is.Equal(len(members(c)), 3)
	c.run(12 * time.Second)
	is.Equal(len(members(c)), 4)
}

// TestHostJoinsThroughOthers guards against a host that can't join after the loss of
// its disk because it knows only its seed hosts, none of which is the leader.
func TestHostJoinsThroughOthers(t *testing.T) {
	is := is.New(t)
	c := newClusterWith(t, 1, 4, make(recorders).adjustOptions)
	c.leader()
	is.True(c.submit("a"))
	c.run(4 * time.Second)
	// Crash the leaders in turn until the former learner h-3 leads.
	for range 20 {
		if c.leader().name == "h-3" {
			break
		}
		former := c.leader()
		c.crash(former, false, false, false)
		c.run(6 * time.Second)
		c.open(former)
		c.run(8 * time.Second)
	}
	is.Equal(c.leader().name, "h-3")
	c.crash(c.hosts["h-0"], true, false, true)
	c.run(15 * time.Second)
	is.Equal(c.leader().name, "h-3")
	is.Equal(len(members(c)), 4)
}
