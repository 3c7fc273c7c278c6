package replica

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/pkg/persister"
	"github.com/heathermux/heathermux/pkg/replication"
	"github.com/heathermux/heathermux/pkg/replicator"
)

const (
	identityFile  = "identity"
	damagedPrefix = "damaged-"
)

// newID returns the replica ID for a host name and an incarnation.
func newID(name, incarnation string) string { return name + "#" + incarnation }

// nameOf returns the host name part of a replica ID.
func nameOf(id string) string {
	if i := strings.LastIndexByte(id, '#'); i >= 0 {
		return id[:i]
	}
	return id
}

// openFiles opens the replica's files. If they are damaged or the identity is
// missing, they are quarantined and the replica gets a new identity, as after
// the loss of its disk: the former identity may have cast votes or acknowledged
// entries of which no record is left.
func (r *Replica) openFiles() (replicator.Recovered, error) {
	if err := r.opts.FS.MkdirAll(r.opts.Dir); err != nil {
		return replicator.Recovered{}, errors.Wrap(err, "voter: create data folder")
	}
	recovered, err := r.openExisting()
	if !errors.Is(err, persister.ErrDamaged) && !errors.Is(err, os.ErrNotExist) {
		return recovered, err
	}
	if errors.Is(err, persister.ErrDamaged) {
		r.opts.Logger.Warn("voter: files are damaged; they are quarantined and this host joins with a new identity", "error", err)
	}
	if err := r.quarantineFiles(); err != nil {
		return replicator.Recovered{}, err
	}
	return r.createNew()
}

func (r *Replica) identityPath() string { return filepath.Join(r.opts.Dir, identityFile) }

// openExisting opens the log that belongs to the identity on disk. The first
// segment is written before the identity, so an identity without a segment means
// that the log was lost.
func (r *Replica) openExisting() (replicator.Recovered, error) {
	identity := &replication.Identity{}
	if err := persister.ReadRecord(r.opts.FS, r.identityPath(), identity); err != nil {
		return replicator.Recovered{}, err
	}
	names, err := r.opts.FS.ReadDir(r.opts.Dir)
	if err != nil {
		return replicator.Recovered{}, errors.Wrap(err, "voter: list data folder")
	}
	if !persister.HasLog(names) {
		return replicator.Recovered{}, errors.Wrap(persister.ErrDamaged, "the identity file exists but the log has no segment")
	}
	store, recovered, err := persister.Open(r.opts.FS, r.opts.Dir, persister.Options{})
	if err != nil {
		return replicator.Recovered{}, err
	}
	r.identity, r.store = identity, store
	return recovered, nil
}

func (r *Replica) createNew() (replicator.Recovered, error) {
	store, recovered, err := persister.Open(r.opts.FS, r.opts.Dir, persister.Options{})
	if err != nil {
		return replicator.Recovered{}, err
	}
	r.store, r.formation = store, formation{}
	r.identity = &replication.Identity{
		Id: newID(r.opts.Name, r.opts.Incarnation()),
	}
	return recovered, persister.WriteRecord(r.opts.FS, r.identityPath(), r.identity)
}

// quarantineFiles renames all files, the identity first: without an identity,
// the next start after a crash in between ends up here again. Files that were
// quarantined earlier are removed.
func (r *Replica) quarantineFiles() error {
	names, err := r.opts.FS.ReadDir(r.opts.Dir)
	if err != nil {
		return errors.Wrap(err, "voter: list data folder")
	}
	for _, name := range names {
		if strings.HasPrefix(name, damagedPrefix) {
			_ = r.opts.FS.Remove(filepath.Join(r.opts.Dir, name))
		}
	}
	// ReadDir sorts by name, so the identity comes before segments and snapshots.
	for _, name := range names {
		if strings.HasPrefix(name, damagedPrefix) {
			continue
		}
		quarantined := filepath.Join(r.opts.Dir, fmt.Sprint(damagedPrefix, name))
		if err := r.opts.FS.Rename(filepath.Join(r.opts.Dir, name), quarantined); err != nil {
			return errors.Wrap(err, "voter: quarantine damaged file")
		}
	}
	return errors.Wrap(r.opts.FS.SyncDir(r.opts.Dir), "voter: sync data folder")
}
