package scheduler

import (
	"container/heap"

	"github.com/heathermux/heathermux/internal/controller"
)

// account is one team in this data centre.
type account struct {
	team string
	// Invariant: the sum of cost over the team's running tasks.
	charged controller.Amount
	// Invariant: the sum of usage over the team's running tasks.
	usage controller.Amount
	// Invariant: the number of the team's queued tasks, and the sum of their
	// estimated sizes by pool.
	queued  int
	waiting map[string]controller.Amount
	classes map[class]*classQueue

	// Values of one pass.
	limit controller.Amount
	key   float64
}

func (s *Scheduler) accountOf(team string) *account {
	a := s.accounts[team]
	if a == nil {
		a = &account{
			team:    team,
			waiting: make(map[string]controller.Amount),
			classes: make(map[class]*classQueue),
		}
		s.accounts[team] = a
	}
	return a
}

// dominantShare is the largest part of any resource that the use takes.
func dominantShare(use, total controller.Amount) float64 {
	return max(part(use.MilliCores, total.MilliCores),
		part(use.MemoryBytes, total.MemoryBytes),
		part(use.Accelerators, total.Accelerators))
}

func part(use, total int64) float64 {
	if total <= 0 {
		return 0
	}
	return float64(use) / float64(total)
}

// accountHeap has the account with the lowest weighted dominant share on top.
type accountHeap []*account

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].key != h[j].key {
		return h[i].key < h[j].key
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

// dropTop removes the account on top.
func (h *accountHeap) dropTop() { heap.Pop(h) }
