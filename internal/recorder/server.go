package recorder

import (
	"context"
	"slices"

	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/deduplicator"
)

const singleHostReason = "the view has a single entry host, no other host holds the intent"

// ServeBegin handles a Begin call as the owner of the key. It grants an attempt
// only after the copy holder has acknowledged the intent.
func (r *Recorder) ServeBegin(ctx context.Context, req *wire.BeginRequest) *wire.BeginResponse {
	switch {
	case !r.opts.HoldsLease():
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

// grant replicates an intent to the copy holder and then confirms it. If either
// step fails, the intent is withdrawn and the attempt refused.
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

// replicate sends an entry to the copy holder of its slot. It returns the reason
// why the entry was not stored, or "" if it was stored or no copy is required.
func (r *Recorder) replicate(ctx context.Context, epoch uint64, e deduplicator.Entry) string {
	p := r.placement.Load()
	slot := deduplicator.SlotOf(e.Key)
	holders := p.current.Holders(slot)
	switch {
	case p.current.Epoch() != epoch:
		return "the view changed during the copy"
	case !holders.HasCopy():
		return ""
	}
	w, err := entryToWire(r.opts.Clock.Now(), e)
	if err != nil {
		r.opts.Logger.Error("registry: entry can't be encoded, so it is not copied", "key", e.Key, "error", err)
		return "the entry can't be encoded"
	}
	resp, err := callWithTimeout(ctx, r, copyTimeout, func(ctx context.Context) (*wire.CopyResponse, error) {
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
		r.table.CloseSlot(epoch, slot)
		r.notifyPending()
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
		resp.RetryAfterNanos = int64(inProgressRetryAfter)
	case deduplicator.Refused:
		resp.RetryAfterNanos = int64(refusedRetryAfter)
	case deduplicator.Replay:
		answer, err := decodeAnswer(d.Entry.Answer)
		if err != nil {
			r.opts.Logger.Error("registry: stored answer can't be decoded; the request is answered as forgotten", "key", d.Entry.Key, "error", err)
			resp.Outcome = wire.BeginOutcome_BEGIN_OUTCOME_FORGOTTEN
		}
		resp.Answer = answer
	}
	return resp
}

// ServeFinish handles a Finish call as the owner of the key: it stores the
// outcome and replicates it to the copy holder.
func (r *Recorder) ServeFinish(ctx context.Context, req *wire.FinishRequest) *wire.FinishResponse {
	now := r.opts.Clock.Now()
	report, err := entryFromWire(now, req.GetEntry())
	if err != nil {
		r.opts.Logger.Warn("registry: invalid outcome report refused", "key", report.Key, "error", err)
		return &wire.FinishResponse{}
	}
	epoch := r.placement.Load().current.Epoch()
	stored, reason := r.table.Finish(now, report)
	if reason == "" {
		reason = r.replicate(ctx, epoch, stored)
	}
	if reason != "" {
		r.opts.Logger.Debug("registry: outcome not stored on both holders", "key", report.Key, "reason", reason)
	}
	return &wire.FinishResponse{
		Stored: reason == "",
	}
}

// ServeCopy handles a Copy call: it stores entries as the copy holder of their
// slot.
func (r *Recorder) ServeCopy(_ context.Context, req *wire.CopyRequest) *wire.CopyResponse {
	if !r.opts.HoldsLease() && hasIntent(req) {
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
			LostFor: durationOf(req.GetLostNanos()),
			Entries: entries,
		},
	})
	return &wire.CopyResponse{
		Stored:      result.Stored,
		Reason:      result.Reason,
		WholeWanted: result.WholeWanted,
	}
}

// hasIntent reports whether acknowledging the request would allow the owner to
// grant an attempt. Only then is a lease required; outcomes and whole slots are
// stored without one.
func hasIntent(req *wire.CopyRequest) bool {
	return !req.GetWhole() && slices.ContainsFunc(req.GetEntries(), func(e *wire.RegistryEntry) bool {
		return e.GetState() == wire.EntryState_ENTRY_STATE_BEGUN
	})
}

// ServeFetch handles a Fetch call: it returns the content of a slot to its new
// owner. From then on this host neither grants nor acknowledges intents of that
// slot under earlier epochs.
func (r *Recorder) ServeFetch(_ context.Context, req *wire.FetchRequest) *wire.FetchResponse {
	now := r.opts.Clock.Now()
	content, ok := r.table.Fetch(now, req.GetEpoch(), int(req.GetSlot()))
	if !ok {
		return &wire.FetchResponse{}
	}
	entries, err := entriesToWire(now, content.Entries)
	if err != nil {
		r.opts.Logger.Error("registry: slot can't be encoded, so its new owner gets no content", "slot", req.GetSlot(), "error", err)
		return &wire.FetchResponse{}
	}
	resp := &wire.FetchResponse{
		Held:          content.CompleteEpoch > 0,
		Entries:       entries,
		Incarnation:   r.self.Incarnation,
		CompleteEpoch: content.CompleteEpoch,
		LostNanos:     int64(content.LostFor),
	}
	if content.CompleteEpoch+1 < req.GetEpoch() {
		resp.Views = r.placement.Load().views
	}
	return resp
}
