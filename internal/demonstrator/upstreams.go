package demonstrator

import (
	"fmt"
	"time"

	"github.com/heathermux/heathermux/internal/emulator"
	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// upstreamsPerQueue, upstreamSlots and serviceTime are those of the users today.
	upstreamsPerQueue = 10
	upstreamSlots     = 8
	serviceTime       = 5 * time.Millisecond
)

// startUpstreams starts the upstreams of every queue of requests, spread over
// the data centres in turn.
func startUpstreams(d loader.Deployment, f *fleet, ledger *emulator.Ledger) ([]*emulator.Upstream, error) {
	var list []*emulator.Upstream
	for _, q := range d.Queues {
		if q.Kind != "requests" {
			continue
		}
		for i := range upstreamsPerQueue {
			dataCentre := d.DataCentres[i%len(d.DataCentres)].Name
			u, err := emulator.NewUpstream(emulator.UpstreamOptions{
				ID:         fmt.Sprintf("u-%s-%d", q.Name, i+1),
				Queue:      q.Name,
				DataCentre: dataCentre,
				Rack:       fmt.Sprintf("%s-r%d", dataCentre, i/4+1),
				Slots:      upstreamSlots,
				Service:    serviceTime,
				EntryHosts: f.urls(dataCentre),
				Ledger:     ledger,
				Clock:      timer.System(),
				Seed:       uint64(len(list)),
			})
			if err != nil {
				return list, err
			}
			list = append(list, u)
		}
	}
	return list, nil
}
