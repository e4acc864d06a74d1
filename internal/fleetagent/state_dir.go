// This file owns a member's folder: the history as last known, and the record of acts. Each file is whole or absent; one
// that is not as it was written counts as absent. It must never keep the member from its work: what cannot be written is
// logged.

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
	historyFile = "history"
	recordFile  = "record"
	lockFile    = "LOCK"
	runsKept    = 4
)

type folder struct {
	dir   string
	lock  *flock.Flock
	held  bool
	wrote fleet.Digest
	fault string
}

func openFolder(dir string) *folder {
	return &folder{dir: dir, lock: flock.New(filepath.Join(dir, lockFile))}
}

// read gives what is there, and an empty history where nothing is.
func (f *folder) read(name string) (*fleet.State, []fleet.RunRecord) {
	s := fleet.NewState(name)
	if f.dir == "" {
		return s, nil
	}
	if text, err := f.load(historyFile); err == nil {
		if kept, err := fleet.Restore(text); err != nil || kept.Fleet() != name {
			f.say(fmt.Errorf("%s: of no use: %w", historyFile, err))
		} else {
			s = kept
		}
	} else if !errors.Is(err, os.ErrNotExist) {
		f.say(err)
	}
	var runs []fleet.RunRecord
	if text, err := f.load(recordFile); err == nil {
		if err := fleet.Decode(text, &runs); err != nil {
			f.say(fmt.Errorf("%s: %w", recordFile, err))
			runs = nil
		}
	} else if !errors.Is(err, os.ErrNotExist) {
		f.say(err)
	}
	if over := len(runs) - runsKept; over > 0 {
		runs = slices.Delete(runs, 0, over)
	}
	return s, runs
}

// write keeps both, if the folder is this process's: an older one of this member may still hold it.
func (f *folder) write(s *fleet.State, runs []fleet.RunRecord) {
	if f.dir == "" {
		return
	}
	if !f.held {
		held, err := f.lock.TryLock()
		if f.held = held; !held {
			if err != nil {
				f.say(err)
			}
			return
		}
	}
	err := f.store(recordFile, fleet.Encode(runs))
	if err == nil && (s.Digest() != f.wrote || s.LastSeq() == 0) {
		if err = f.store(historyFile, s.Snapshot()); err == nil {
			f.wrote = s.Digest()
		}
	}
	f.say(err)
}

// say logs a fault once, and its end.
func (f *folder) say(err error) {
	what := ""
	if err != nil {
		what = err.Error()
	}
	if what != f.fault {
		slog.Warn("fleet", "fleet", "folder", "err", what)
	}
	f.fault = what
}

var table = crc32.MakeTable(crc32.Castagnoli)

func (f *folder) load(name string) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(f.dir, name))
	if err != nil {
		return nil, fmt.Errorf("fleet.folder: %w", err)
	}
	if len(b) < 4 || crc32.Checksum(b[4:], table) != binary.BigEndian.Uint32(b) {
		return nil, fmt.Errorf("fleet.folder: %s is not as it was written", name)
	}
	return b[4:], nil
}

// store writes a file whole or leaves the one before.
func (f *folder) store(name string, text []byte) error {
	t, err := os.CreateTemp(f.dir, name+".*.new")
	if err != nil {
		return fmt.Errorf("fleet.folder: %w", err)
	}
	defer os.Remove(t.Name()) // gone by then if all went well
	_, err = t.Write(append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(text, table)), text...))
	if err = errors.Join(err, t.Sync(), t.Close()); err == nil {
		err = os.Rename(t.Name(), filepath.Join(f.dir, name))
	}
	if err != nil {
		return fmt.Errorf("fleet.folder: %w", err)
	}
	return nil
}

func (f *folder) close() {
	if f.held {
		_ = f.lock.Unlock() // the process ends
	}
}
