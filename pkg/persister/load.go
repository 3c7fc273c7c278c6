package persister

import (
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/pkg/replicator"
)

// load reads the newest segment and the newest snapshot into s.stored, and deletes
// temporary files and older segments and snapshots. It deletes nothing that may help
// to repair a damaged directory: the older files stay until the newer ones are known
// to be sound.
func (s *Store) load() error {
	names, err := s.fs.ReadDir(s.dir)
	if err != nil {
		return errors.Wrap(err, "persister: read log directory")
	}
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			_ = s.fs.Remove(filepath.Join(s.dir, name))
		}
	}
	segments, snapshots := parseNumbers(names, segmentPrefix), parseNumbers(names, snapshotPrefix)
	if len(segments) == 0 {
		if len(snapshots) > 0 {
			return errors.Wrap(ErrDamaged, "log directory has a snapshot but no segment")
		}
		return nil
	}
	if err := s.loadSegment(segments[len(segments)-1]); err != nil {
		return err
	}
	if err := s.loadSnapshot(snapshots); err != nil {
		return err
	}
	for _, n := range segments[:len(segments)-1] {
		_ = s.fs.Remove(s.segmentName(n))
	}
	for _, index := range snapshots[:max(len(snapshots)-1, 0)] {
		_ = s.fs.Remove(s.snapshotName(index))
	}
	return nil
}

func (s *Store) loadSegment(number uint64) error {
	s.segment = number
	data, err := s.fs.ReadFile(s.segmentName(s.segment))
	if err != nil {
		return errors.Wrap(err, "persister: read segment")
	}
	frames, err := ReadFrames(data)
	if err != nil {
		return err
	}
	if len(frames) == 0 || frames[0].GetBase() == nil {
		return errors.Wrap(ErrDamaged, "first frame of the segment is invalid or has no base position")
	}
	s.stored.BaseIndex = frames[0].GetBase().GetIndex()
	s.stored.BaseTerm = frames[0].GetBase().GetTerm()
	for _, f := range frames {
		next, ok := appended(s.stored, f.GetHard(), f.GetEntries())
		if !ok {
			return errors.Wrap(ErrDamaged, "segment has a gap between entries")
		}
		s.stored = next
	}
	return nil
}

func (s *Store) loadSnapshot(indexes []uint64) error {
	if len(indexes) == 0 {
		if s.stored.BaseIndex > 0 {
			return errors.Wrap(ErrDamaged, "segment was compacted but its snapshot is missing")
		}
		return nil
	}
	newest := indexes[len(indexes)-1]
	snap := &replicator.Snapshot{}
	if err := ReadRecord(s.fs, s.snapshotName(newest), snap); err != nil {
		return err
	}
	if newest < s.stored.BaseIndex {
		return errors.Wrap(ErrDamaged, "newest snapshot is older than the first entry of the segment")
	}
	s.stored.Snapshot = snap
	dropDisjointEntries(&s.stored)
	return nil
}
