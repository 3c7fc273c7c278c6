// Command embed-deduplicator shows a program that embeds pkg/deduplicator: two
// holders in one process guard a redemption, the owner is lost, and a resend
// gets the stored answer from the holder that is left.
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
	pair := newPair()
	for _, attempt := range []string{"first", "resend"} {
		answer, err := pair.redeem(attempt)
		if err != nil {
			return err
		}
		fmt.Printf("%s: %s\n", attempt, answer)
	}
	if err := pair.loseOwner(); err != nil {
		return err
	}
	answer, err := pair.redeem("resend after the loss")
	if err != nil {
		return err
	}
	fmt.Printf("resend after the loss: %s\n", answer)
	return nil
}

// pair is the two holders of the key's slot. The copy is nil after the loss.
type pair struct {
	slots *deduplicator.SlotMap
	owner *deduplicator.Table
	copy  *deduplicator.Table
	slot  int
	runs  int
}

func newPair() *pair {
	p := &pair{
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
	p.open(deduplicator.Content{}, false)
	return p
}

// open gives the owner the content of the slot, pushes it to the copy holder
// and lets the owner accept Begin.
func (p *pair) open(taken deduplicator.Content, lost bool) {
	content, ok := p.owner.Install(time.Now(), p.slots.Epoch(), p.slot, taken, lost)
	if ok && p.send(content, true) {
		p.owner.OpenSlot(p.slots.Epoch(), p.slot)
	}
}

// send stands for a message to the copy holder.
func (p *pair) send(content deduplicator.Content, whole bool) bool {
	if p.copy == nil {
		return true
	}
	return p.copy.Copy(time.Now(), deduplicator.CopyMessage{
		Epoch:   p.slots.Epoch(),
		Slot:    p.slot,
		Whole:   whole,
		Content: content,
	}).Stored
}

func (p *pair) sendEntry(e deduplicator.Entry) bool {
	return p.send(deduplicator.Content{
		Entries: []deduplicator.Entry{e},
	}, false)
}

// redeem runs the redemption unless an earlier attempt did.
func (p *pair) redeem(attempt string) (string, error) {
	d := p.owner.Begin(time.Now(), p.slots.Epoch(), deduplicator.Request{
		Key:         key,
		Fingerprint: "POST /redeem",
		Attempt:     attempt,
	})
	if d.Outcome == deduplicator.NeedsCopy {
		if !p.sendEntry(d.Entry) {
			p.owner.Withdraw(time.Now(), d.Entry)
			return "", fmt.Errorf("%s: the copy holder refused", attempt)
		}
		d = p.owner.Confirm(time.Now(), p.slots.Epoch(), d.Entry)
	}
	switch d.Outcome {
	case deduplicator.Replay:
		return string(d.Entry.Answer), nil
	case deduplicator.Granted:
		return p.execute(attempt)
	}
	return "", fmt.Errorf("%s: not granted, %s", attempt, d.Reason)
}

func (p *pair) execute(attempt string) (string, error) {
	p.runs++
	answer := fmt.Sprintf("redeemed in run %d", p.runs)
	e, reason := p.owner.Finish(time.Now(), deduplicator.Entry{
		Key:         key,
		State:       deduplicator.Finished,
		Fingerprint: "POST /redeem",
		Attempt:     attempt,
		Answer:      []byte(answer),
	})
	if reason != "" || !p.sendEntry(e) {
		return "", fmt.Errorf("%s: the outcome is not stored, %s", attempt, reason)
	}
	return answer, nil
}

// loseOwner makes the copy holder the only host of the next view.
func (p *pair) loseOwner() error {
	before := p.slots
	left := before.Holders(p.slot).Copy
	p.slots = deduplicator.NewSlotMap(before.Epoch()+1, []deduplicator.Host{left})
	p.owner, p.copy = p.copy, nil
	p.owner.SetView(p.slots, before)
	own, _ := p.owner.Fetch(time.Now(), p.slots.Epoch(), p.slot)
	taken, verdict := deduplicator.Survey(p.slots, []*deduplicator.SlotMap{before}, p.slot, map[deduplicator.Host]deduplicator.Content{
		left: own,
	})
	if verdict == deduplicator.Wait {
		return fmt.Errorf("no holder of slot %d answers", p.slot)
	}
	p.open(taken, verdict == deduplicator.Lost)
	return nil
}
