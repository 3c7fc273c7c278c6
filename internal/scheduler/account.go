package scheduler

import (
	"container/heap"

	"github.com/heathermux/heathermux/internal/controller"
)

// account tracks the queued and running tasks of one team in this data centre.
type account struct {
	team string
	// Invariant: the sum of cost() over the team's running tasks.
	charged controller.Amount
	// Invariant: the sum of usage() over the team's running tasks.
	usage controller.Amount
	// Invariant: the number of the team's queued tasks, and the sum of their
	// grants (the estimated sizes) by pool.
	queuedTasks      int
	queuedSizeByPool map[string]controller.Amount
	classes          map[taskClass]*classQueue

	// Recomputed in each pass: the amount the team may run here, and its
	// dominant share divided by its weight.
	limit         controller.Amount
	weightedShare float64
}

// accountOf returns the account of the team and creates it if there is none.
func (s *Scheduler) accountOf(team string) *account {
	a := s.accounts[team]
	if a == nil {
		a = &account{
			team:             team,
			queuedSizeByPool: make(map[string]controller.Amount),
			classes:          make(map[taskClass]*classQueue),
		}
		s.accounts[team] = a
	}
	return a
}

// dominantShare returns the largest fraction of any one resource that is in use.
func dominantShare(use, total controller.Amount) float64 {
	return max(fraction(use.MilliCores, total.MilliCores),
		fraction(use.MemoryBytes, total.MemoryBytes),
		fraction(use.Accelerators, total.Accelerators))
}

func fraction(use, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(use) / float64(total)
}

// accountHeap is a min-heap by weighted dominant share; ties go by team name.
type accountHeap []*account

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].weightedShare != h[j].weightedShare {
		return h[i].weightedShare < h[j].weightedShare
	}
	return h[i].team < h[j].team
}

func (h accountHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *accountHeap) Push(x any) { *h = append(*h, x.(*account)) }

// Pop implements heap.Interface.
func (h *accountHeap) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	*h = (*h)[:last]
	return a
}

// popTop removes the account with the lowest share.
func (h *accountHeap) popTop() { heap.Pop(h) }
