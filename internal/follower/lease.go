package follower

import "time"

const (
	// LeaseLength is the duration of the authority lease, counted from the
	// leader's last contact with a majority. It limits how long an entry host
	// that receives no changes may still accept a withdrawn key or use a zone
	// that was taken out of service.
	LeaseLength = 2 * time.Second

	// ClockDriftDivisor is the divisor that gives the assumed maximum difference
	// between the rates of two monotonic clocks: 1/100.
	ClockDriftDivisor = 100

	// InForceBound is the maximum time from the commit of a change until it is in
	// force on every entry host: the lease length plus the clock drift over it.
	InForceBound = LeaseLength + LeaseLength/ClockDriftDivisor
)
