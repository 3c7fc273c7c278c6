package persister

// FS is the set of file operations that a Store needs. Names are paths as for
// package os. Tests put a fault-injecting implementation in its place.
type FS interface {
	// MkdirAll makes a directory and its parents.
	MkdirAll(dir string) error
	// ReadDir returns the names of the files in a directory, sorted.
	ReadDir(dir string) ([]string, error)
	// ReadFile returns the content of a file; os.ErrNotExist when there is none.
	ReadFile(name string) ([]byte, error)
	// Create makes an empty file for writing, in place of one that exists.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Rename replaces the file under the new name atomically.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// SyncDir makes creations, renames and removals in a directory durable.
	SyncDir(dir string) error
}

// File is a file that is open for writing.
type File interface {
	Write(p []byte) (int, error)
	// Sync returns once all written bytes are durable.
	Sync() error
	Close() error
}
