package replicator

// memLog is the part of the log that is in memory.
type memLog struct {
	// Invariant: index and term of the entry before entries[0].
	baseIndex uint64
	baseTerm  uint64
	// Invariant: contiguous, beginning at baseIndex+1.
	entries []*Entry
	// Invariant: entries up to this index are on disk.
	stable uint64
}

func (l *memLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, false when it is not held.
func (l *memLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].GetTerm(), true
}

// slice returns the held entries in (after, upTo].
func (l *memLog) slice(after, upTo uint64) []*Entry {
	upTo = min(upTo, l.last())
	after = max(after, l.baseIndex)
	if after >= upTo {
		return nil
	}
	return l.entries[after-l.baseIndex : upTo-l.baseIndex]
}

// put stores e at its index and drops everything after it.
func (l *memLog) put(e *Entry) {
	// The full slice expression keeps slices handed out earlier unchanged.
	n := e.GetIndex() - l.baseIndex - 1
	l.entries = append(l.entries[:n:n], e)
	l.stable = min(l.stable, e.GetIndex()-1)
}

// extend appends e, which has the next index.
func (l *memLog) extend(e *Entry) { l.entries = append(l.entries, e) }

// compact drops the entries up to index.
func (l *memLog) compact(index uint64) {
	t, ok := l.term(index)
	if !ok || index <= l.baseIndex {
		return
	}
	l.entries = append([]*Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, t
}

// reset empties the log, so that it goes on after the given entry.
func (l *memLog) reset(index, term uint64) {
	*l = memLog{
		baseIndex: index,
		baseTerm:  term,
		stable:    index,
	}
}
