package follower

import "time"

const (
	// LeaseLength is the authority lease, counted from the leader's last
	// contact with a majority. It bounds how long a withdrawn key or a zone
	// taken out may still be used by an entry host that hears nothing.
	LeaseLength = 2 * time.Second

	// ClockDrift is the assumed bound on the relative difference between the
	// rates of two monotonic clocks, as a divisor: 1/100.
	ClockDrift = 100

	// ForceBound is the longest time from the commit of a change until it is
	// in force on every entry host.
	ForceBound = LeaseLength + LeaseLength/ClockDrift
)
