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

// Transfer makes one pass over the slots that this host owns and that accept no
// Begin yet: it fetches each from an earlier holder, pushes it to the copy
// holder and opens it. It returns the number of slots that remain. Run repeats
// it; tests may call it themselves.
func (r *Recorder) Transfer(ctx context.Context) int {
	placement := r.placement.Load()
	pass := &pass{
		r:         r,
		placement: placement,
		number:    placement.passes.Add(1),
		failed:    make(map[deduplicator.Host]int),
		views:     placement.views,
		maps:      placement.history,
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
			r.opts.Logger.Error("registry: transfer not started", "slot", slot, "error", err)
		}
	}
	pool.StopAndWait()
	left := len(r.table.Pending())
	epoch := placement.present.Epoch()
	if left > 0 {
		r.opts.Logger.Info("registry: slots are not transferred yet", "slots", left, "epoch", epoch)
	} else {
		r.opts.Logger.Info("registry: all slots are transferred", "slots", len(pending), "epoch", epoch)
	}
	return left
}

// pass is one pass over the pending slots. It leaves out a host that has not
// answered maxFailures calls in a row, so that a frozen host costs a few
// timeouts and not one for each slot.
type pass struct {
	r         *Recorder
	placement *placement
	number    int64

	mu sync.Mutex
	// stale is true when a host has seen a later view. No slot counts as lost
	// then, because hosts that refuse to answer may still hold it.
	stale bool
	// failed counts the calls in a row that a host did not answer.
	failed map[deduplicator.Host]int
	// views are those of the placement and earlier ones that other hosts know,
	// newest first.
	views []*wire.View
	// maps are those of the views but the present one.
	maps []*deduplicator.SlotMap
}

func (p *pass) transfer(ctx context.Context, slot int) {
	epoch := p.placement.present.Epoch()
	var taken deduplicator.Content
	lost := false
	if !p.r.table.Installed(epoch, slot) {
		var verdict deduplicator.Verdict
		taken, verdict = p.survey(ctx, slot)
		lost = verdict == deduplicator.Lost
		if verdict == deduplicator.Wait || (lost && (p.number < lostPasses || p.isStale())) {
			return
		}
	}
	content, ok := p.r.table.Install(p.r.opts.Clock.Now(), epoch, slot, taken, lost)
	if !ok {
		return
	}
	if lost {
		p.r.opts.Logger.Warn("registry: both holders of a slot were lost, its keys are unknown for the retention time", "slot", slot, "epoch", epoch)
	}
	if p.push(ctx, slot, content) {
		p.r.table.Open(epoch, slot)
	}
}

// survey asks the earlier holders of a slot, from the newest view to older
// ones, until their answers decide.
func (p *pass) survey(ctx context.Context, slot int) (deduplicator.Content, deduplicator.Verdict) {
	present := p.placement.present
	answers := make(map[deduplicator.Host]deduplicator.Content)
	asked := make(map[deduplicator.Host]bool)
	history := p.history()
	for {
		h, ok := p.next(history, slot, asked)
		if !ok {
			return deduplicator.Survey(present, history, slot, answers)
		}
		asked[h] = true
		if content, ok := p.fetch(ctx, h, slot); ok {
			answers[h] = content
		}
		history = p.history()
		if content, verdict := deduplicator.Survey(present, history, slot, answers); verdict == deduplicator.Take {
			return content, verdict
		}
	}
}

// next returns the holder to ask after those that were asked.
func (p *pass) next(history []*deduplicator.SlotMap, slot int, asked map[deduplicator.Host]bool) (deduplicator.Host, bool) {
	for _, m := range history {
		for _, h := range p.order(m.Holders(slot).List()) {
			if !asked[h] {
				return h, true
			}
		}
	}
	return deduplicator.Host{}, false
}

// history returns the maps before the present one.
func (p *pass) history() []*deduplicator.SlotMap {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.maps
}

// learn adds earlier views that another host knows, so that a host that joined
// or skipped a view has a history without gaps. The control state gives an
// epoch to one view only, so that views of one epoch are equal.
func (p *pass) learn(views []*wire.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range views {
		i, known := slices.BinarySearchFunc(p.views, v, func(a, b *wire.View) int {
			return cmp.Compare(b.GetEpoch(), a.GetEpoch())
		})
		if !known && i > 0 {
			p.views = slices.Insert(slices.Clone(p.views), i, v)
			p.maps = slices.Insert(slices.Clone(p.maps), i-1, mapOf(v))
		}
	}
}

// order returns the hosts in the order of asking: this host, then those in the
// view, then those that have left it.
func (p *pass) order(hosts []deduplicator.Host) []deduplicator.Host {
	cost := func(h deduplicator.Host) int {
		switch {
		case h == p.r.self:
			return 0
		case p.placement.present.Has(h):
			return 1
		}
		return 2
	}
	slices.SortStableFunc(hosts, func(a, b deduplicator.Host) int {
		return cost(a) - cost(b)
	})
	return hosts
}

func (p *pass) fetch(ctx context.Context, from deduplicator.Host, slot int) (deduplicator.Content, bool) {
	epoch := p.placement.present.Epoch()
	if from == p.r.self {
		return p.r.table.Fetch(p.r.opts.Clock.Now(), epoch, slot)
	}
	if p.hasFailed(from) {
		return deduplicator.Content{}, false
	}
	resp, err := bounded(ctx, p.r, transferTimeout, func(ctx context.Context) (*wire.FetchResponse, error) {
		return p.r.opts.Peers.Fetch(ctx, p.member(from), &wire.FetchRequest{
			Epoch: epoch,
			Slot:  uint32(slot),
		})
	})
	p.record(from, err)
	if err != nil {
		return deduplicator.Content{}, false
	}
	switch resp.GetIncarnation() {
	case from.Incarnation:
	case "":
		p.setStale()
		return deduplicator.Content{}, false
	default:
		// A restarted process answers at the address; its table is empty.
		return deduplicator.Content{}, false
	}
	entries, err := entriesFromWire(p.r.opts.Clock.Now(), resp.GetEntries())
	if err != nil {
		p.r.opts.Logger.Error("registry: fetched slot can't be decoded", "slot", slot, "error", err)
		return deduplicator.Content{}, false
	}
	p.learn(resp.GetViews())
	return deduplicator.Content{
		Complete: resp.GetCompleteEpoch(),
		Lost:     durationOf(resp.GetLostNanos()),
		Entries:  entries,
	}, true
}

// push sends the whole slot to its copy holder and reports whether it is stored.
func (p *pass) push(ctx context.Context, slot int, content deduplicator.Content) bool {
	to := p.placement.present.Holders(slot)
	if !to.HasCopy() {
		return true
	}
	if p.hasFailed(to.Copy) {
		return false
	}
	entries, err := entriesToWire(p.r.opts.Clock.Now(), content.Entries)
	if err != nil {
		p.r.opts.Logger.Error("registry: slot can't be encoded", "slot", slot, "error", err)
		return false
	}
	resp, err := bounded(ctx, p.r, transferTimeout, func(ctx context.Context) (*wire.CopyResponse, error) {
		return p.r.opts.Peers.Copy(ctx, p.placement.member(to.Copy), &wire.CopyRequest{
			Epoch:     p.placement.present.Epoch(),
			Slot:      uint32(slot),
			Entries:   entries,
			Whole:     true,
			LostNanos: int64(content.Lost),
		})
	})
	p.record(to.Copy, err)
	return err == nil && resp.GetStored()
}

// member returns the member that is the host in any view of the pass.
func (p *pass) member(h deduplicator.Host) *wire.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return memberOf(p.views, h)
}

func (p *pass) setStale() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = true
}

func (p *pass) isStale() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stale
}

func (p *pass) hasFailed(h deduplicator.Host) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failed[h] >= maxFailures
}

// record counts the result of a call to the host.
func (p *pass) record(h deduplicator.Host, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed[h]++
	if err == nil {
		p.failed[h] = 0
	}
}
