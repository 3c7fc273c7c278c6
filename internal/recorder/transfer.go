package recorder

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/alitto/pond/v2"

	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/deduplicator"
)

func durationOf(nanos int64) time.Duration {
	return time.Duration(nanos)
}

// Transfer makes one pass over the pending slots, which this host owns but for
// which it accepts no Begin yet. It fetches each slot from an earlier holder,
// pushes it to the copy holder and opens it. It returns the number of slots that
// are still pending. Run calls it repeatedly; tests may call it directly.
func (r *Recorder) Transfer(ctx context.Context) int {
	placement := r.placement.Load()
	pass := &transferPass{
		r:                   r,
		placement:           placement,
		number:              placement.passes.Add(1),
		consecutiveFailures: make(map[deduplicator.Host]int),
		views:               placement.views,
		maps:                placement.history,
	}
	pending := r.table.Pending()
	if len(pending) == 0 {
		return 0
	}
	pool := pond.NewPool(r.opts.Workers)
	for _, slot := range pending {
		err := pool.Go(func() {
			pass.transfer(ctx, slot)
		})
		if err != nil {
			r.opts.Logger.Error("registry: slot transfer not started, it is retried in the next pass", "slot", slot, "error", err)
		}
	}
	pool.StopAndWait()
	remaining := len(r.table.Pending())
	epoch := placement.current.Epoch()
	if remaining > 0 {
		r.opts.Logger.Info("registry: some slots are not transferred yet, retrying", "slots", remaining, "epoch", epoch)
	} else {
		r.opts.Logger.Info("registry: all pending slots are transferred", "slots", len(pending), "epoch", epoch)
	}
	return remaining
}

// transferPass is one pass over the pending slots. It stops calling a host after
// maxConsecutiveFailures failed calls in a row, so that an unresponsive host
// costs a few timeouts instead of one for each slot.
type transferPass struct {
	r         *Recorder
	placement *placement
	number    int64

	mu sync.Mutex
	// stale is set when another host has refused a fetch, as it has seen a later
	// view. No slot counts as lost then, because that host may still hold it.
	stale bool
	// consecutiveFailures counts the failed calls to each host since its last
	// answer.
	consecutiveFailures map[deduplicator.Host]int
	// views are the views of the placement and earlier ones learned from other
	// hosts, newest first.
	views []*wire.View
	// maps are the slot maps of all views except the current one.
	maps []*deduplicator.SlotMap
}

func (p *transferPass) transfer(ctx context.Context, slot int) {
	epoch := p.placement.current.Epoch()
	var fetched deduplicator.Content
	lost := false
	if !p.r.table.Installed(epoch, slot) {
		var verdict deduplicator.Verdict
		fetched, verdict = p.queryEarlierHolders(ctx, slot)
		lost = verdict == deduplicator.Lost
		if verdict == deduplicator.Wait || (lost && (p.number < passesUntilLost || p.isStale())) {
			return
		}
	}
	content, ok := p.r.table.Install(p.r.opts.Clock.Now(), epoch, slot, fetched, lost)
	if !ok {
		return
	}
	if lost {
		p.r.opts.Logger.Warn("registry: both holders of a slot were lost; all its keys count as unknown for the retention time", "slot", slot, "epoch", epoch)
	}
	if p.push(ctx, slot, content) {
		p.r.table.OpenSlot(epoch, slot)
	}
}

// queryEarlierHolders fetches a slot from its earlier holders, starting with
// those of the newest view, until their answers are sufficient.
func (p *transferPass) queryEarlierHolders(ctx context.Context, slot int) (deduplicator.Content, deduplicator.Verdict) {
	current := p.placement.current
	answers := make(map[deduplicator.Host]deduplicator.Content)
	asked := make(map[deduplicator.Host]bool)
	history := p.history()
	for {
		h, ok := p.nextHolder(history, slot, asked)
		if !ok {
			return deduplicator.Survey(current, history, slot, answers)
		}
		asked[h] = true
		if content, ok := p.fetch(ctx, h, slot); ok {
			answers[h] = content
		}
		history = p.history()
		if content, verdict := deduplicator.Survey(current, history, slot, answers); verdict == deduplicator.Take {
			return content, verdict
		}
	}
}

// nextHolder returns the next earlier holder that was not asked yet.
func (p *transferPass) nextHolder(history []*deduplicator.SlotMap, slot int, asked map[deduplicator.Host]bool) (deduplicator.Host, bool) {
	for _, m := range history {
		for _, h := range p.sortByReachability(m.Holders(slot).List()) {
			if !asked[h] {
				return h, true
			}
		}
	}
	return deduplicator.Host{}, false
}

// history returns the slot maps before the current one, newest first.
func (p *transferPass) history() []*deduplicator.SlotMap {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maps
}

// addEarlierViews adds earlier views that another host knows, so that a host that
// joined later or missed a view has a history without gaps. The control state
// assigns each epoch to one view only, so views of the same epoch are equal.
func (p *transferPass) addEarlierViews(views []*wire.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range views {
		i, known := slices.BinarySearchFunc(p.views, v, func(a, b *wire.View) int {
			return cmp.Compare(b.GetEpoch(), a.GetEpoch())
		})
		if !known && i > 0 {
			p.views = slices.Insert(slices.Clone(p.views), i, v)
			p.maps = slices.Insert(slices.Clone(p.maps), i-1, slotMapOf(v))
		}
	}
}

// sortByReachability sorts the hosts in place in the order in which they are
// asked: this host, members of the current view, hosts that have left it.
func (p *transferPass) sortByReachability(hosts []deduplicator.Host) []deduplicator.Host {
	rank := func(h deduplicator.Host) int {
		switch {
		case h == p.r.self:
			return 0
		case p.placement.current.Has(h):
			return 1
		}
		return 2
	}
	slices.SortStableFunc(hosts, func(a, b deduplicator.Host) int {
		return rank(a) - rank(b)
	})
	return hosts
}

func (p *transferPass) fetch(ctx context.Context, from deduplicator.Host, slot int) (deduplicator.Content, bool) {
	epoch := p.placement.current.Epoch()
	if from == p.r.self {
		return p.r.table.Fetch(p.r.opts.Clock.Now(), epoch, slot)
	}
	if p.isUnreachable(from) {
		return deduplicator.Content{}, false
	}
	resp, err := callWithTimeout(ctx, p.r, transferTimeout, func(ctx context.Context) (*wire.FetchResponse, error) {
		return p.r.opts.Peers.Fetch(ctx, p.member(from), &wire.FetchRequest{
			Epoch: epoch,
			Slot:  uint32(slot),
		})
	})
	p.recordCallResult(from, err)
	if err != nil {
		return deduplicator.Content{}, false
	}
	switch resp.GetIncarnation() {
	case from.Incarnation:
	case "":
		p.setStale()
		return deduplicator.Content{}, false
	default:
		// The host was restarted: a new process answers, whose table is empty.
		return deduplicator.Content{}, false
	}
	entries, err := entriesFromWire(p.r.opts.Clock.Now(), resp.GetEntries())
	if err != nil {
		p.r.opts.Logger.Error("registry: fetched slot can't be decoded and is ignored", "slot", slot, "error", err)
		return deduplicator.Content{}, false
	}
	p.addEarlierViews(resp.GetViews())
	return deduplicator.Content{
		CompleteEpoch: resp.GetCompleteEpoch(),
		LostFor:       durationOf(resp.GetLostNanos()),
		Entries:       entries,
	}, true
}

// push sends the whole slot to its copy holder and reports whether the copy is
// stored. Without a copy holder there is nothing to do.
func (p *transferPass) push(ctx context.Context, slot int, content deduplicator.Content) bool {
	holders := p.placement.current.Holders(slot)
	if !holders.HasCopy() {
		return true
	}
	if p.isUnreachable(holders.Copy) {
		return false
	}
	entries, err := entriesToWire(p.r.opts.Clock.Now(), content.Entries)
	if err != nil {
		p.r.opts.Logger.Error("registry: slot can't be encoded, so it is not pushed to its copy holder", "slot", slot, "error", err)
		return false
	}
	resp, err := callWithTimeout(ctx, p.r, transferTimeout, func(ctx context.Context) (*wire.CopyResponse, error) {
		return p.r.opts.Peers.Copy(ctx, p.placement.member(holders.Copy), &wire.CopyRequest{
			Epoch:     p.placement.current.Epoch(),
			Slot:      uint32(slot),
			Entries:   entries,
			Whole:     true,
			LostNanos: int64(content.LostFor),
		})
	})
	p.recordCallResult(holders.Copy, err)
	return err == nil && resp.GetStored()
}

// member returns the member for the host from the newest view of the pass that
// contains it, or nil.
func (p *transferPass) member(h deduplicator.Host) *wire.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return findMember(p.views, h)
}

func (p *transferPass) setStale() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = true
}

func (p *transferPass) isStale() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stale
}

func (p *transferPass) isUnreachable(h deduplicator.Host) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.consecutiveFailures[h] >= maxConsecutiveFailures
}

// recordCallResult updates the failure count of the host after a call.
func (p *transferPass) recordCallResult(h deduplicator.Host, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.consecutiveFailures[h]++
	if err == nil {
		p.consecutiveFailures[h] = 0
	}
}
