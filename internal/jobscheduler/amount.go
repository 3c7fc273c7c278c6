package jobscheduler

import "github.com/heathermux/heathermux/internal/wire"

// amount is an amount of worker capacity.
type amount struct {
	milliCores   int64
	memory       int64
	accelerators int64
}

func amountOf(r *wire.Resources) amount {
	return amount{
		milliCores:   r.GetMilliCores(),
		memory:       r.GetMemoryBytes(),
		accelerators: r.GetAccelerators(),
	}
}

func (a amount) plus(b amount) amount {
	return amount{
		milliCores:   a.milliCores + b.milliCores,
		memory:       a.memory + b.memory,
		accelerators: a.accelerators + b.accelerators,
	}
}

func (a amount) minus(b amount) amount {
	return amount{
		milliCores:   a.milliCores - b.milliCores,
		memory:       a.memory - b.memory,
		accelerators: a.accelerators - b.accelerators,
	}
}

// within reports whether a is no more than b in each kind.
func (a amount) within(b amount) bool {
	return a.milliCores <= b.milliCores && a.memory <= b.memory && a.accelerators <= b.accelerators
}

// under reports whether a is no more than the limits of b; 0 is no limit.
func (a amount) under(b amount) bool {
	return (b.milliCores == 0 || a.milliCores <= b.milliCores) &&
		(b.memory == 0 || a.memory <= b.memory) &&
		(b.accelerators == 0 || a.accelerators <= b.accelerators)
}
