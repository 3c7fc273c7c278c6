package persister

import (
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/pkg/replicator"
)

// load reads the newest segment and snapshot.
func (s *Store) load() error {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return errors.Wrap(err, "persister: read folder")
	}
	for _, name := range names {
		if strings.HasSuffix(name, temporary) {
			_ = s.fs.Remove(filepath.Join(s.dir, name))
		}
	}
	segments, snapshots := numbered(names, segmentPrefix), numbered(names, snapshotPrefix)
	if len(segments) == 0 {
		if len(snapshots) > 0 {
			return errors.Wrap(ErrDamaged, "there is a snapshot and no segment")
		}
		return nil
	}
	if err := s.loadSegment(segments); err != nil {
		return err
	}
	return s.loadSnapshot(snapshots)
}

func (s *Store) loadSegment(numbers []uint64) error {
	s.segment = numbers[len(numbers)-1]
	data, err := s.fs.ReadFile(s.segmentName(s.segment))
	if err != nil {
		return errors.Wrap(err, "persister: read segment")
	}
	frames, err := ReadFrames(data)
	if err != nil {
		return err
	}
	if len(frames) == 0 || frames[0].GetBase() == nil {
		return errors.Wrap(ErrDamaged, "the first frame of the segment is not whole")
	}
	s.now.BaseIndex = frames[0].GetBase().GetIndex()
	s.now.BaseTerm = frames[0].GetBase().GetTerm()
	for _, f := range frames {
		next, ok := appended(s.now, f.GetHard(), f.GetEntries())
		if !ok {
			return errors.Wrap(ErrDamaged, "entries are missing")
		}
		s.now = next
	}
	for _, n := range numbers[:len(numbers)-1] {
		_ = s.fs.Remove(s.segmentName(n))
	}
	return nil
}

func (s *Store) loadSnapshot(indexes []uint64) error {
	if len(indexes) == 0 {
		if s.now.BaseIndex > 0 {
			return errors.Wrap(ErrDamaged, "the snapshot is missing")
		}
		return nil
	}
	newest := indexes[len(indexes)-1]
	snap := &replicator.Snapshot{}
	if err := ReadRecord(s.fs, s.snapshotName(newest), snap); err != nil {
		return err
	}
	if newest < s.now.BaseIndex {
		return errors.Wrap(ErrDamaged, "the snapshot is older than the log")
	}
	s.now.Snapshot = snap
	restart(&s.now)
	for _, n := range indexes[:len(indexes)-1] {
		_ = s.fs.Remove(s.snapshotName(n))
	}
	return nil
}
