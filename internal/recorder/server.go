package recorder

import (
	"context"
	"slices"

	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/deduplicator"
)

const singleHostReason = "the view has a single entry host, no other host holds the intent"

// ServeBegin decides on a Begin as the owner of the key. It grants only after
// the copy holder has acknowledged the intent.
func (r *Recorder) ServeBegin(ctx context.Context, req *wire.BeginRequest) *wire.BeginResponse {
	switch {
	case !r.opts.Live():
		return refusal("the authority lease of the owner has ended")
	case req.GetKey() == "" || req.GetAttempt() == "":
		return refusal("the key or the attempt is missing")
	}
	d := r.table.Begin(r.opts.Clock.Now(), req.GetEpoch(), deduplicator.Request{
		Key:         req.GetKey(),
		Fingerprint: string(req.GetFingerprint()),
		Attempt:     req.GetAttempt(),
	})
	if d.Outcome == deduplicator.NeedsCopy {
		d = r.grant(ctx, req.GetEpoch(), d.Entry)
	}
	return r.beginResponse(d)
}

// grant copies an intent and confirms it.
func (r *Recorder) grant(ctx context.Context, epoch uint64, intent deduplicator.Entry) deduplicator.Decision {
	reason := r.replicate(ctx, epoch, intent)
	if reason == "" {
		d := r.table.Confirm(r.opts.Clock.Now(), epoch, intent)
		if d.Outcome == deduplicator.Granted {
			return d
		}
		reason = d.Reason
	}
	r.table.Withdraw(r.opts.Clock.Now(), intent)
	return deduplicator.Decision{
		Outcome: deduplicator.Refused,
		Reason:  reason,
	}
}

// replicate copies an entry to the copy holder of its slot and returns why it
// was not stored; empty when it was.
func (r *Recorder) replicate(ctx context.Context, epoch uint64, e deduplicator.Entry) string {
	p := r.placement.Load()
	slot := deduplicator.SlotOf(e.Key)
	holders := p.present.Holders(slot)
	switch {
	case p.present.Epoch() != epoch:
		return "the view changed during the copy"
	case !holders.HasCopy():
		return ""
	}
	w, err := entryToWire(r.opts.Clock.Now(), e)
	if err != nil {
		r.opts.Logger.Error("registry: entry can't be encoded", "key", e.Key, "error", err)
		return "the entry can't be encoded"
	}
	resp, err := bounded(ctx, r, copyTimeout, func(ctx context.Context) (*wire.CopyResponse, error) {
		return r.opts.Peers.Copy(ctx, p.member(holders.Copy), &wire.CopyRequest{
			Epoch:   epoch,
			Slot:    uint32(slot),
			Entries: []*wire.RegistryEntry{w},
		})
	})
	switch {
	case err != nil:
		return "the copy holder can't be reached"
	case resp.GetStored():
		return ""
	case resp.GetWholeWanted():
		r.table.Close(epoch, slot)
		r.signal()
	}
	return "the copy holder refused: " + resp.GetReason()
}

func (r *Recorder) beginResponse(d deduplicator.Decision) *wire.BeginResponse {
	resp := &wire.BeginResponse{
		Outcome: outcomesToWire[d.Outcome],
		Reason:  d.Reason,
	}
	switch d.Outcome {
	case deduplicator.Granted:
		if d.Copies == 1 {
			resp.Reason = singleHostReason
		}
	case deduplicator.InProgress:
		resp.RetryAfterNanos = int64(progressRetryAfter)
	case deduplicator.Refused:
		resp.RetryAfterNanos = int64(refusedRetryAfter)
	case deduplicator.Replay:
		answer, err := decodeAnswer(d.Entry.Answer)
		if err != nil {
			r.opts.Logger.Error("registry: stored answer can't be decoded", "key", d.Entry.Key, "error", err)
			resp.Outcome = wire.BeginOutcome_BEGIN_OUTCOME_FORGOTTEN
		}
		resp.Answer = answer
	}
	return resp
}

// ServeFinish stores a report as the owner of the key and copies it.
func (r *Recorder) ServeFinish(ctx context.Context, req *wire.FinishRequest) *wire.FinishResponse {
	now := r.opts.Clock.Now()
	report, err := entryFromWire(now, req.GetEntry())
	if err != nil {
		r.opts.Logger.Warn("registry: report refused", "key", report.Key, "error", err)
		return &wire.FinishResponse{}
	}
	epoch := r.placement.Load().present.Epoch()
	stored, reason := r.table.Finish(now, report)
	if reason == "" {
		reason = r.replicate(ctx, epoch, stored)
	}
	if reason != "" {
		r.opts.Logger.Debug("registry: report not stored on both holders", "key", report.Key, "reason", reason)
	}
	return &wire.FinishResponse{
		Stored: reason == "",
	}
}

// ServeCopy stores entries as the copy holder of their slot.
func (r *Recorder) ServeCopy(_ context.Context, req *wire.CopyRequest) *wire.CopyResponse {
	if !r.opts.Live() && hasIntent(req) {
		return &wire.CopyResponse{
			Reason: "the authority lease of the copy holder has ended",
		}
	}
	now := r.opts.Clock.Now()
	entries, err := entriesFromWire(now, req.GetEntries())
	if err != nil {
		return &wire.CopyResponse{
			Reason: err.Error(),
		}
	}
	result := r.table.Copy(now, deduplicator.CopyMessage{
		Epoch: req.GetEpoch(),
		Slot:  int(req.GetSlot()),
		Whole: req.GetWhole(),
		Content: deduplicator.Content{
			Lost:    durationOf(req.GetLostNanos()),
			Entries: entries,
		},
	})
	return &wire.CopyResponse{
		Stored:      result.Stored,
		Reason:      result.Reason,
		WholeWanted: result.WholeWanted,
	}
}

// hasIntent reports whether an acknowledgement of the request would allow a
// grant. Outcomes and whole slots are stored without a lease.
func hasIntent(req *wire.CopyRequest) bool {
	return !req.GetWhole() && slices.ContainsFunc(req.GetEntries(), func(e *wire.RegistryEntry) bool {
		return e.GetState() == wire.EntryState_ENTRY_STATE_BEGUN
	})
}

// ServeFetch returns a slot to its new owner and stops granting and
// acknowledging under earlier epochs.
func (r *Recorder) ServeFetch(_ context.Context, req *wire.FetchRequest) *wire.FetchResponse {
	now := r.opts.Clock.Now()
	content, ok := r.table.Fetch(now, req.GetEpoch(), int(req.GetSlot()))
	if !ok {
		return &wire.FetchResponse{}
	}
	entries, err := entriesToWire(now, content.Entries)
	if err != nil {
		r.opts.Logger.Error("registry: slot can't be encoded", "slot", req.GetSlot(), "error", err)
		return &wire.FetchResponse{}
	}
	resp := &wire.FetchResponse{
		Held:          content.Complete > 0,
		Entries:       entries,
		Incarnation:   r.self.Incarnation,
		CompleteEpoch: content.Complete,
		LostNanos:     int64(content.Lost),
	}
	if content.Complete+1 < req.GetEpoch() {
		resp.Views = r.placement.Load().views
	}
	return resp
}
