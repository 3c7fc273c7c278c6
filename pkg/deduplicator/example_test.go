package deduplicator_test

import (
	"fmt"
	"time"

	"github.com/heathermux/heathermux/pkg/deduplicator"
)

// With a single host there is no copy holder: Begin grants at once, and the decision
// says that one host holds the intent.
func Example() {
	self := deduplicator.Host{
		Name: "h-1",
	}
	table := deduplicator.New(deduplicator.Options{
		Self: self,
	})
	table.SetView(deduplicator.NewSlotMap(1, []deduplicator.Host{self}), nil)
	now := time.Unix(1000, 0)
	for _, slot := range table.Pending() {
		table.Install(now, 1, slot, deduplicator.Content{}, false)
		table.OpenSlot(1, slot)
	}

	request := deduplicator.Request{
		Key:         "markets/redeem-17",
		Fingerprint: "POST /redeem",
		Attempt:     "first",
	}
	first := table.Begin(now, 1, request)
	fmt.Println("first granted:", first.Outcome == deduplicator.Granted, "copies:", first.Copies)
	table.Finish(now, deduplicator.Entry{
		Key:         request.Key,
		State:       deduplicator.Finished,
		Fingerprint: request.Fingerprint,
		Attempt:     request.Attempt,
		Answer:      []byte("redeemed"),
	})

	request.Attempt = "resend"
	resend := table.Begin(now, 1, request)
	fmt.Println("resend granted:", resend.Outcome == deduplicator.Granted, "answer:", string(resend.Entry.Answer))
	// Output:
	// first granted: true copies: 1
	// resend granted: false answer: redeemed
}
