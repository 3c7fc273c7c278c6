// Package emulator has stand-ins for the upstreams and workers of a fleet. The
// demo and the tests use them on loopback.
package emulator

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const ledgerShards = 64

// Ledger counts how often each operation was run, whichever upstream ran it.
// It may be used from any number of goroutines; the zero value is empty.
type Ledger struct {
	shards [ledgerShards]struct {
		mu sync.Mutex
		// Invariant: holds every operation that was started at least once.
		runs map[string]int
	}
}

// Run records that an operation was started.
func (l *Ledger) Run(operation string) {
	s := &l.shards[xxhash.Sum64String(operation)%ledgerShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[operation]++
}

// Runs returns how often an operation was started.
func (l *Ledger) Runs(operation string) int {
	s := &l.shards[xxhash.Sum64String(operation)%ledgerShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[operation]
}
