// This file owns the real file system. It must never do more than one call for each that it is asked for.

package wal

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/gofrs/flock"
)

// Disk is the machine's file system.
type Disk struct{}

// ErrHeld says that another process has the folder.
var ErrLocked = errors.New("held by another process")

// Create makes a file for reading and appending.
func (Disk) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR|os.O_APPEND|os.O_CREATE|os.O_EXCL, 0o600)
}

// Open opens one that is there.
func (Disk) Open(name string) (File, error) { return os.OpenFile(name, os.O_RDWR|os.O_APPEND, 0) }

// Remove takes one away.
func (Disk) Remove(name string) error { return os.Remove(name) }

// List gives the names in a folder.
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

// SyncDir makes a folder's names durable.
func (Disk) SyncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock holds a folder by a file in it; the hold ends with the process.
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
