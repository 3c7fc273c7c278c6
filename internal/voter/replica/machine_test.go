package replica_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/voter/replica"
)

// tape is a machine that keeps all its entries.
type tape struct{ text string }

func (m *tape) Apply(data []byte) any {
	m.text += string(data)
	return len(m.text)
}

func (m *tape) Encode() ([]byte, error) { return []byte(m.text), nil }

func (m *tape) Restore(data []byte) error {
	m.text = string(data)
	return nil
}

// tapes holds the machine of each host.
type tapes map[string]*tape

// adjust gives each host a new machine with each start, and an open group of
// three voters that the first three hosts form.
func (m tapes) adjust(h *host, o *replica.Options) {
	m[h.name] = &tape{}
	o.Machine = m[h.name]
	o.Peers = []string{"h-0", "h-1", "h-2"}
	o.Voters = 3
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

// An acknowledged entry of the machine must survive the loss of one disk, and
// reach a replica that starts from a snapshot.
func TestMachineSurvivesLostDisk(t *testing.T) {
	is := is.New(t)
	m := make(tapes)
	c := newClusterWith(t, 1, 3, m.adjust)
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
	for _, tape := range m {
		is.Equal(tape.text, want)
	}
}

// A host that was gone for good must not leave the group with one spare voter
// less: the learner takes its place, and the group stays at its size.
func TestLearnerReplacesSilentVoter(t *testing.T) {
	is := is.New(t)
	m := make(tapes)
	c := newClusterWith(t, 1, 4, m.adjust)
	c.leader()
	is.True(c.submit("a"))
	c.run(4 * time.Second)
	is.Equal(len(strings.Fields(voterNames(c))), 3)
	is.True(!strings.Contains(voterNames(c), "h-3"))

	c.crash(c.leader(), false, false, false)
	c.run(8 * time.Second)
	is.Equal(len(strings.Fields(voterNames(c))), 3)
	is.True(strings.Contains(voterNames(c), "h-3"))

	// The next loss is borne as well, since the learner votes by now.
	c.crash(c.leader(), false, false, false)
	c.run(3 * time.Second)
	is.True(c.submit("b"))
	is.Equal(m["h-3"].text, "ab")
}

// A host that joins only must never form a second group after the loss of its
// disk, whatever its seeds answer.
func TestJoiningHostsFormNoGroup(t *testing.T) {
	c := newClusterWith(t, 1, 3, func(_ *host, o *replica.Options) { o.Joins = true })
	c.run(10 * time.Second)
	is.New(t).Equal(len(c.leaders), 0)
}

// members returns the names of all members, learners included.
func members(c *cluster) []string {
	var names []string
	for _, m := range c.leader().replica.Status().Membership.GetMembers() {
		name, _, _ := strings.Cut(m.GetId(), "#")
		names = append(names, name)
	}
	return names
}

// A voter whose place was given away while it was frozen does not know of it;
// unless it asks to join again, the group stays one member short.
func TestRemovedVoterJoinsAgain(t *testing.T) {
	is := is.New(t)
	c := newClusterWith(t, 1, 4, make(tapes).adjust)
	former := c.leader()
	is.True(c.submit("a"))
	c.run(4 * time.Second)
	former.frozenUntil = c.now.Add(8 * time.Second)
	c.run(8 * time.Second)
	is.Equal(len(members(c)), 3)
	c.run(12 * time.Second)
	is.Equal(len(members(c)), 4)
}

// A host that lost its disk knows only its seeds, which need not lead.
func TestHostJoinsThroughOthers(t *testing.T) {
	is := is.New(t)
	c := newClusterWith(t, 1, 4, make(tapes).adjust)
	c.leader()
	is.True(c.submit("a"))
	c.run(4 * time.Second)
	// The learner becomes a voter and leads once the others are gone in turn.
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
