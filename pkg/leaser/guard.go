package leaser

// Guard protects a resource from requests of former lease holders by rejecting
// outdated epochs. The zero value has admitted no epoch. It must not be used by
// several goroutines at once.
type Guard struct {
	// Invariant: never decreases.
	highestEpoch uint64
}

// Admit reports whether a request with the given epoch may be carried out. It
// rejects an epoch that is lower than the highest one admitted so far, and
// records any other.
func (g *Guard) Admit(epoch uint64) bool {
	if epoch < g.highestEpoch {
		return false
	}
	g.highestEpoch = epoch
	return true
}

// HighestEpoch returns the highest epoch admitted so far, or 0 if there is none.
func (g *Guard) HighestEpoch() uint64 { return g.highestEpoch }
