// Command embed-deduplicator shows how a program embeds pkg/deduplicator: two
// holders in one process keep a redemption from running twice, the owner is lost,
// and a resend gets the stored answer from the remaining holder.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/heathermux/heathermux/pkg/deduplicator"
)

const key = "markets/redeem-17"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "embed-deduplicator:", err)
		os.Exit(1)
	}
}

func run() error {
	pair := newHolderPair()
	for _, attempt := range []string{"first", "resend"} {
		answer, err := pair.redeem(attempt)
		if err != nil {
			return err
		}
		fmt.Printf("%s: %s\n", attempt, answer)
	}
	if err := pair.simulateOwnerLoss(); err != nil {
		return err
	}
	answer, err := pair.redeem("resend after the loss")
	if err != nil {
		return err
	}
	fmt.Printf("resend after the loss: %s\n", answer)
	return nil
}

// holderPair has the two holders of the key's slot, the owner and the copy holder.
// The copy is nil after the owner was lost.
type holderPair struct {
	slots *deduplicator.SlotMap
	owner *deduplicator.Table
	copy  *deduplicator.Table
	slot  int
	runs  int
}

func newHolderPair() *holderPair {
	p := &holderPair{
		slot: deduplicator.SlotOf(key),
		slots: deduplicator.NewSlotMap(1, []deduplicator.Host{
			{
				Name:        "h-1",
				Incarnation: "1",
				DataCentre:  "dc-a",
			},
			{
				Name:        "h-2",
				Incarnation: "1",
				DataCentre:  "dc-b",
			},
		}),
	}
	holders := p.slots.Holders(p.slot)
	p.owner = deduplicator.New(deduplicator.Options{
		Self: holders.Owner,
	})
	p.copy = deduplicator.New(deduplicator.Options{
		Self: holders.Copy,
	})
	p.owner.SetView(p.slots, nil)
	p.copy.SetView(p.slots, nil)
	p.activateSlot(deduplicator.Content{}, false)
	return p
}

// activateSlot installs the content of the slot on the owner, transfers it to the
// copy holder, and opens the slot so that the owner accepts Begin.
func (p *holderPair) activateSlot(recovered deduplicator.Content, lost bool) {
	content, ok := p.owner.Install(time.Now(), p.slots.Epoch(), p.slot, recovered, lost)
	if ok && p.sendToCopy(content, true) {
		p.owner.OpenSlot(p.slots.Epoch(), p.slot)
	}
}

// sendToCopy stores content on the copy holder and reports whether that succeeded;
// it succeeds if there is no copy holder. In a distributed program this is a
// network call.
func (p *holderPair) sendToCopy(content deduplicator.Content, full bool) bool {
	if p.copy == nil {
		return true
	}
	return p.copy.Copy(time.Now(), deduplicator.CopyMessage{
		Epoch:   p.slots.Epoch(),
		Slot:    p.slot,
		Whole:   full,
		Content: content,
	}).Stored
}

func (p *holderPair) sendEntryToCopy(e deduplicator.Entry) bool {
	return p.sendToCopy(deduplicator.Content{
		Entries: []deduplicator.Entry{e},
	}, false)
}

// redeem runs the redemption, or returns the stored answer of an earlier attempt.
func (p *holderPair) redeem(attempt string) (string, error) {
	d := p.owner.Begin(time.Now(), p.slots.Epoch(), deduplicator.Request{
		Key:         key,
		Fingerprint: "POST /redeem",
		Attempt:     attempt,
	})
	if d.Outcome == deduplicator.NeedsCopy {
		if !p.sendEntryToCopy(d.Entry) {
			p.owner.Withdraw(time.Now(), d.Entry)
			return "", fmt.Errorf("%s: redemption not run: the copy holder did not store the entry", attempt)
		}
		d = p.owner.Confirm(time.Now(), p.slots.Epoch(), d.Entry)
	}
	switch d.Outcome {
	case deduplicator.Replay:
		return string(d.Entry.Answer), nil
	case deduplicator.Granted:
		return p.execute(attempt)
	}
	return "", fmt.Errorf("%s: redemption not run: key was not granted: %s", attempt, d.Reason)
}

// execute runs the redemption and stores its answer on both holders.
func (p *holderPair) execute(attempt string) (string, error) {
	p.runs++
	answer := fmt.Sprintf("redeemed in run %d", p.runs)
	e, reason := p.owner.Finish(time.Now(), deduplicator.Entry{
		Key:         key,
		State:       deduplicator.Finished,
		Fingerprint: "POST /redeem",
		Attempt:     attempt,
		Answer:      []byte(answer),
	})
	if reason != "" || !p.sendEntryToCopy(e) {
		return "", fmt.Errorf("%s: redemption ran, but its answer was not stored: %s", attempt, reason)
	}
	return answer, nil
}

// simulateOwnerLoss makes the copy holder the only host of the next slot map and
// the owner of the slot, with the content that Survey recovers.
func (p *holderPair) simulateOwnerLoss() error {
	previous := p.slots
	survivor := previous.Holders(p.slot).Copy
	p.slots = deduplicator.NewSlotMap(previous.Epoch()+1, []deduplicator.Host{survivor})
	p.owner, p.copy = p.copy, nil
	p.owner.SetView(p.slots, previous)
	stored, _ := p.owner.Fetch(time.Now(), p.slots.Epoch(), p.slot)
	recovered, verdict := deduplicator.Survey(p.slots, []*deduplicator.SlotMap{previous}, p.slot, map[deduplicator.Host]deduplicator.Content{
		survivor: stored,
	})
	if verdict == deduplicator.Wait {
		return fmt.Errorf("owner not replaced: no previous holder of slot %d answered", p.slot)
	}
	p.activateSlot(recovered, verdict == deduplicator.Lost)
	return nil
}
