// This file implements a member's directory: the last known state of the fleet and the run records. Each file
// is complete or absent; a corrupt file counts as absent. It must never keep the member from its work: write
// errors are logged.

package fleetagent

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"os"
	"path/filepath"
	"slices"

	"github.com/gofrs/flock"

	"weldmast/internal/fleet"
)

const (
	historyFile  = "history"
	recordFile   = "record"
	lockFile     = "LOCK"
	retainedRuns = 4
)

type stateDir struct {
	path          string
	lock          *flock.Flock
	locked        bool
	storedSeq     uint64       // last entry that a predecessor process had stored
	writtenDigest fleet.Digest // of the state that this process has stored
	syncedVersion uint64       // newest version in a file whose name is durable
	loggedError   string
}

func openStateDir(path string) *stateDir {
	return &stateDir{path: path, lock: flock.New(filepath.Join(path, lockFile))}
}

// read returns the stored state and runs, or an empty state if nothing is stored.
func (d *stateDir) read(name string) (*fleet.State, []fleet.RunRecord) {
	s := fleet.NewState(name)
	if d.path == "" {
		return s, nil
	}
	if text, err := d.readFile(historyFile); err == nil {
		if stored, err := fleet.Restore(text); err != nil || stored.Fleet() != name {
			d.logError(fmt.Errorf("%s: not usable: %w", historyFile, err))
		} else {
			s = stored
		}
	} else if !errors.Is(err, os.ErrNotExist) {
		d.logError(err)
	}
	var runs []fleet.RunRecord
	if text, err := d.readFile(recordFile); err == nil {
		if err := fleet.Decode(text, &runs); err != nil {
			d.logError(fmt.Errorf("%s: %w", recordFile, err))
			runs = nil
		}
	} else if !errors.Is(err, os.ErrNotExist) {
		d.logError(err)
	}
	if over := len(runs) - retainedRuns; over > 0 {
		runs = slices.Delete(runs, 0, over)
	}
	return s, runs
}

// write saves the runs and the state if this process holds the lock: a predecessor process of this member may
// still hold it. It reports whether the directory has the state, or a later one.
func (d *stateDir) write(s *fleet.State, runs []fleet.RunRecord) (saved bool) {
	if d.path == "" || !d.acquire(s.Fleet()) {
		return false
	}
	err := d.writeFile(recordFile, fleet.Encode(runs))
	d.logError(err)
	return err == nil && d.writeState(s)
}

// writeState is write without the runs.
func (d *stateDir) writeState(s *fleet.State) (saved bool) {
	if d.path == "" || !d.acquire(s.Fleet()) {
		return false
	}
	err := d.writeHistory(s)
	d.logError(err)
	return err == nil
}

// acquire locks the directory. It returns false if another process has the lock.
func (d *stateDir) acquire(name string) bool {
	if d.locked {
		return true
	}
	locked, err := d.lock.TryLock()
	if d.locked = locked; !locked {
		if err != nil {
			d.logError(err)
		}
		return false
	}
	stored, _ := d.read(name)
	d.storedSeq = stored.LastSeq()
	return true
}

// writeHistory writes the state, unless it is written already. This process may know less than its predecessor
// stored: an older state does not replace a newer one.
func (d *stateDir) writeHistory(s *fleet.State) error {
	if s.LastSeq() > 0 && s.Digest() == d.writtenDigest || s.LastSeq() < d.storedSeq {
		return nil
	}
	err := d.writeFile(historyFile, s.Snapshot())
	if err == nil && s.NewestVersion() != d.syncedVersion {
		err = d.sync()
	}
	if err == nil {
		d.writtenDigest, d.syncedVersion = s.Digest(), s.NewestVersion()
	}
	return err
}

// sync makes the names of the files durable.
func (d *stateDir) sync() error {
	dir, err := os.Open(d.path)
	if err != nil {
		return fmt.Errorf("fleet.folder: %w", err)
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// logError logs an error when it first occurs or changes, and an empty one when it no longer occurs.
func (d *stateDir) logError(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text != d.loggedError {
		slog.Warn("fleet", "fleet", "folder", "err", text)
	}
	d.loggedError = text
}

var crcTable = crc32.MakeTable(crc32.Castagnoli)

func (d *stateDir) readFile(name string) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(d.path, name))
	if err != nil {
		return nil, fmt.Errorf("fleet.folder: %w", err)
	}
	if len(b) < 4 || crc32.Checksum(b[4:], crcTable) != binary.BigEndian.Uint32(b) {
		return nil, fmt.Errorf("fleet.folder: %s: checksum mismatch", name)
	}
	return b[4:], nil
}

// writeFile replaces a file atomically, or leaves the previous one.
func (d *stateDir) writeFile(name string, text []byte) error {
	tmp, err := os.CreateTemp(d.path, name+".*.new")
	if err != nil {
		return fmt.Errorf("fleet.folder: %w", err)
	}
	defer os.Remove(tmp.Name()) // already renamed on success
	_, err = tmp.Write(append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(text, crcTable)), text...))
	if err = errors.Join(err, tmp.Sync(), tmp.Close()); err == nil {
		err = os.Rename(tmp.Name(), filepath.Join(d.path, name))
	}
	if err != nil {
		return fmt.Errorf("fleet.folder: %w", err)
	}
	return nil
}

func (d *stateDir) close() {
	if d.locked {
		_ = d.lock.Unlock() // the process exits
	}
}
