package recorder

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/alitto/pond/v2"

	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/deduplicator"
)

// Recorder is the at-most-once registry of one entry host. It is safe for
// concurrent use. The zero value is not usable: create a Recorder with New and
// release it with Close.
type Recorder struct {
	opts  Options
	self  deduplicator.Host
	table *deduplicator.Table
	// abandonPool sends abandon messages in the background.
	abandonPool pond.Pool
	// closeCtx is cancelled by Close.
	closeCtx context.Context
	close    context.CancelFunc
	// wake tells Run that slots are waiting to be transferred.
	wake chan struct{}

	// mu serializes view changes.
	mu sync.Mutex
	// placement belongs to the current view; never nil.
	placement atomic.Pointer[placement]
}

// placement maps slots to hosts under the current view and under earlier ones.
// It is immutable except for the pass counter.
type placement struct {
	current *deduplicator.SlotMap
	// history holds the earlier maps, newest first.
	history []*deduplicator.SlotMap
	// views are the views that current and history were made from, newest first.
	views []*wire.View
	// passes counts the transfer passes made under this view.
	passes atomic.Int64
}

// New returns a recorder that refuses every Begin until SetView is called.
func New(opts Options) *Recorder {
	opts = opts.withDefaults()
	closing, cancel := context.WithCancel(context.Background())
	r := &Recorder{
		closeCtx: closing,
		close:    cancel,
		opts:     opts,
		self:     hostOf(opts.Self),
		table: deduplicator.New(deduplicator.Options{
			Self:       hostOf(opts.Self),
			Retention:  opts.Retention,
			GrantBound: opts.GrantBound,
			MemoryCap:  opts.MemoryCap,
		}),
		abandonPool: pond.NewPool(opts.Workers, pond.WithQueueSize(abandonQueueSize), pond.WithNonBlocking(true)),
		wake:        make(chan struct{}, 1),
	}
	if r.opts.RunAsync == nil {
		r.opts.RunAsync = r.queueAbandon
	}
	r.placement.Store(&placement{
		current: deduplicator.NewSlotMap(0, nil),
	})
	return r
}

// SetView installs the current view together with the one before it. Call it on
// each view change. A view whose epoch is not higher than the last one is
// ignored. Epoch 1 is the first view; for a later epoch, a missing previous view
// counts as lost, because attempts may have been granted under it.
func (r *Recorder) SetView(view, previous *wire.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.placement.Load()
	if view.GetEpoch() <= old.current.Epoch() {
		return
	}
	next := old.withView(view, previous)
	r.table.SetView(next.current, old.current)
	r.placement.Store(next)
	r.logView(view)
	r.notifyPending()
}

func (r *Recorder) logView(view *wire.View) {
	epoch, hosts := view.GetEpoch(), len(view.GetMembers())
	switch {
	case !r.placement.Load().current.Has(r.self):
		r.opts.Logger.Warn("registry: this process is not a member of the view", "epoch", epoch)
	case hosts == 1:
		r.opts.Logger.Warn("registry: the view has a single entry host; intents are granted without a copy", "epoch", epoch)
	default:
		r.opts.Logger.Info("registry: view changed", "epoch", epoch, "hosts", hosts, "pending-slots", len(r.table.Pending()))
	}
}

// withView returns the placement for a new view, with p as its history.
func (p *placement) withView(view, previous *wire.View) *placement {
	views := append([]*wire.View{view}, p.views...)
	if p.current.Epoch()+1 != view.GetEpoch() || len(p.views) == 0 {
		views = append([]*wire.View{view, previous}, p.views...)
	}
	views = views[:min(len(views), maxKeptViews)]
	return &placement{
		current: slotMapOf(view),
		history: slotMapsOf(views[1:]),
		views:   views,
	}
}

func slotMapsOf(views []*wire.View) []*deduplicator.SlotMap {
	maps := make([]*deduplicator.SlotMap, 0, len(views))
	for _, v := range views {
		maps = append(maps, slotMapOf(v))
	}
	return maps
}

// member returns the member of the current view for the host, or nil.
func (p *placement) member(h deduplicator.Host) *wire.Member {
	return findMember(p.views[:1], h)
}

// findMember returns the member for the host from the newest of the views that
// contains it, or nil.
func findMember(views []*wire.View, h deduplicator.Host) *wire.Member {
	for _, v := range views {
		for _, m := range v.GetMembers() {
			if hostOf(m) == h {
				return m
			}
		}
	}
	return nil
}

// Run transfers slots after view changes and removes expired entries until ctx
// ends.
func (r *Recorder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.Transfer(ctx) == 0 {
			r.table.Sweep(r.opts.Clock.Now())
			r.waitForPending(ctx, sweepInterval)
			continue
		}
		r.sleep(ctx, transferRetryInterval)
	}
}

// Stats returns statistics of the entry table.
func (r *Recorder) Stats() deduplicator.Stats {
	return r.table.Stats()
}

// Close cancels abandon messages that are still being sent and waits for the
// worker pool to stop. Run must have returned before.
func (r *Recorder) Close() {
	r.close()
	r.abandonPool.StopAndWait()
}

// notifyPending wakes Run. It does not block, and several calls may wake Run
// only once.
func (r *Recorder) notifyPending() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
