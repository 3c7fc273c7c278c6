package router

// Candidate is what a policy knows of an upstream.
type Candidate struct {
	// Slots is how many requests the upstream answers at once, lower during
	// its slow start.
	Slots int64
	// Outstanding is how many requests this entry host has under way to it.
	Outstanding int64
}

// Free is the number of free slots; it is negative when requests wait there.
func (c Candidate) Free() int64 { return c.Slots - c.Outstanding }

// Policy chooses between two upstreams.
type Policy interface {
	// Better reports whether a is the better choice; it must not allocate.
	Better(a, b Candidate) bool
}

// FreeSlots prefers the upstream with more free slots.
type FreeSlots struct{}

// Better reports whether a has more free slots than b.
func (FreeSlots) Better(a, b Candidate) bool { return a.Free() > b.Free() }

// LeastLoaded prefers the upstream with the lower part of its slots in use.
// It suits pools whose upstreams differ much in size.
type LeastLoaded struct{}

// Better reports whether a smaller part of a than of b is in use.
func (LeastLoaded) Better(a, b Candidate) bool {
	return a.Outstanding*b.Slots < b.Outstanding*a.Slots
}
