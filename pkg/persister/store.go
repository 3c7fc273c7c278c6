// Package persister stores the log of one replica in a directory: one segment of
// checksummed frames, and one snapshot.
//
// A segment starts with the hard state and the position that precede its entries,
// so it does not depend on older files. Compaction and opening write a new segment,
// rename it into place atomically and delete the old one. Open rewrites the
// segment because after a failed sync the page cache can hold data that is not on
// disk; whatever Open returns has been synced again.
package persister

import (
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/pkg/replication"
	"github.com/heathermux/heathermux/pkg/replicator"
)

// ErrWriteFailed means that an earlier write failed, so that the content of the
// disk is not known. The store has to be opened again.
var ErrWriteFailed = errors.New("persister: an earlier write failed; open the store again")

// ErrClosed is returned for writes to a closed store.
var ErrClosed = errors.New("persister: the store is closed")

// Options are the settings of a Store. There are none yet.
type Options struct{}

// Store writes the files of one replica. It is not safe for concurrent use; create
// one with Open.
type Store struct {
	fs  FS
	dir string
	// Invariant: equals what Open would recover from the files.
	stored replicator.Recovered
	// Invariant: number of the current segment; each rewrite increases it.
	segment uint64
	file    File
	// failedWrite is the first failed write. Later writes return ErrWriteFailed.
	failedWrite error
	closed      bool
}

// Open reads the files in dir, which it creates when missing, and returns their
// content. A torn last frame is cut off. On any other corruption it returns
// ErrDamaged and leaves the current segment and snapshot unchanged.
func Open(fs FS, dir string, _ Options) (*Store, replicator.Recovered, error) {
	s := &Store{
		fs:  fs,
		dir: dir,
	}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, replicator.Recovered{}, errors.Wrap(err, "persister: create log directory")
	}
	if err := s.load(); err != nil {
		return nil, replicator.Recovered{}, err
	}
	if err := s.rewriteSegment(); err != nil {
		return nil, replicator.Recovered{}, err
	}
	return s, s.stored, nil
}

// Append writes hard, unless it is nil, and entries, and returns after they are
// synced. The first entry replaces the stored entries from its index on.
func (s *Store) Append(hard *replicator.HardState, entries []*replicator.Entry) error {
	if err := s.writable(); err != nil {
		return err
	}
	next, ok := appended(s.stored, hard, entries)
	if !ok {
		return errors.New("persister: cannot append entries: their index is compacted or leaves a gap after the last stored entry")
	}
	data, err := encodeFrame(&replication.Frame{
		Hard:    hard,
		Entries: entries,
	})
	if err != nil {
		return err
	}
	if err := writeSynced(s.file, data); err != nil {
		return s.rejectWrites(err)
	}
	s.stored = next
	return nil
}

// appended returns r with hard and entries appended, or false when an entry leaves a
// gap or lies at or before the base of the log.
func appended(r replicator.Recovered, hard *replicator.HardState, entries []*replicator.Entry) (replicator.Recovered, bool) {
	if hard != nil {
		r.Hard = hard
	}
	for _, e := range entries {
		if e.GetIndex() <= r.BaseIndex || e.GetIndex() > r.BaseIndex+uint64(len(r.Entries))+1 {
			return r, false
		}
		preceding := e.GetIndex() - r.BaseIndex - 1
		if preceding < uint64(len(r.Entries)) {
			r.Entries = r.Entries[:preceding:preceding]
		}
		r.Entries = append(r.Entries, e)
	}
	return r, true
}

// SaveSnapshot replaces the stored snapshot with snap and returns after it is
// durable. When the stored log does not contain the last entry that snap covers,
// the log is emptied and continues after snap.
func (s *Store) SaveSnapshot(snap *replicator.Snapshot) error {
	if err := s.writable(); err != nil {
		return err
	}
	if err := WriteRecord(s.fs, s.snapshotName(snap.GetIndex()), snap); err != nil {
		return s.rejectWrites(err)
	}
	previous := s.stored.Snapshot
	s.stored.Snapshot = snap
	if dropDisjointEntries(&s.stored) {
		if err := s.rewriteSegment(); err != nil {
			return s.rejectWrites(err)
		}
	}
	if previous != nil && previous.GetIndex() != snap.GetIndex() {
		_ = s.fs.Remove(s.snapshotName(previous.GetIndex()))
	}
	return nil
}

// dropDisjointEntries empties the log of r, so that it continues after the snapshot,
// when it does not contain the last entry that the snapshot covers. Its entries are
// then older than the snapshot or were never committed. It reports whether it did so.
func dropDisjointEntries(r *replicator.Recovered) bool {
	index, term := r.Snapshot.GetIndex(), r.Snapshot.GetTerm()
	containsEnd := index == r.BaseIndex && term == r.BaseTerm
	if index > r.BaseIndex && index <= r.BaseIndex+uint64(len(r.Entries)) {
		containsEnd = r.Entries[index-r.BaseIndex-1].GetTerm() == term
	}
	if !containsEnd {
		r.BaseIndex, r.BaseTerm, r.Entries = index, term, nil
	}
	return !containsEnd
}

// Compact removes the entries up to and including index, which must be covered by
// the snapshot.
func (s *Store) Compact(index uint64) error {
	if err := s.writable(); err != nil {
		return err
	}
	if index <= s.stored.BaseIndex {
		return nil
	}
	if index > s.stored.Snapshot.GetIndex() || index > s.stored.BaseIndex+uint64(len(s.stored.Entries)) {
		return errors.New("persister: cannot compact log beyond its snapshot or its last entry")
	}
	dropped := index - s.stored.BaseIndex
	s.stored.BaseTerm = s.stored.Entries[dropped-1].GetTerm()
	s.stored.BaseIndex = index
	s.stored.Entries = append([]*replicator.Entry(nil), s.stored.Entries[dropped:]...)
	if err := s.rewriteSegment(); err != nil {
		return s.rejectWrites(err)
	}
	return nil
}

// rewriteSegment writes the whole log to a new segment and deletes the old one.
func (s *Store) rewriteSegment() error {
	frame := &replication.Frame{
		Base: &replication.Base{
			Index: s.stored.BaseIndex,
			Term:  s.stored.BaseTerm,
		},
		Hard:    s.stored.Hard,
		Entries: s.stored.Entries,
	}
	name := s.segmentName(s.segment + 1)
	if err := WriteRecord(s.fs, name, frame); err != nil {
		return err
	}
	s.closeFile()
	_ = s.fs.Remove(s.segmentName(s.segment))
	s.segment++
	var err error
	s.file, err = s.fs.Append(name)
	return errors.Wrap(err, "persister: open new segment")
}

// writable returns nil while writes are accepted.
func (s *Store) writable() error {
	switch {
	case s.failedWrite != nil:
		return errors.Wrap(ErrWriteFailed, s.failedWrite.Error())
	case s.closed:
		return ErrClosed
	}
	return nil
}

func (s *Store) closeFile() {
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
}

func (s *Store) rejectWrites(err error) error {
	s.failedWrite = err
	return err
}

// Close closes the segment. Everything acknowledged is on disk already.
func (s *Store) Close() error {
	s.closeFile()
	s.closed = true
	return nil
}
