package leaser

import "time"

// Table holds the latest lease of each key. The zero value is an empty table. It
// must not be used by several goroutines at once.
type Table[K comparable] struct {
	leases map[K]Lease
	// Invariant: at least as high as every epoch granted so far. The counter is
	// common to all keys, so that removing a key can't lower its next epoch.
	lastEpoch uint64
}

// Grant gives the holder a lease on the key for d. A holder that has a live lease
// already gets a new epoch, because the request may come from a new process of
// it. While another holder has a live lease, Grant returns that lease and
// ErrHeld.
func (t *Table[K]) Grant(now time.Time, key K, holder string, d time.Duration) (Lease, error) {
	if running, ok := t.leases[key]; ok && running.Live(now) && running.Holder != holder {
		return running, ErrHeld
	}
	t.lastEpoch++
	lease := Lease{
		Holder: holder,
		Epoch:  t.lastEpoch,
		Until:  now.Add(d),
	}
	if t.leases == nil {
		t.leases = make(map[K]Lease)
	}
	t.leases[key] = lease
	return lease, nil
}

// Renew extends the live lease of the given epoch to d from now; it never
// shortens a lease. If the epoch is not that of a live lease, it returns ErrStale.
func (t *Table[K]) Renew(now time.Time, key K, epoch uint64, d time.Duration) (Lease, error) {
	if !t.IsLive(now, key, epoch) {
		return Lease{}, ErrStale
	}
	lease := t.leases[key]
	if until := now.Add(d); until.After(lease.Until) {
		lease.Until = until
		t.leases[key] = lease
	}
	return lease, nil
}

// Release removes the key's lease if it has the given epoch.
func (t *Table[K]) Release(key K, epoch uint64) {
	if t.leases[key].Epoch == epoch {
		delete(t.leases, key)
	}
}

// Expire removes the expired leases and returns them by key.
func (t *Table[K]) Expire(now time.Time) map[K]Lease {
	ended := make(map[K]Lease)
	for key, lease := range t.leases {
		if !lease.Live(now) {
			ended[key] = lease
			delete(t.leases, key)
		}
	}
	return ended
}

// IsLive reports whether the key has a live lease of the given epoch.
func (t *Table[K]) IsLive(now time.Time, key K, epoch uint64) bool {
	lease, ok := t.leases[key]
	return ok && lease.Epoch == epoch && lease.Live(now)
}

// Get returns the latest lease of the key, which may have expired.
func (t *Table[K]) Get(key K) (Lease, bool) {
	lease, ok := t.leases[key]
	return lease, ok
}
