package persister

// FS is the set of file operations that a Store needs. Names are paths as in
// package os. Tests substitute an implementation that injects faults.
type FS interface {
	// MkdirAll creates a directory and its parents.
	MkdirAll(dir string) error
	// ReadDir returns the names of the files in a directory, sorted.
	ReadDir(dir string) ([]string, error)
	// ReadFile returns the content of a file, or an error that wraps
	// os.ErrNotExist when it does not exist.
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file for writing and replaces an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	// Rename atomically replaces the file with the new name.
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
