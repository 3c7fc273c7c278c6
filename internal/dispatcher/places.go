package dispatcher

import (
	"sync"

	"github.com/heathermux/heathermux/internal/controller"
)

// placeCache keeps the host sizes of each pool and data centre for one
// revision, because the list of all hosts is too long to read for each task.
// The zero value is ready to use from any number of goroutines.
type placeCache struct {
	mu       sync.Mutex
	filled   bool
	revision uint64
	// Invariant: holds each distinct host capacity of revision once.
	sizes map[place][]controller.Amount
}

type place struct {
	pool, dataCentre string
}

// fits reports whether some host of the pool in the data centre is large enough.
func (c *placeCache) fits(s controller.State, at place, size controller.Amount) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.filled || c.revision != s.Revision() {
		c.fill(s)
	}
	for _, capacity := range c.sizes[at] {
		if size.FitsIn(capacity) {
			return true
		}
	}
	return false
}

func (c *placeCache) fill(s controller.State) {
	c.filled = true
	c.revision = s.Revision()
	c.sizes = make(map[place][]controller.Amount)
	seen := make(map[place]map[controller.Amount]bool)
	for _, h := range s.Hosts() {
		at := place{
			pool:       h.GetPool(),
			dataCentre: h.GetDataCentre(),
		}
		if seen[at] == nil {
			seen[at] = make(map[controller.Amount]bool)
		}
		if size := controller.AmountOf(h.GetCapacity()); !seen[at][size] {
			seen[at][size] = true
			c.sizes[at] = append(c.sizes[at], size)
		}
	}
}
