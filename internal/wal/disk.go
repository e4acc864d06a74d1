// This file implements FS on the operating system's file system. Each method must perform
// the operation of FS that it is named after, once, and no other.

package wal

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/gofrs/flock"
)

// Disk is an FS on the machine's file system.
type Disk struct{}

// ErrLocked reports that another process has locked the log's directory.
var ErrLocked = errors.New("locked by another process")

// Create creates a file for reading and appending. It fails if the file exists.
func (Disk) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR|os.O_APPEND|os.O_CREATE|os.O_EXCL, 0o600)
}

// Open opens an existing file for reading and appending.
func (Disk) Open(name string) (File, error) { return os.OpenFile(name, os.O_RDWR|os.O_APPEND, 0) }

// Remove deletes a file.
func (Disk) Remove(name string) error { return os.Remove(name) }

// List returns the names of the entries of a directory.
func (Disk) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// SyncDir makes the creation and removal of files in a directory durable.
func (Disk) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock locks a directory by means of the named file in it, without waiting. The lock ends with the process.
// If another process has it, Lock returns ErrLocked.
func (Disk) Lock(name string) (io.Closer, error) {
	l := flock.New(name)
	acquired, err := l.TryLock()
	if err != nil {
		return nil, fmt.Errorf("lock: %w", err)
	}
	if !acquired {
		return nil, ErrLocked
	}
	return l, nil
}
