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
	identityFile = "identity"
	damaged      = "damaged-"
)

// newID returns the ID of a replica of the given name and incarnation.
func newID(name, incarnation string) string { return name + "#" + incarnation }

// nameOf returns the name of the host that an ID belongs to.
func nameOf(id string) string {
	if i := strings.LastIndexByte(id, '#'); i >= 0 {
		return id[:i]
	}
	return id
}

// openFiles reads the files of the replica. When they are damaged or the
// identity is missing, they are set aside and the replica gets a new identity,
// as after the loss of its disk: the old one may have voted or acknowledged
// entries that it no longer knows of.
func (r *Replica) openFiles() (replicator.Recovered, error) {
	if err := r.opts.FS.MkdirAll(r.opts.Dir); err != nil {
		return replicator.Recovered{}, errors.Wrap(err, "voter: make folder")
	}
	recovered, err := r.openIdentified()
	if !errors.Is(err, persister.ErrDamaged) && !errors.Is(err, os.ErrNotExist) {
		return recovered, err
	}
	if errors.Is(err, persister.ErrDamaged) {
		r.opts.Logger.Warn("voter: files are damaged, this host joins again", "error", err)
	}
	if err := r.setAside(); err != nil {
		return replicator.Recovered{}, err
	}
	return r.openNew()
}

func (r *Replica) identityName() string { return filepath.Join(r.opts.Dir, identityFile) }

// openIdentified opens the log of the identity on disk. The first segment was
// written before the identity, so an identity without a segment has lost its log.
func (r *Replica) openIdentified() (replicator.Recovered, error) {
	identity := &replication.Identity{}
	if err := persister.ReadRecord(r.opts.FS, r.identityName(), identity); err != nil {
		return replicator.Recovered{}, err
	}
	names, err := r.opts.FS.ReadDir(r.opts.Dir)
	if err != nil {
		return replicator.Recovered{}, errors.Wrap(err, "voter: read folder")
	}
	if !persister.HasLog(names) {
		return replicator.Recovered{}, errors.Wrap(persister.ErrDamaged, "the log is missing")
	}
	store, recovered, err := persister.Open(r.opts.FS, r.opts.Dir, persister.Options{})
	if err != nil {
		return replicator.Recovered{}, err
	}
	r.identity, r.store = identity, store
	return recovered, nil
}

func (r *Replica) openNew() (replicator.Recovered, error) {
	store, recovered, err := persister.Open(r.opts.FS, r.opts.Dir, persister.Options{})
	if err != nil {
		return replicator.Recovered{}, err
	}
	r.store, r.formation = store, formation{}
	r.identity = &replication.Identity{
		Id: newID(r.opts.Name, r.opts.Incarnation()),
	}
	return recovered, persister.WriteRecord(r.opts.FS, r.identityName(), r.identity)
}

// setAside renames all files, the identity first: without it a crash in
// between leads here again. Files that were set aside before are removed.
func (r *Replica) setAside() error {
	names, err := r.opts.FS.ReadDir(r.opts.Dir)
	if err != nil {
		return errors.Wrap(err, "voter: read folder")
	}
	for _, name := range names {
		if strings.HasPrefix(name, damaged) {
			_ = r.opts.FS.Remove(filepath.Join(r.opts.Dir, name))
		}
	}
	// Sorted names put the identity before segments and snapshots.
	for _, name := range names {
		if strings.HasPrefix(name, damaged) {
			continue
		}
		aside := filepath.Join(r.opts.Dir, fmt.Sprint(damaged, name))
		if err := r.opts.FS.Rename(filepath.Join(r.opts.Dir, name), aside); err != nil {
			return errors.Wrap(err, "voter: set damaged file aside")
		}
	}
	return errors.Wrap(r.opts.FS.SyncDir(r.opts.Dir), "voter: sync folder")
}
