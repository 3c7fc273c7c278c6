// Package pausedetector notices that the process has stood still: frozen, suspended or without
// a processor. What the process reads after that may have been sent long before.
package pausedetector

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/heathermux/heathermux/pkg/timer"
)

const (
	// checkInterval is the time between two looks at the clock.
	checkInterval = 100 * time.Millisecond
	// minPause is the shortest time between two looks that counts as a pause. It is well
	// below the second after which callers give a call up.
	minPause = 400 * time.Millisecond
)

// Detector notices pauses of the process. It is safe for concurrent use; create one with New
// and keep it looking at the clock with Run.
type Detector struct {
	clock  timer.Clock
	logger *slog.Logger

	mu sync.Mutex
	// lookedAt is when the clock was last looked at.
	lookedAt time.Time
	// resumedAt is when the last pause was noticed; zero while there was none.
	resumedAt time.Time
}

// New returns a detector. The clock must include time spent suspended.
func New(clock timer.Clock, logger *slog.Logger) *Detector {
	return &Detector{
		clock:    clock,
		logger:   logger,
		lookedAt: clock.Now(),
	}
}

// Run looks at the clock at intervals until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		t := d.clock.NewTimer(checkInterval)
		select {
		case <-t.C():
		case <-ctx.Done():
		}
		t.Stop()
		d.look()
	}
}

// PausedWithin reports whether the process has stood still until less than the given time ago.
// It also notices a pause that has just ended.
func (d *Detector) PausedWithin(age time.Duration) bool {
	now, resumedAt := d.look()
	return !resumedAt.IsZero() && now.Sub(resumedAt) < age
}

// look looks at the clock, and returns what it shows and when the last pause was noticed.
func (d *Detector) look() (now, resumedAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now = d.clock.Now()
	if pause := now.Sub(d.lookedAt); pause >= minPause {
		d.logger.Info("process has stood still; orders that it reads now may be old", "for", pause)
		d.resumedAt = now
	}
	d.lookedAt = now
	return now, d.resumedAt
}
