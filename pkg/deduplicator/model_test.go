package deduplicator_test

import (
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/heathermux/heathermux/pkg/deduplicator"
)

var (
	hostA = deduplicator.Host{
		Name:       "a",
		DataCentre: "dc-1",
	}
	hostB = deduplicator.Host{
		Name:       "b",
		DataCentre: "dc-2",
	}
)

// pair is the owner and the copy holder of the slot of one key, which is open.
type pair struct {
	now         time.Time
	epoch       uint64
	slot        int
	owner, copy *deduplicator.Table
}

func newPair(key string, opts deduplicator.Options) *pair {
	p := &pair{
		now:  time.Unix(1000, 0),
		slot: deduplicator.SlotOf(key),
	}
	holders := deduplicator.NewSlotMap(1, []deduplicator.Host{hostA, hostB}).Holders(p.slot)
	opts.Self = holders.Owner
	p.owner = deduplicator.New(opts)
	opts.Self = holders.Copy
	p.copy = deduplicator.New(opts)
	p.open(1, deduplicator.Content{}, false)
	return p
}

// open moves both tables to an epoch that does not follow their current one.
func (p *pair) open(epoch uint64, surveyed deduplicator.Content, lost bool) {
	p.epoch = epoch
	m := deduplicator.NewSlotMap(epoch, []deduplicator.Host{hostA, hostB})
	p.owner.SetView(m, nil)
	p.copy.SetView(m, nil)
	content, _ := p.owner.Install(p.now, epoch, p.slot, surveyed, lost)
	p.send(true, content)
	p.owner.OpenSlot(epoch, p.slot)
}

func (p *pair) send(whole bool, c deduplicator.Content) deduplicator.CopyResult {
	return p.copy.Copy(p.now, deduplicator.CopyMessage{
		Epoch:   p.epoch,
		Slot:    p.slot,
		Whole:   whole,
		Content: c,
	})
}

func (p *pair) begin(key, attempt string) deduplicator.Decision {
	return p.owner.Begin(p.now, p.epoch, deduplicator.Request{
		Key:         key,
		Fingerprint: "f",
		Attempt:     attempt,
	})
}

func (p *pair) report(key, attempt string, state deduplicator.State) string {
	_, reason := p.owner.Finish(p.now, deduplicator.Entry{
		Key:         key,
		State:       state,
		Fingerprint: "f",
		Attempt:     attempt,
		Answer:      []byte(attempt),
	})
	return reason
}

// stateOrder lists the states in the order in which one generation may pass them.
const stateOrder = "begun unknown abandoned finished forgotten"

func rank(e deduplicator.Entry) int {
	return strings.Index(stateOrder, e.State.String())
}

// TestEntryModel guards against an entry that reverts to an earlier state and an
// intent that is granted twice, either of which would run a request twice. Messages to
// the copy holder are lost, delayed, duplicated and reordered; attempts call Begin
// again and report at any time within the retention time.
func TestEntryModel(t *testing.T) {
	is.New(t).NoErr(errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "1000"), flag.Set("rapid.nofailfile", "true")))
	rapid.Check(t, func(t *rapid.T) {
		const key = "k"
		p := newPair(key, deduplicator.Options{})
		var messages []deduplicator.Content
		var intents []deduplicator.Entry
		granted := make(map[string]bool)
		reported := make(map[string]bool)
		ranAttempt := ""
		last := make(map[*deduplicator.Table]deduplicator.Entry)
		recordGrant := func(d deduplicator.Decision, attempt string) {
			granted[attempt] = granted[attempt] || d.Outcome == deduplicator.Granted
		}
		drawAttempt := func(t *rapid.T) string {
			return fmt.Sprint("attempt-", rapid.IntRange(1, 4).Draw(t, "attempt"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				a := drawAttempt(t)
				d := p.begin(key, a)
				if d.Outcome == deduplicator.Replay && string(d.Entry.Answer) != ranAttempt {
					t.Fatalf("answer of %q replayed, %q ran", d.Entry.Answer, ranAttempt)
				}
				if d.Outcome == deduplicator.NeedsCopy {
					intents = append(intents, d.Entry)
				}
				recordGrant(d, a)
			},
			"copy": func(t *rapid.T) {
				if len(intents) == 0 {
					t.Skip("no intent")
				}
				intent := rapid.SampledFrom(intents).Draw(t, "intent")
				c := deduplicator.Content{
					Entries: []deduplicator.Entry{intent},
				}
				messages = append(messages, c)
				if rapid.Bool().Draw(t, "arrives") && p.send(false, c).Stored {
					recordGrant(p.owner.Confirm(p.now, 1, intent), intent.Attempt)
				} else {
					p.owner.Withdraw(p.now, intent)
				}
			},
			"late message": func(t *rapid.T) {
				if len(messages) == 0 {
					t.Skip("no message")
				}
				p.send(rapid.Bool().Draw(t, "whole"), rapid.SampledFrom(messages).Draw(t, "message"))
			},
			"report": func(t *rapid.T) {
				a := drawAttempt(t)
				if !granted[a] || reported[a] {
					t.Skip("no grant")
				}
				reported[a] = true
				if rapid.Bool().Draw(t, "not sent") {
					p.report(key, a, deduplicator.Abandoned)
					return
				}
				if ranAttempt != "" {
					t.Fatalf("at-most-once: %s ran after %s", a, ranAttempt)
				}
				ranAttempt = a
				p.report(key, a, rapid.SampledFrom([]deduplicator.State{deduplicator.Finished, deduplicator.Unknown}).Draw(t, "state"))
			},
			"wait": func(*rapid.T) {
				p.now = p.now.Add(time.Second)
			},
			"": func(t *rapid.T) {
				for _, table := range []*deduplicator.Table{p.owner, p.copy} {
					c, _ := table.Fetch(p.now, 1, p.slot)
					e, before := append(c.Entries, deduplicator.Entry{})[0], last[table]
					if e.Generation < before.Generation || (e.Generation == before.Generation && rank(e) < rank(before)) {
						t.Fatalf("entry reverted from %d %s to %d %s", before.Generation, before.State, e.Generation, e.State)
					}
					last[table] = e
				}
			},
		})
	})
}
