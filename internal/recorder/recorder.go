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
	// members are the hosts of all these maps.
	members map[deduplicator.Host]*wire.Member
	// passes counts the transfer passes under this view.
	passes atomic.Int64
}

// New returns a recorder that refuses every key until SetView is called.
func New(opts Options) *Recorder {
	opts = opts.withDefaults()
	r := &Recorder{
		opts: opts,
		self: hostOf(opts.Self),
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
// change. A view whose epoch is not higher than the last one is ignored. A
// previous view without members means that the present one is the first.
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
	r.signal()
}

// with returns the placement after a view change.
func (p *placement) with(view, previous *wire.View) *placement {
	next := &placement{
		present: mapOf(view),
		members: make(map[deduplicator.Host]*wire.Member),
	}
	if !p.present.Empty() {
		next.history = append(next.history, p.present)
		next.history = append(next.history, p.history...)
	}
	if p.present.Epoch()+1 != view.GetEpoch() || p.present.Empty() {
		before := mapOf(previous)
		if before.Empty() {
			before = deduplicator.NewSlotMap(view.GetEpoch()-1, nil)
		}
		next.history = append([]*deduplicator.SlotMap{before}, next.history...)
	}
	next.history = next.history[:min(len(next.history), historyLength)]
	for host, m := range p.members {
		next.members[host] = m
	}
	for _, v := range []*wire.View{previous, view} {
		for _, m := range v.GetMembers() {
			next.members[hostOf(m)] = m
		}
	}
	next.dropMembers()
	return next
}

// dropMembers removes the members that no map of the placement lists.
func (p *placement) dropMembers() {
	for host := range p.members {
		listed := p.present.Has(host)
		for _, m := range p.history {
			listed = listed || m.Has(host)
		}
		if !listed {
			delete(p.members, host)
		}
	}
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

// Close waits for the abandon messages in progress. End Run first.
func (r *Recorder) Close() {
	r.notices.StopAndWait()
}

func (r *Recorder) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
