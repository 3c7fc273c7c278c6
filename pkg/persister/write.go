package persister

import (
	"path/filepath"

	"github.com/pkg/errors"
)

// WriteFile puts data under name so that after a crash the file is either the
// former one or the new one as a whole: it writes and syncs a temporary file,
// renames it and syncs the folder.
func WriteFile(fs FS, name string, data []byte) error {
	f, err := fs.Create(name + temporary)
	if err != nil {
		return errors.Wrap(err, "persister: create")
	}
	if err := writeSynced(f, data); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return errors.Wrap(err, "persister: close")
	}
	if err := fs.Rename(name+temporary, name); err != nil {
		return errors.Wrap(err, "persister: rename")
	}
	return errors.Wrap(fs.SyncDir(filepath.Dir(name)), "persister: sync folder")
}

func writeSynced(f File, data []byte) error {
	if _, err := f.Write(data); err != nil {
		return errors.Wrap(err, "persister: write")
	}
	return errors.Wrap(f.Sync(), "persister: sync")
}
