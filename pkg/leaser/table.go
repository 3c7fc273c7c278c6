package leaser

import "time"

// Table holds the newest lease of each key. The zero value is an empty table.
// It must not be used by several goroutines at once.
type Table[K comparable] struct {
	leases map[K]Lease
	// Invariant: at least as high as every epoch granted so far. It is kept
	// for the whole table, so that forgetting a key can't lower its epochs.
	epoch uint64
}

// Grant gives the key to a holder for d. A holder whose lease still runs gets
// a new epoch, because its former process may be gone. It returns ErrHeld and
// the running lease while another holder's lease runs.
func (t *Table[K]) Grant(now time.Time, key K, holder string, d time.Duration) (Lease, error) {
	if old, ok := t.leases[key]; ok && old.Live(now) && old.Holder != holder {
		return old, ErrHeld
	}
	t.epoch++
	lease := Lease{
		Holder: holder,
		Epoch:  t.epoch,
		Until:  now.Add(d),
	}
	if t.leases == nil {
		t.leases = make(map[K]Lease)
	}
	t.leases[key] = lease
	return lease, nil
}

// Renew extends a live lease to d from now; it never shortens one.
func (t *Table[K]) Renew(now time.Time, key K, epoch uint64, d time.Duration) (Lease, error) {
	if !t.Check(now, key, epoch) {
		return Lease{}, ErrStale
	}
	lease := t.leases[key]
	if until := now.Add(d); until.After(lease.Until) {
		lease.Until = until
		t.leases[key] = lease
	}
	return lease, nil
}

// Release ends the lease of the given epoch; any other epoch is ignored.
func (t *Table[K]) Release(key K, epoch uint64) {
	if t.leases[key].Epoch == epoch {
		delete(t.leases, key)
	}
}

// Expire removes the leases that have ended and returns them by key.
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

// Check reports whether the epoch is that of the key's live lease.
func (t *Table[K]) Check(now time.Time, key K, epoch uint64) bool {
	lease, ok := t.leases[key]
	return ok && lease.Epoch == epoch && lease.Live(now)
}

// Get returns the newest lease of the key, which may have ended.
func (t *Table[K]) Get(key K) (Lease, bool) {
	lease, ok := t.leases[key]
	return lease, ok
}
