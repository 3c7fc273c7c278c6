package persister_test

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/pkg/persister"
	"github.com/heathermux/heathermux/pkg/persister/faultfs"
	"github.com/heathermux/heathermux/pkg/replication"
	"github.com/heathermux/heathermux/pkg/replicator"
)

func entries(term, from, to uint64) []*replicator.Entry {
	var list []*replicator.Entry
	for i := from; i <= to; i++ {
		list = append(list, &replication.Entry{
			Term:  term,
			Index: i,
			Data:  []byte("change"),
		})
	}
	return list
}

func snapshot(index, term uint64) *replicator.Snapshot {
	return &replication.Snapshot{
		Index: index,
		Term:  term,
		Data:  []byte("state"),
	}
}

// content returns the state that matters to a replica as text: term, vote,
// snapshot index and the entries after the snapshot.
func content(r replicator.Recovered) string {
	s := fmt.Sprint(r.Hard.GetTerm(), r.Hard.GetVote(), " snapshot ", r.Snapshot.GetIndex(), ":")
	for _, e := range r.Entries {
		if e.GetIndex() > r.Snapshot.GetIndex() {
			s += fmt.Sprintf(" %d/%d", e.GetIndex(), e.GetTerm())
		}
	}
	return s
}

// steps are the operations on a store; after is the content after each of them.
var steps = []struct {
	run   func(s *persister.Store) error
	after string
}{
	{
		run:   func(s *persister.Store) error { return s.Append(vote(1, "a"), entries(1, 1, 4)) },
		after: "1a snapshot 0: 1/1 2/1 3/1 4/1",
	},
	{
		run:   func(s *persister.Store) error { return s.Append(vote(2, ""), entries(2, 3, 5)) },
		after: "2 snapshot 0: 1/1 2/1 3/2 4/2 5/2",
	},
	{
		run:   func(s *persister.Store) error { return s.SaveSnapshot(snapshot(4, 2)) },
		after: "2 snapshot 4: 5/2",
	},
	{
		run:   func(s *persister.Store) error { return s.Compact(3) },
		after: "2 snapshot 4: 5/2",
	},
	{
		run:   func(s *persister.Store) error { return s.Append(nil, entries(2, 6, 8)) },
		after: "2 snapshot 4: 5/2 6/2 7/2 8/2",
	},
	{
		run:   func(s *persister.Store) error { return s.SaveSnapshot(snapshot(7, 3)) },
		after: "2 snapshot 7:",
	},
	{
		run:   func(s *persister.Store) error { return s.Append(vote(3, "b"), entries(3, 8, 8)) },
		after: "3b snapshot 7: 8/3",
	},
}

func vote(term uint64, id string) *replicator.HardState {
	return &replication.HardState{
		Term: term,
		Vote: id,
	}
}

// TestCrashAtEachOperation guards against losing or changing acknowledged content
// when the host crashes or a file operation fails, at each file operation in turn.
// The step that failed may or may not have taken effect.
func TestCrashAtEachOperation(t *testing.T) {
	for _, torn := range []bool{false, true} {
		for failAfter := range 40 {
			t.Run(fmt.Sprint("torn ", torn, " operation ", failAfter), func(t *testing.T) {
				is := is.New(t)
				r := rand.New(rand.NewPCG(uint64(failAfter), 1))
				fs, operations := faultfs.New(), 0
				fs.SetHook(func(faultfs.Op, string) error {
					if operations++; operations > failAfter {
						return syscall.EIO
					}
					return nil
				})
				acknowledged, attempted := "0 snapshot 0:", "0 snapshot 0:"
				s, _, err := persister.Open(fs, "data", persister.Options{})
				for i := 0; err == nil && i < len(steps); i++ {
					acknowledged, attempted = attempted, steps[i].after
					err = steps[i].run(s)
				}
				if err == nil {
					acknowledged = attempted
				} else if s != nil {
					is.True(errors.Is(s.Append(nil, nil), persister.ErrWriteFailed)) // no write is accepted after a failed one
				}
				fs.SetHook(nil)
				fs.Crash(r, torn)
				for range 2 {
					_, recovered, err := persister.Open(fs, "data", persister.Options{})
					is.NoErr(err)
					got := content(recovered)
					is.True(got == acknowledged || got == attempted) // acknowledged content survives
					acknowledged, attempted = got, got
				}
			})
		}
	}
}

// TestDamage guards against reading corrupt files as a shorter log. Only an
// incomplete last frame counts as a torn write.
func TestDamage(t *testing.T) {
	const segment, snap = "data/segment-00000000000000000003", "data/snapshot-00000000000000000002"
	tests := map[string]struct {
		damage func(fs *faultfs.FS)
		want   string
	}{
		"first frame": {
			damage: func(fs *faultfs.FS) { fs.Damage(segment, 20) },
		},
		"header of the frame before the last": {
			damage: func(fs *faultfs.FS) { fs.Damage(segment, size(t, fs, segment)-2*frameSize+5) },
		},
		"payload of the frame before the last": {
			damage: func(fs *faultfs.FS) { fs.Damage(segment, size(t, fs, segment)-frameSize-1) },
		},
		"last frame": {
			damage: func(fs *faultfs.FS) { fs.Damage(segment, size(t, fs, segment)-1) },
			want:   "1a snapshot 2: 3/1 4/1",
		},
		"snapshot": {
			damage: func(fs *faultfs.FS) { fs.Damage(snap, 20) },
		},
		"no snapshot": {
			damage: func(fs *faultfs.FS) { _ = fs.Remove(snap) },
		},
		"no segment": {
			damage: func(fs *faultfs.FS) { _ = fs.Remove(segment) },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fs := faultfs.New()
			s, _, err := persister.Open(fs, "data", persister.Options{})
			is.NoErr(err)
			is.NoErr(s.Append(vote(1, "a"), entries(1, 1, 3)))
			is.NoErr(s.SaveSnapshot(snapshot(2, 1)))
			is.NoErr(s.Compact(2))
			is.NoErr(s.Close())
			s, _, err = persister.Open(fs, "data", persister.Options{})
			is.NoErr(err)
			is.NoErr(s.Append(nil, entries(1, 4, 4)))
			is.NoErr(s.Append(nil, entries(1, 5, 5)))
			test.damage(fs)
			_, recovered, err := persister.Open(fs, "data", persister.Options{})
			is.Equal(errors.Is(err, persister.ErrDamaged), test.want == "")
			if test.want != "" {
				is.Equal(content(recovered), test.want)
			}
		})
	}
}

// A crash may leave the segment and the snapshot from before a compaction. While the
// newer snapshot is damaged they are the only copy of the log, so Open must not delete
// them.
func TestDamageKeepsOlderFiles(t *testing.T) {
	is := is.New(t)
	fs := faultfs.New()
	s, _, err := persister.Open(fs, "data", persister.Options{})
	is.NoErr(err)
	is.NoErr(s.Append(vote(1, "a"), entries(1, 1, 3)))
	is.NoErr(s.SaveSnapshot(snapshot(2, 1)))
	older := make(map[string][]byte)
	names, err := fs.ReadDir("data")
	is.NoErr(err)
	for _, name := range names {
		older[name], err = fs.ReadFile("data/" + name)
		is.NoErr(err)
	}
	is.NoErr(s.SaveSnapshot(snapshot(3, 1)))
	is.NoErr(s.Compact(3))
	is.NoErr(s.Close())
	for name, data := range older {
		is.NoErr(persister.WriteFile(fs, "data/"+name, data))
	}
	before, err := fs.ReadDir("data")
	is.NoErr(err)
	is.Equal(len(before), 4) // two segments and two snapshots
	fs.Damage("data/snapshot-00000000000000000003", 20)
	_, _, err = persister.Open(fs, "data", persister.Options{})
	is.True(errors.Is(err, persister.ErrDamaged))
	after, err := fs.ReadDir("data")
	is.NoErr(err)
	is.Equal(after, before)
}

func TestClosedStoreRejectsWrites(t *testing.T) {
	is := is.New(t)
	s, _, err := persister.Open(faultfs.New(), "data", persister.Options{})
	is.NoErr(err)
	is.NoErr(s.Close())
	is.True(errors.Is(s.Append(vote(1, "a"), nil), persister.ErrClosed))
	is.True(errors.Is(s.SaveSnapshot(snapshot(1, 1)), persister.ErrClosed))
}

// frameSize is the size of a frame with one entry of this test: the header, the
// field header of the entry, its term and index, and its data.
const frameSize = 16 + 2 + 4 + 8

// A deployment whose replicas share one disk must not stop when the disk stalls: all of
// its leases ended, and the demo failed beside other work.
func TestUnsyncedStoreDoesNotSync(t *testing.T) {
	is := is.New(t)
	disk := faultfs.New()
	disk.SetHook(func(op faultfs.Op, name string) error {
		if op == faultfs.Sync || op == faultfs.SyncDir {
			t.Errorf("%s is synced", name)
		}
		return nil
	})
	fs := persister.Unsynced(disk)
	s, _, err := persister.Open(fs, "data", persister.Options{})
	is.NoErr(err)
	is.NoErr(s.Append(vote(1, "a"), entries(1, 1, 3)))
	is.NoErr(s.SaveSnapshot(snapshot(2, 1)))
	is.NoErr(s.Close())
	_, recovered, err := persister.Open(fs, "data", persister.Options{})
	is.NoErr(err)
	is.Equal(len(recovered.Entries), 3)
}

func size(t *testing.T, fs *faultfs.FS, name string) int {
	t.Helper()
	data, err := fs.ReadFile(name)
	is.New(t).NoErr(err)
	return len(data)
}

// FuzzReadFrames guards against a panic and against content that was never
// written: the frames read from corrupt input are a prefix of the written ones.
func FuzzReadFrames(f *testing.F) {
	fs := faultfs.New()
	s, _, _ := persister.Open(fs, "data", persister.Options{})
	_ = s.Append(vote(1, "a"), entries(1, 1, 2))
	_ = s.Append(vote(2, "b"), entries(2, 3, 3))
	segment, _ := fs.ReadFile("data/segment-00000000000000000001")
	f.Add(30, byte(1), len(segment))
	f.Add(5, byte(0x80), len(segment)-1)
	f.Add(0, byte(0), 0)
	want, _ := persister.ReadFrames(segment)
	f.Fuzz(func(t *testing.T, flipAt int, flipMask byte, length int) {
		data := append([]byte(nil), segment...)
		data[uint(flipAt)%uint(len(data))] ^= flipMask
		data = data[:uint(length)%uint(len(data)+1)]
		got, _ := persister.ReadFrames(data)
		for i, frame := range got {
			is.New(t).Equal(frame.String(), want[i].String())
		}
		_, _ = persister.ReadFrames(append([]byte{flipMask, byte(flipAt)}, data...))
	})
}
