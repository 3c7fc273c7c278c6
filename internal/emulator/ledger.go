// Package emulator provides emulated upstreams, workers and job workers of a
// fleet. The demo and the tests run them on loopback.
package emulator

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const ledgerShards = 64

// Ledger counts how often each operation was executed, summed over all upstreams.
// It is safe for concurrent use; the zero value is ready to use.
type Ledger struct {
	shards [ledgerShards]struct {
		mu sync.Mutex
		// Invariant: runs has an entry for every operation of the shard that was
		// started at least once.
		runs map[string]int
	}
}

// CountRun records that an operation was started.
func (l *Ledger) CountRun(operation string) {
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
