package controller

import "github.com/heathermux/heathermux/internal/wire"

// Amount is a quantity of worker capacity. The zero value is nothing.
type Amount struct {
	// MilliCores is processors in thousandths of a core.
	MilliCores int64
	// MemoryBytes is memory in bytes.
	MemoryBytes int64
	// Accelerators is a number of whole accelerators.
	Accelerators int64
}

// AmountOf converts a wire value; nil is nothing.
func AmountOf(r *wire.Resources) Amount {
	return Amount{
		MilliCores:   r.GetMilliCores(),
		MemoryBytes:  r.GetMemoryBytes(),
		Accelerators: r.GetAccelerators(),
	}
}

// Wire converts the amount to its wire value.
func (a Amount) Wire() *wire.Resources {
	return &wire.Resources{
		MilliCores:   a.MilliCores,
		MemoryBytes:  a.MemoryBytes,
		Accelerators: a.Accelerators,
	}
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount {
	return Amount{
		MilliCores:   a.MilliCores + b.MilliCores,
		MemoryBytes:  a.MemoryBytes + b.MemoryBytes,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

// Minus returns the difference of two amounts; parts may become negative.
func (a Amount) Minus(b Amount) Amount {
	return Amount{
		MilliCores:   a.MilliCores - b.MilliCores,
		MemoryBytes:  a.MemoryBytes - b.MemoryBytes,
		Accelerators: a.Accelerators - b.Accelerators,
	}
}

// FitsIn reports whether no part of a is larger than that of b.
func (a Amount) FitsIn(b Amount) bool {
	return a.MilliCores <= b.MilliCores && a.MemoryBytes <= b.MemoryBytes && a.Accelerators <= b.Accelerators
}

// Negative reports whether any part is below zero.
func (a Amount) Negative() bool {
	return a.MilliCores < 0 || a.MemoryBytes < 0 || a.Accelerators < 0
}
