package deduplicator_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/pkg/deduplicator"
)

// TestTableRules tests single rules; each case is named for the rule that it guards.
// TestEntryModel covers their combinations.
func TestTableRules(t *testing.T) {
	const key = "k"
	tests := map[string]func(is *is.I, p *pair){
		"a grant with one withdrawn copy is refused": func(is *is.I, p *pair) {
			first, second := p.begin(key, "a"), p.begin(key, "a")
			p.owner.Withdraw(p.now, first.Entry)
			is.Equal(p.owner.Confirm(p.now, 1, second.Entry).Outcome, deduplicator.Refused)
		},
		"a confirmed intent is not withdrawn": func(is *is.I, p *pair) {
			d := p.begin(key, "a")
			is.Equal(p.owner.Confirm(p.now, 1, d.Entry).Outcome, deduplicator.Granted)
			p.owner.Withdraw(p.now, d.Entry)
			is.Equal(p.begin(key, "b").Outcome, deduplicator.InProgress)
		},
		"an abandoned attempt gets no late grant": func(is *is.I, p *pair) {
			is.Equal(p.report(key, "a", deduplicator.Abandoned), "")
			is.Equal(p.begin(key, "a").Outcome, deduplicator.Refused)
			is.Equal(p.begin(key, "b").Outcome, deduplicator.NeedsCopy)
		},
		"a key is not reused for another request": func(is *is.I, p *pair) {
			p.begin(key, "a")
			d := p.owner.Begin(p.now, 1, deduplicator.Request{
				Key:         key,
				Fingerprint: "other",
				Attempt:     "a",
			})
			is.Equal(d.Outcome, deduplicator.Mismatch)
		},
		"an unfinished grant is unknown for the retention time": func(is *is.I, p *pair) {
			p.begin(key, "a")
			p.now = p.now.Add(deduplicator.DefaultGrantBound)
			is.Equal(p.begin(key, "a").Outcome, deduplicator.OutcomeUnknown)
			p.now = p.now.Add(deduplicator.DefaultRetention - 1)
			is.Equal(p.begin(key, "b").Outcome, deduplicator.OutcomeUnknown)
			p.now = p.now.Add(1)
			is.Equal(p.begin(key, "b").Outcome, deduplicator.NeedsCopy)
		},
		"a report is not undone": func(is *is.I, p *pair) {
			p.begin(key, "a")
			is.Equal(p.report(key, "a", deduplicator.Finished), "")
			is.True(p.report(key, "a", deduplicator.Abandoned) != "")
			is.Equal(p.begin(key, "b").Outcome, deduplicator.Replay)
		},
		"a copy holder that has another intent does not acknowledge": func(is *is.I, p *pair) {
			a := p.begin(key, "a").Entry
			is.True(p.send(false, contentOf(a)).Stored)
			a.Attempt = "b"
			is.True(!p.send(false, contentOf(a)).Stored)
		},
		"a whole slot of a new epoch replaces intents that were never granted": func(is *is.I, p *pair) {
			a := p.begin(key, "a").Entry
			is.True(p.send(false, contentOf(a)).Stored)
			a.Attempt = "b"
			p.open(3, contentOf(a), false)
			is.True(p.send(false, contentOf(a)).Stored)
		},
		"a copy holder that skipped a view asks for the whole slot": func(is *is.I, p *pair) {
			a := p.begin(key, "a").Entry
			p.copy.SetView(deduplicator.NewSlotMap(3, []deduplicator.Host{hostA, hostB}), nil)
			p.epoch = 3
			is.True(p.send(false, contentOf(a)).WholeWanted)
		},
		"nothing is granted while the slot is transferred": func(is *is.I, p *pair) {
			a := p.begin(key, "a").Entry
			p.owner.CloseSlot(1, p.slot)
			is.Equal(p.begin("k", "b").Outcome, deduplicator.Refused)
			p.open(3, contentOf(a), false)
			is.Equal(p.owner.Confirm(p.now, 1, a).Outcome, deduplicator.Refused)
		},
		"keys of a lost slot are unknown, also after an abandoned attempt": func(is *is.I, p *pair) {
			p.open(3, deduplicator.Content{}, true)
			is.True(p.report(key, "a", deduplicator.Abandoned) != "")
			is.Equal(p.begin(key, "b").Outcome, deduplicator.OutcomeUnknown)
			is.Equal(p.report(key, "a", deduplicator.Finished), "")
			is.Equal(p.begin(key, "b").Outcome, deduplicator.Replay)
			p.now = p.now.Add(deduplicator.DefaultRetention)
			is.Equal(p.begin(key, "b").Outcome, deduplicator.NeedsCopy)
		},
		"answers over the memory cap are dropped but their entries are kept": func(is *is.I, p *pair) {
			keys := p.keysOfSlot(14)
			for _, k := range keys[:13] {
				p.begin(k, "a")
				p.report(k, "a", deduplicator.Finished)
			}
			is.Equal(p.begin(keys[0], "b").Outcome, deduplicator.RanForgotten)
			is.Equal(p.begin(keys[13], "b").Outcome, deduplicator.Refused)
			p.now = p.now.Add(deduplicator.DefaultRetention)
			is.Equal(p.begin(keys[0], "b").Outcome, deduplicator.NeedsCopy)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test(is.New(t), newPair(key, deduplicator.Options{
				MemoryCap: 4000,
			}))
		})
	}
}

func contentOf(e deduplicator.Entry) deduplicator.Content {
	return deduplicator.Content{
		Entries: []deduplicator.Entry{e},
	}
}

// keysOfSlot returns n keys of the slot.
func (p *pair) keysOfSlot(n int) []string {
	var keys []string
	for i := 0; len(keys) < n; i++ {
		if key := fmt.Sprint("key-", i); deduplicator.SlotOf(key) == p.slot {
			keys = append(keys, key)
		}
	}
	return keys
}

// TestSurvey guards against taking over a slot from an incomplete holder, which would
// lose grants, and against declaring it lost while a holder can still answer, which
// would make it unavailable for minutes.
func TestSurvey(t *testing.T) {
	view := func(epoch uint64, hosts ...deduplicator.Host) *deduplicator.SlotMap {
		return deduplicator.NewSlotMap(epoch, hosts)
	}
	complete := func(epoch uint64) deduplicator.Content {
		return deduplicator.Content{
			CompleteEpoch: epoch,
		}
	}
	restarted := hostA
	restarted.Incarnation = "2"
	type answers = map[deduplicator.Host]deduplicator.Content
	check := func(present *deduplicator.SlotMap, history []*deduplicator.SlotMap, got answers, want deduplicator.Verdict, epoch uint64) func(*is.I) {
		return func(is *is.I) {
			content, verdict := deduplicator.Survey(present, history, 7, got)
			is.Equal(verdict, want)
			is.Equal(content.CompleteEpoch, epoch)
		}
	}
	first := []*deduplicator.SlotMap{view(1, hostA, hostB)}
	moved := []*deduplicator.SlotMap{view(2, hostA), view(1, hostB)}
	tests := map[string]func(*is.I){
		"first view": check(view(1, hostA), []*deduplicator.SlotMap{view(0)}, nil, deduplicator.Take, 0),
		"complete holder": check(view(2, hostA), first, answers{
			hostB: complete(1),
		}, deduplicator.Take, 1),
		"holder in the view has not answered": check(view(2, hostA), first, nil, deduplicator.Wait, 0),
		"both holders restarted": check(view(2, restarted), first, answers{
			restarted: complete(0),
		}, deduplicator.Lost, 0),
		"epoch without a grant": check(view(3, hostA), moved, answers{
			hostA: complete(0),
			hostB: complete(1),
		}, deduplicator.Take, 1),
		"epoch in between is not in the history": check(view(4, hostA), moved, answers{
			hostA: complete(0),
			hostB: complete(1),
		}, deduplicator.Lost, 0),
		"only the holder of an older epoch answers": check(view(3, hostB), moved, answers{
			hostB: complete(1),
		}, deduplicator.Lost, 0),
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test(is.New(t))
		})
	}
}

// TestKeysAndFingerprintsDiffer guards against keys of two teams that join to the same
// text, which would share an outcome, and against two requests with the same
// fingerprint.
func TestKeysAndFingerprintsDiffer(t *testing.T) {
	is := is.New(t)
	is.True(deduplicator.JoinKey("a", "b/c") != deduplicator.JoinKey("a/b", "c"))
	is.True(!bytes.Equal(deduplicator.Fingerprint("PUT", "/a", []byte("b")), deduplicator.Fingerprint("PUT", "/ab", nil)))
}

// TestSlotMap guards against placing both holders in one data centre, where they would
// be lost together, and against an uneven map, which would overload an owner.
func TestSlotMap(t *testing.T) {
	is := is.New(t)
	var hosts []deduplicator.Host
	for i := range 6 {
		hosts = append(hosts, deduplicator.Host{
			Name:       fmt.Sprint("h-", i),
			DataCentre: fmt.Sprint("dc-", i%4),
		})
	}
	m := deduplicator.NewSlotMap(1, hosts)
	owned := make(map[string]int)
	for slot := range deduplicator.SlotCount {
		h := m.Holders(slot)
		is.True(h.Owner.DataCentre != h.Copy.DataCentre)
		owned[h.Owner.Name]++
	}
	for _, n := range owned {
		is.True(n > deduplicator.SlotCount/12)
	}
	is.Equal(len(owned), 6)
	is.True(deduplicator.NewSlotMap(1, []deduplicator.Host{hostA, hosts[0]}).Holders(3).HasCopy())
	is.True(!deduplicator.NewSlotMap(1, []deduplicator.Host{hostA}).Holders(3).HasCopy())
}
