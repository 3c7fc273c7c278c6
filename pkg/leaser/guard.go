package leaser

// Guard refuses orders of former lease holders on the side of the resource.
// The zero value has seen no epoch. It must not be used by several goroutines
// at once.
type Guard struct {
	// Invariant: never falls.
	highest uint64
}

// Admit reports whether an order of the given epoch may be carried out, and
// remembers the epoch. It refuses an epoch lower than the highest seen.
func (g *Guard) Admit(epoch uint64) bool {
	if epoch < g.highest {
		return false
	}
	g.highest = epoch
	return true
}

// Highest returns the highest epoch admitted so far.
func (g *Guard) Highest() uint64 { return g.highest }
