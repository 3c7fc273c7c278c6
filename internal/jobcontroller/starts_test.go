package jobcontroller_test

import (
	"testing"
	"time"

	"github.com/heathermux/heathermux/internal/jobkeeper"
	"github.com/heathermux/heathermux/internal/jobwire"
)

// startsSent returns how many starts have reached the workers.
func (s *harness) startsSent() int {
	s.workers.mu.Lock()
	defer s.workers.mu.Unlock()
	n := 0
	for _, count := range s.workers.started {
		n += count
	}
	return n
}

// recordedStarts returns the recorded starts of the submitted job.
func (s *harness) recordedStarts() []jobkeeper.RecordedStart {
	var list []jobkeeper.RecordedStart
	s.log.machine.View(func(state *jobkeeper.State) {
		for _, j := range state.Jobs {
			for _, start := range j.RecordedStarts() {
				list = append(list, *start)
			}
		}
	})
	return list
}

// awaitCount waits until count returns at least n.
func (s *harness) awaitCount(n int, count func() int) {
	for range 500 {
		if count() >= n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.is.True(count() >= n) // the count was not reached in 5 s
}

// A start that is sent before the log names its worker is unknown to the next leader, which
// then starts the task a second time. The write is held up here; no worker may see an order
// before it has succeeded.
func TestStartIsSentAfterItIsRecorded(t *testing.T) {
	s := newHarness(t)
	s.workers.setKeepRunning()
	reached, release := make(chan struct{}), make(chan struct{})
	s.log.mu.Lock()
	s.log.beforeStarts = func(*jobwire.RecordedStarts) {
		reached <- struct{}{}
		<-release
	}
	s.log.mu.Unlock()
	s.is.Equal(s.call(path, "key", submitRequest()).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
	select {
	case <-reached:
	case <-time.After(5 * time.Second):
		t.Fatal("no start was written to the log in 5 s")
	}
	time.Sleep(100 * time.Millisecond)
	s.is.Equal(s.startsSent(), 0)
	s.log.mu.Lock()
	s.log.beforeStarts = nil
	s.log.mu.Unlock()
	close(release)
	s.awaitCount(3, s.startsSent)
	starts := s.recordedStarts()
	s.is.Equal(len(starts), 3)
	for _, start := range starts {
		s.is.Equal(start.Worker, "w")
	}
	// The runs are recorded as begun within a moment, with no further start to write.
	s.awaitCount(3, func() int {
		begun := 0
		for _, start := range s.recordedStarts() {
			if start.Begun {
				begun++
			}
		}
		return begun
	})
	s.is.Equal(s.startsSent(), 3)
}

// The outcome of the write of a start is unknown. The order must not be sent, and the task must
// start once the log takes writes again.
func TestStartIsNotSentWhenItIsNotRecorded(t *testing.T) {
	s := newHarness(t)
	s.workers.setKeepRunning()
	s.log.mu.Lock()
	failed := 0
	s.log.failStarts = func() { failed++ }
	s.log.mu.Unlock()
	s.is.Equal(s.call(path, "key", submitRequest()).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
	s.awaitCount(3, func() int {
		s.log.mu.Lock()
		defer s.log.mu.Unlock()
		return failed
	})
	s.is.Equal(s.startsSent(), 0)
	s.log.mu.Lock()
	s.log.failStarts = nil
	s.log.mu.Unlock()
	s.awaitCount(3, s.startsSent)
	s.is.Equal(s.startsSent(), 3)
}

// The proof of leadership grows too old while starts are being written. Another leader may be
// sending orders by then, so these must not be sent.
func TestStartIsNotSentWhenLeadEndsDuringWrite(t *testing.T) {
	s := newHarness(t)
	s.workers.setKeepRunning()
	written := make(chan struct{}, 100)
	s.log.mu.Lock()
	s.log.beforeStarts = func(*jobwire.RecordedStarts) {
		s.log.mu.Lock()
		s.log.staleLead = true
		s.log.mu.Unlock()
		written <- struct{}{}
	}
	s.log.mu.Unlock()
	s.is.Equal(s.call(path, "key", submitRequest()).GetOutcome(), jobwire.Outcome_OUTCOME_OK)
	select {
	case <-written:
	case <-time.After(5 * time.Second):
		t.Fatal("no start was written to the log in 5 s")
	}
	time.Sleep(200 * time.Millisecond)
	s.is.Equal(len(s.recordedStarts()), 3)
	s.is.Equal(s.startsSent(), 0)
}
