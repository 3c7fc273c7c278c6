package replicator

// memLog is the part of the log that is held in memory.
type memLog struct {
	// Index and term of the entry before entries[0].
	baseIndex uint64
	baseTerm  uint64
	// Invariant: contiguous, starting at baseIndex+1.
	entries []*Entry
	// Invariant: entries up to this index are synced to disk.
	stable uint64
}

func (l *memLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index, or false when it is not in memory.
func (l *memLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].GetTerm(), true
}

// slice returns the in-memory entries with after < index <= upTo.
func (l *memLog) slice(after, upTo uint64) []*Entry {
	upTo = min(upTo, l.lastIndex())
	after = max(after, l.baseIndex)
	if after >= upTo {
		return nil
	}
	return l.entries[after-l.baseIndex : upTo-l.baseIndex]
}

// truncateAndAppend stores e at its index and removes all entries after it.
func (l *memLog) truncateAndAppend(e *Entry) {
	// The full slice expression forces a copy, so that slices returned earlier
	// are not overwritten.
	preceding := e.GetIndex() - l.baseIndex - 1
	l.entries = append(l.entries[:preceding:preceding], e)
	l.stable = min(l.stable, e.GetIndex()-1)
}

// appendEntry adds e, whose index must be lastIndex()+1.
func (l *memLog) appendEntry(e *Entry) { l.entries = append(l.entries, e) }

// compact removes the entries up to and including index from memory.
func (l *memLog) compact(index uint64) {
	t, ok := l.term(index)
	if !ok || index <= l.baseIndex {
		return
	}
	l.entries = append([]*Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, t
}

// reset empties the log. The next entry follows the given index and term.
func (l *memLog) reset(index, term uint64) {
	*l = memLog{
		baseIndex: index,
		baseTerm:  term,
		stable:    index,
	}
}
