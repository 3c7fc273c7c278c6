package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case: what was sent, answered and run, with the time since its
// begin. It is safe for concurrent use.
type record struct {
	mu     sync.Mutex
	begin  time.Time
	file   *os.File
	broken []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		begin: time.Now(),
		file:  file,
	}, nil
}

// notef writes one line.
func (r *record) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(fmt.Sprintf(format, args...))
}

// breakf writes a line that tells how the rule was broken.
func (r *record) breakf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := "BROKEN " + fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.write(text)
}

// write writes one line; r.mu must be held.
func (r *record) write(text string) {
	_, _ = fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.begin).Seconds(), text)
}

// brokenRules returns the lines of breakf.
func (r *record) brokenRules() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}
