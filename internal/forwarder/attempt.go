package forwarder

import "sync"

// attempt decides whether a request was sent. The writing side calls start
// before its first write, the waiting side calls seal when it gives up. Only
// one of them wins, so that a sealed attempt never writes a byte later, from
// the transport's own goroutine.
type attempt struct {
	gate func() error
	// cancel stops the transport after a refusal; it would otherwise try, and
	// close, one pooled connection after the other.
	cancel func()

	mu sync.Mutex
	// Invariant: never both started and sealed, except that a first write
	// that wrote nothing takes started back.
	started bool
	sealed  bool
	// Invariant: set once, by a refusal that happened before the first byte.
	refusal error
}

// start reports whether the first byte may be written now.
func (a *attempt) start() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sealed {
		return errSealed
	}
	if a.refusal != nil {
		return a.refusal
	}
	if a.gate != nil {
		if err := a.gate(); err != nil {
			a.refusal = err
			a.cancel()
			return err
		}
	}
	a.started = true
	return nil
}

// unstart records that the first write failed without writing a byte.
func (a *attempt) unstart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.started = false
}

// seal prevents any later write and reports whether a byte may have been written.
func (a *attempt) seal() (sent bool, refusal error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.started {
		a.sealed = true
	}
	return a.started, a.refusal
}
