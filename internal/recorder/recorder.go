package recorder

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/alitto/pond/v2"

	"github.com/heathermux/heathermux/internal/wire"
	"github.com/heathermux/heathermux/pkg/deduplicator"
)

// Recorder is the registry on one entry host. All methods may be called from
// any number of goroutines. The zero value is not usable, make one with New and
// end it with Close.
type Recorder struct {
	opts  Options
	self  deduplicator.Host
	table *deduplicator.Table
	// notices sends abandon messages in the background.
	notices pond.Pool
	// closing ends when Close is called.
	closing context.Context
	close   context.CancelFunc
	// wake tells Run that slots are pending.
	wake chan struct{}

	// mu orders changes of the view.
	mu sync.Mutex
	// placement is the present placement; never nil.
	placement atomic.Pointer[placement]
}

// placement is a view with its history. It is immutable but for its counter.
type placement struct {
	present *deduplicator.SlotMap
	// history holds the earlier maps, newest first.
	history []*deduplicator.SlotMap
	// views are the views of the present map and of the history, newest first.
	views []*wire.View
	// passes counts the transfer passes under this view.
	passes atomic.Int64
}

// New returns a recorder that refuses every key until SetView is called.
func New(opts Options) *Recorder {
	opts = opts.withDefaults()
	closing, cancel := context.WithCancel(context.Background())
	r := &Recorder{
		closing: closing,
		close:   cancel,
		opts:    opts,
		self:    hostOf(opts.Self),
		table: deduplicator.New(deduplicator.Options{
			Self:       hostOf(opts.Self),
			Retention:  opts.Retention,
			GrantBound: opts.GrantBound,
			MemoryCap:  opts.MemoryCap,
		}),
		notices: pond.NewPool(opts.Workers, pond.WithQueueSize(noticeQueue), pond.WithNonBlocking(true)),
		wake:    make(chan struct{}, 1),
	}
	if r.opts.Background == nil {
		r.opts.Background = r.inBackground
	}
	r.placement.Store(&placement{
		present: deduplicator.NewSlotMap(0, nil),
	})
	return r
}

// SetView tells the recorder of the present view and the one before it, at each
// change. A view whose epoch is not higher than the last one is ignored. Epoch 1
// is the first view; under any other one a missing previous view counts as lost,
// because it may have had grants.
func (r *Recorder) SetView(view, previous *wire.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.placement.Load()
	if view.GetEpoch() <= old.present.Epoch() {
		return
	}
	next := old.with(view, previous)
	r.table.SetView(next.present, old.present)
	r.placement.Store(next)
	r.logView(view)
	r.signal()
}

func (r *Recorder) logView(view *wire.View) {
	epoch, hosts := view.GetEpoch(), len(view.GetMembers())
	switch {
	case !r.placement.Load().present.Has(r.self):
		r.opts.Logger.Warn("registry: this process is not in the view", "epoch", epoch)
	case hosts == 1:
		r.opts.Logger.Warn("registry: the view has a single entry host, intents have no copy", "epoch", epoch)
	default:
		r.opts.Logger.Info("registry: view changed", "epoch", epoch, "hosts", hosts, "pending-slots", len(r.table.Pending()))
	}
}

// with returns the placement after a view change.
func (p *placement) with(view, previous *wire.View) *placement {
	views := append([]*wire.View{view}, p.views...)
	if p.present.Epoch()+1 != view.GetEpoch() || len(p.views) == 0 {
		views = append([]*wire.View{view, previous}, p.views...)
	}
	views = views[:min(len(views), historyLength)]
	return &placement{
		present: mapOf(view),
		history: mapsOf(views[1:]),
		views:   views,
	}
}

func mapsOf(views []*wire.View) []*deduplicator.SlotMap {
	maps := make([]*deduplicator.SlotMap, 0, len(views))
	for _, v := range views {
		maps = append(maps, mapOf(v))
	}
	return maps
}

// member returns the member of the present view that is the host.
func (p *placement) member(h deduplicator.Host) *wire.Member {
	return memberOf(p.views[:1], h)
}

func memberOf(views []*wire.View, h deduplicator.Host) *wire.Member {
	for _, v := range views {
		for _, m := range v.GetMembers() {
			if hostOf(m) == h {
				return m
			}
		}
	}
	return nil
}

// Run transfers slots after view changes and removes old entries until ctx ends.
func (r *Recorder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if r.Transfer(ctx) == 0 {
			r.table.Sweep(r.opts.Clock.Now())
			r.await(ctx, sweepPause)
			continue
		}
		r.pause(ctx, transferPause)
	}
}

// Stats returns the counts of the table.
func (r *Recorder) Stats() deduplicator.Stats {
	return r.table.Stats()
}

// Close gives up the abandon messages that are not sent yet and returns when
// the worker pool has ended. End Run first.
func (r *Recorder) Close() {
	r.close()
	r.notices.StopAndWait()
}

func (r *Recorder) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
