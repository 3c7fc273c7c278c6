// Package faultfs is an in-memory file system for tests of code that has to
// survive crashes: it forgets what was not synced and fails where it is told to.
package faultfs

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/pkg/persister"
)

// Op is a kind of operation.
type Op string

// The operations that a hook sees.
const (
	Create  Op = "create"
	Write   Op = "write"
	Sync    Op = "sync"
	Rename  Op = "rename"
	SyncDir Op = "sync-dir"
)

var errStale = errors.New("faultfs: the file was opened before a crash")

type inode struct {
	data []byte
	// Invariant: data[:synced] survives a crash.
	synced int
}

// FS is a file system in memory. Make one with New. It may be used from any
// number of goroutines.
type FS struct {
	mu sync.Mutex
	// hook runs before each operation; when it returns an error, the operation
	// fails with it, a write after half of its bytes.
	hook    func(op Op, name string) error
	files   map[string]*inode
	durable map[string]*inode
	crashes int
}

// New returns an empty file system.
func New() *FS {
	return &FS{
		files:   make(map[string]*inode),
		durable: make(map[string]*inode),
	}
}

// SetHook sets the function that runs before each operation; nil removes it.
// It is called with the file system locked.
func (f *FS) SetHook(hook func(op Op, name string) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = hook
}

// Crash drops what was not synced and invalidates open files. With torn, a
// random part of the bytes that were not synced survives, and changes of names
// survive or not at random.
func (f *FS) Crash(r *rand.Rand, torn bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes++
	if !torn || r.IntN(2) == 0 {
		f.files = clone(f.durable)
	}
	f.durable = clone(f.files)
	names := make([]string, 0, len(f.files))
	for name := range f.files {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		n := f.files[name]
		keep := n.synced
		if torn {
			keep += r.IntN(len(n.data) - n.synced + 1)
		}
		n.data, n.synced = n.data[:keep], keep
	}
}

// Wipe removes all files.
func (f *FS) Wipe() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes++
	f.files, f.durable = make(map[string]*inode), make(map[string]*inode)
}

// Damage inverts one byte of a file.
func (f *FS) Damage(name string, offset int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[name].data[offset] ^= 0xff
}

func clone(m map[string]*inode) map[string]*inode {
	c := make(map[string]*inode, len(m))
	for name, n := range m {
		c[name] = n
	}
	return c
}

func (f *FS) before(op Op, name string) error {
	if f.hook == nil {
		return nil
	}
	return f.hook(op, name)
}

// MkdirAll does nothing; folders exist by the names of their files.
func (f *FS) MkdirAll(_ string) error { return nil }

// ReadDir returns the names of the files in dir, sorted.
func (f *FS) ReadDir(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.files {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// ReadFile returns the content of a file.
func (f *FS) ReadFile(name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(n.data), nil
}

// Create makes an empty file.
func (f *FS) Create(name string) (persister.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.before(Create, name); err != nil {
		return nil, err
	}
	f.files[name] = &inode{}
	return f.open(name), nil
}

// Append opens an existing file for writing at its end.
func (f *FS) Append(name string) (persister.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.files[name] == nil {
		return nil, os.ErrNotExist
	}
	return f.open(name), nil
}

func (f *FS) open(name string) *file {
	return &file{
		fs:      f,
		name:    name,
		node:    f.files[name],
		crashes: f.crashes,
	}
}

// Rename gives a file another name; it survives a crash after SyncDir.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.before(Rename, to); err != nil {
		return err
	}
	n, ok := f.files[from]
	if !ok {
		return os.ErrNotExist
	}
	delete(f.files, from)
	f.files[to] = n
	return nil
}

// Remove deletes a file; it survives a crash after SyncDir.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.files, name)
	return nil
}

// SyncDir makes the names of all files durable.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.before(SyncDir, dir); err != nil {
		return err
	}
	f.durable = clone(f.files)
	return nil
}

type file struct {
	fs      *FS
	name    string
	node    *inode
	crashes int
}

func (f *file) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.crashes != f.fs.crashes {
		return 0, errStale
	}
	if err := f.fs.before(Write, f.name); err != nil {
		n := len(p) / 2
		f.node.data = append(f.node.data, p[:n]...)
		return n, err
	}
	f.node.data = append(f.node.data, p...)
	return len(p), nil
}

func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.crashes != f.fs.crashes {
		return errStale
	}
	if err := f.fs.before(Sync, f.name); err != nil {
		return err
	}
	f.node.synced = len(f.node.data)
	return nil
}

func (f *file) Close() error { return nil }
