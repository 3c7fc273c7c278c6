package persister

// Unsynced returns a file system whose syncs return at once. What is written to it may
// be lost with the power, so it is for trials and demonstrations only.
func Unsynced(fs FS) FS {
	return unsyncedFS{
		FS: fs,
	}
}

type unsyncedFS struct {
	FS
}

func (f unsyncedFS) Create(name string) (File, error) { return unsynced(f.FS.Create(name)) }

func (f unsyncedFS) Append(name string) (File, error) { return unsynced(f.FS.Append(name)) }

// SyncDir does nothing.
func (unsyncedFS) SyncDir(string) error { return nil }

type unsyncedFile struct {
	File
}

func unsynced(f File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return unsyncedFile{
		File: f,
	}, nil
}

// Sync does nothing.
func (unsyncedFile) Sync() error { return nil }
