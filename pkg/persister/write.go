package persister

import (
	"path/filepath"

	"github.com/pkg/errors"
)

// WriteFile writes data to a file so that after a crash the file has either its
// old or its new content, complete: it writes and syncs a temporary file, renames
// it and syncs the directory.
func WriteFile(fs FS, name string, data []byte) error {
	f, err := fs.Create(name + temporarySuffix)
	if err != nil {
		return errors.Wrap(err, "persister: create temporary file")
	}
	if err := writeSynced(f, data); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return errors.Wrap(err, "persister: close temporary file")
	}
	if err := fs.Rename(name+temporarySuffix, name); err != nil {
		return errors.Wrap(err, "persister: rename temporary file")
	}
	return errors.Wrap(fs.SyncDir(filepath.Dir(name)), "persister: sync directory")
}

func writeSynced(f File, data []byte) error {
	if _, err := f.Write(data); err != nil {
		return errors.Wrap(err, "persister: write file")
	}
	return errors.Wrap(f.Sync(), "persister: sync file")
}
