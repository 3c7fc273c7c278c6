package router

// Candidate is the load of an upstream, by which a policy compares it.
type Candidate struct {
	// Slots is the number of requests that the upstream serves concurrently. It is
	// reduced during slow start.
	Slots int64
	// Outstanding is the number of requests from this entry host in flight to the
	// upstream.
	Outstanding int64
}

// Free returns the number of free slots. It is negative when requests are queued
// at the upstream.
func (c Candidate) Free() int64 { return c.Slots - c.Outstanding }

// Policy compares two upstreams for load balancing.
type Policy interface {
	// Better reports whether a is the better choice. It is called for every
	// request and must not allocate.
	Better(a, b Candidate) bool
}

// FreeSlots is the Policy that prefers the upstream with more free slots.
type FreeSlots struct{}

// Better reports whether a has more free slots than b.
func (FreeSlots) Better(a, b Candidate) bool { return a.Free() > b.Free() }

// LeastLoaded is the Policy that prefers the upstream with the smaller fraction of
// its slots in use. It suits pools whose upstreams differ much in size.
type LeastLoaded struct{}

// Better reports whether a has a smaller fraction of its slots in use than b.
func (LeastLoaded) Better(a, b Candidate) bool {
	return a.Outstanding*b.Slots < b.Outstanding*a.Slots
}
