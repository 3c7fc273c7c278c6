package demonstrator

import (
	"time"

	"github.com/heathermux/heathermux/internal/emulator"
	"github.com/heathermux/heathermux/internal/loader"
	"github.com/heathermux/heathermux/pkg/timer"
)

// taskTime is the mean run time of a task in the demo.
const taskTime = 300 * time.Millisecond

// startWorkers starts a worker for each host of the deployment.
func startWorkers(d loader.Deployment, f *fleet, starts *emulator.Starts) []*emulator.Worker {
	var list []*emulator.Worker
	for _, h := range d.Snapshot().GetHosts() {
		list = append(list, emulator.NewWorker(emulator.WorkerOptions{
			Name:       h.GetName(),
			DataCentre: h.GetDataCentre(),
			Rack:       h.GetRack(),
			Capacity:   h.GetCapacity(),
			RunTime:    taskTime,
			EntryHosts: f.urls(h.GetDataCentre()),
			Starts:     starts,
			Clock:      timer.System(),
			Seed:       uint64(len(list)),
		}))
	}
	return list
}
