package dispatcher

import (
	"sync"

	"github.com/heathermux/heathermux/internal/controller"
)

// hostSizeCache caches the distinct host capacities of each pool and data centre
// for one revision of the control state, because the list of all hosts is too
// long to scan for each task. The zero value is ready to use and safe for
// concurrent use.
type hostSizeCache struct {
	mu       sync.Mutex
	filled   bool
	revision uint64
	// sizes holds each distinct host capacity at revision once.
	sizes map[poolLocation][]controller.Amount
}

type poolLocation struct {
	pool, dataCentre string
}

// fits reports whether some host of the pool in the data centre is large enough.
func (c *hostSizeCache) fits(s controller.State, at poolLocation, size controller.Amount) bool {
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

func (c *hostSizeCache) fill(s controller.State) {
	c.filled = true
	c.revision = s.Revision()
	c.sizes = make(map[poolLocation][]controller.Amount)
	seen := make(map[poolLocation]map[controller.Amount]bool)
	for _, h := range s.Hosts() {
		at := poolLocation{
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
