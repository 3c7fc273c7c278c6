// Package faultfs provides an in-memory file system for testing crash safety. It
// loses what was not synced and fails the operations that a hook selects.
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

// Op is a kind of file operation.
type Op string

// Operations that are passed to a hook.
const (
	Create  Op = "create"
	Write   Op = "write"
	Sync    Op = "sync"
	Rename  Op = "rename"
	SyncDir Op = "sync-dir"
)

var errOpenedBeforeCrash = errors.New("faultfs: the file was opened before a crash")

type inode struct {
	data []byte
	// Invariant: data[:synced] survives a crash.
	synced int
}

// FS is an in-memory file system. Create one with New. It is safe for concurrent
// use.
type FS struct {
	mu sync.Mutex
	// hook runs before each operation. If it returns an error, the operation fails
	// with that error; a write fails after half of its bytes.
	hook         func(op Op, name string) error
	files        map[string]*inode
	durableFiles map[string]*inode
	crashes      int
}

// New returns an empty file system.
func New() *FS {
	return &FS{
		files:        make(map[string]*inode),
		durableFiles: make(map[string]*inode),
	}
}

// SetHook sets the function that runs before each operation; nil removes it. The
// file system is locked while the hook runs.
func (f *FS) SetHook(hook func(op Op, name string) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hook = hook
}

// Crash discards what was not synced and invalidates open files. With torn, a
// random part of the unsynced bytes of each file survives, and so do, at random,
// all or none of the unsynced changes of names.
func (f *FS) Crash(r *rand.Rand, torn bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes++
	if !torn || r.IntN(2) == 0 {
		f.files = cloneFiles(f.durableFiles)
	}
	f.durableFiles = cloneFiles(f.files)
	names := make([]string, 0, len(f.files))
	for name := range f.files {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		node := f.files[name]
		keep := node.synced
		if torn {
			keep += r.IntN(len(node.data) - node.synced + 1)
		}
		node.data, node.synced = node.data[:keep], keep
	}
}

// Wipe removes all files and invalidates open files.
func (f *FS) Wipe() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes++
	f.files, f.durableFiles = make(map[string]*inode), make(map[string]*inode)
}

// Damage corrupts a file by inverting one byte.
func (f *FS) Damage(name string, offset int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[name].data[offset] ^= 0xff
}

func cloneFiles(m map[string]*inode) map[string]*inode {
	cloned := make(map[string]*inode, len(m))
	for name, node := range m {
		cloned[name] = node
	}
	return cloned
}

func (f *FS) runHook(op Op, name string) error {
	if f.hook == nil {
		return nil
	}
	return f.hook(op, name)
}

// MkdirAll does nothing: a directory exists through the names of its files.
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
	node, ok := f.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return slices.Clone(node.data), nil
}

// Create makes an empty file.
func (f *FS) Create(name string) (persister.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.runHook(Create, name); err != nil {
		return nil, err
	}
	f.files[name] = &inode{}
	return f.open(name), nil
}

// Append opens an existing file for appending.
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

// Rename renames a file. The new name is durable after SyncDir.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.runHook(Rename, to); err != nil {
		return err
	}
	node, ok := f.files[from]
	if !ok {
		return os.ErrNotExist
	}
	delete(f.files, from)
	f.files[to] = node
	return nil
}

// Remove deletes a file. The removal is durable after SyncDir.
func (f *FS) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.files, name)
	return nil
}

// SyncDir makes the names of all files durable, in every directory.
func (f *FS) SyncDir(dir string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.runHook(SyncDir, dir); err != nil {
		return err
	}
	f.durableFiles = cloneFiles(f.files)
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
		return 0, errOpenedBeforeCrash
	}
	if err := f.fs.runHook(Write, f.name); err != nil {
		written := len(p) / 2
		f.node.data = append(f.node.data, p[:written]...)
		return written, err
	}
	f.node.data = append(f.node.data, p...)
	return len(p), nil
}

func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if f.crashes != f.fs.crashes {
		return errOpenedBeforeCrash
	}
	if err := f.fs.runHook(Sync, f.name); err != nil {
		return err
	}
	f.node.synced = len(f.node.data)
	return nil
}

func (f *file) Close() error { return nil }
