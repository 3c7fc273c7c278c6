package jobkeeper

import (
	"maps"
	"slices"
	"time"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// formerQueueRetention is how long a removed queue is kept that no open job has. A job that
// was accepted before the removal may be applied after it, and runs of ended jobs may go on.
const formerQueueRetention = time.Minute

// LatestQueues returns the queues of the configuration in force, and the removed ones that
// open jobs may have as the last configuration that had them named them, by name.
func (s *State) LatestQueues() map[string]*jobwire.Queue {
	queues := make(map[string]*jobwire.Queue, len(s.queues)+len(s.formerQueues))
	for name, f := range s.formerQueues {
		queues[name] = f.GetQueue()
	}
	maps.Copy(queues, s.queues)
	return queues
}

// keepRemovedQueues brings the former queues up to date with the configuration that has just
// been put in force, given the queues of the one before. It runs on all replicas with the
// time of the log entry.
func (s *State) keepRemovedQueues(now time.Time, previous map[string]*jobwire.Queue) {
	for name, q := range previous {
		if s.queues[name] == nil {
			s.formerQueues[name] = &jobwire.FormerQueue{
				Queue:              q,
				RemovedAtUnixNanos: now.UnixNano(),
			}
		}
	}
	if len(s.formerQueues) == 0 {
		return
	}
	used := make(map[string]bool)
	for _, j := range s.Jobs {
		if j.Open() {
			used[j.Spec.GetQueue()] = true
		}
	}
	maps.DeleteFunc(s.formerQueues, func(name string, f *jobwire.FormerQueue) bool {
		removedAt := time.Unix(0, f.GetRemovedAtUnixNanos())
		return s.queues[name] != nil || !used[name] && now.Sub(removedAt) > formerQueueRetention
	})
}

// encodeFormerQueues returns the former queues by name, which is the same order on all
// replicas.
func (s *State) encodeFormerQueues() []*jobwire.FormerQueue {
	var list []*jobwire.FormerQueue
	for _, name := range slices.Sorted(maps.Keys(s.formerQueues)) {
		list = append(list, s.formerQueues[name])
	}
	return list
}
