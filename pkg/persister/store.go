// Package persister stores the log of one replica: one segment of checksummed
// frames and one snapshot in a folder.
//
// A segment begins with the term, vote and position that precede its entries,
// so it needs no older file. Compaction and opening write a new segment by
// atomic rename and delete the older one. Opening rewrites it because after a
// failed sync the page cache can hold data that is not on disk: what Open
// returns has been synced again.
package persister

import (
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/pkg/replication"
	"github.com/heathermux/heathermux/pkg/replicator"
)

// ErrPoisoned means that an earlier write failed, so that it is not known what
// is on disk. The store has to be opened again.
var ErrPoisoned = errors.New("persister: an earlier write failed; open the store again")

// Options are the settings of a Store; there are none yet.
type Options struct{}

// Store writes the files of one replica. It is not safe for concurrent use;
// make one with Open.
type Store struct {
	fs  FS
	dir string
	// Invariant: equals what a reader of the files would recover.
	now replicator.Recovered
	// Invariant: number of the live segment; rises with each rewrite.
	segment uint64
	file    File
	// err is the first failed write; later writes return ErrPoisoned.
	err error
}

// Open reads the files in dir, which is made when missing, and returns what
// they hold. A torn tail is cut. Damage before it returns ErrDamaged, and the
// files are left as they are.
func Open(fs FS, dir string, _ Options) (*Store, replicator.Recovered, error) {
	s := &Store{
		fs:  fs,
		dir: dir,
	}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, replicator.Recovered{}, errors.Wrap(err, "persister: make folder")
	}
	if err := s.load(); err != nil {
		return nil, replicator.Recovered{}, err
	}
	if err := s.rewrite(); err != nil {
		return nil, replicator.Recovered{}, err
	}
	return s, s.now, nil
}

// Append writes hard, when it is not nil, and entries, and returns after they
// are synced. The first entry replaces any stored one at its index and after.
func (s *Store) Append(hard *replicator.HardState, entries []*replicator.Entry) error {
	if s.err != nil {
		return errors.Wrap(ErrPoisoned, s.err.Error())
	}
	next, ok := appended(s.now, hard, entries)
	if !ok {
		return errors.New("persister: the entries do not follow the log")
	}
	data, err := encodeFrame(&replication.Frame{
		Hard:    hard,
		Entries: entries,
	})
	if err != nil {
		return err
	}
	if err := writeSynced(s.file, data); err != nil {
		return s.poison(err)
	}
	s.now = next
	return nil
}

// appended returns r after an append, false when the entries leave a gap.
func appended(r replicator.Recovered, hard *replicator.HardState, entries []*replicator.Entry) (replicator.Recovered, bool) {
	if hard != nil {
		r.Hard = hard
	}
	for _, e := range entries {
		if e.GetIndex() <= r.BaseIndex || e.GetIndex() > r.BaseIndex+uint64(len(r.Entries))+1 {
			return r, false
		}
		n := e.GetIndex() - r.BaseIndex - 1
		if n < uint64(len(r.Entries)) {
			r.Entries = r.Entries[:n:n]
		}
		r.Entries = append(r.Entries, e)
	}
	return r, true
}

// SaveSnapshot writes snap in place of the former one and returns after it is
// durable. When the stored log does not hold the entry that snap ends with,
// the log restarts after snap.
func (s *Store) SaveSnapshot(snap *replicator.Snapshot) error {
	if s.err != nil {
		return errors.Wrap(ErrPoisoned, s.err.Error())
	}
	if err := WriteRecord(s.fs, s.snapshotName(snap.GetIndex()), snap); err != nil {
		return s.poison(err)
	}
	former := s.now.Snapshot
	s.now.Snapshot = snap
	if restart(&s.now) {
		if err := s.rewrite(); err != nil {
			return s.poison(err)
		}
	}
	if former != nil && former.GetIndex() != snap.GetIndex() {
		_ = s.fs.Remove(s.snapshotName(former.GetIndex()))
	}
	return nil
}

// restart drops the entries of r when they do not contain the end of its
// snapshot. Such entries are older than the snapshot or were never committed.
func restart(r *replicator.Recovered) bool {
	index, term := r.Snapshot.GetIndex(), r.Snapshot.GetTerm()
	held := index == r.BaseIndex && term == r.BaseTerm
	if index > r.BaseIndex && index <= r.BaseIndex+uint64(len(r.Entries)) {
		held = r.Entries[index-r.BaseIndex-1].GetTerm() == term
	}
	if !held {
		r.BaseIndex, r.BaseTerm, r.Entries = index, term, nil
	}
	return !held
}

// Compact removes the entries up to index, which the snapshot covers.
func (s *Store) Compact(index uint64) error {
	if s.err != nil {
		return errors.Wrap(ErrPoisoned, s.err.Error())
	}
	if index <= s.now.BaseIndex {
		return nil
	}
	if index > s.now.Snapshot.GetIndex() || index > s.now.BaseIndex+uint64(len(s.now.Entries)) {
		return errors.New("persister: compaction beyond the snapshot")
	}
	n := index - s.now.BaseIndex
	s.now.BaseTerm = s.now.Entries[n-1].GetTerm()
	s.now.BaseIndex = index
	s.now.Entries = append([]*replicator.Entry(nil), s.now.Entries[n:]...)
	if err := s.rewrite(); err != nil {
		return s.poison(err)
	}
	return nil
}

// rewrite puts the whole log in a new segment.
func (s *Store) rewrite() error {
	frame := &replication.Frame{
		Base: &replication.Base{
			Index: s.now.BaseIndex,
			Term:  s.now.BaseTerm,
		},
		Hard:    s.now.Hard,
		Entries: s.now.Entries,
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
	return errors.Wrap(err, "persister: open segment")
}

func (s *Store) closeFile() {
	if s.file != nil {
		_ = s.file.Close()
		s.file = nil
	}
}

func (s *Store) poison(err error) error {
	s.err = err
	return err
}

// Close closes the files. All that was acknowledged is on disk already.
func (s *Store) Close() error {
	s.closeFile()
	s.err = errors.New("persister: closed")
	return nil
}
