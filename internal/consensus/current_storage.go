// This file gives raft snapshots of the present state. The last compaction's snapshot may be from before a voter got
// its seat: raft ignores a snapshot whose voters do not include the receiver, and that voter would never get a log.

package consensus

import (
	"errors"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// currentStorage is raft's view of the log, with snapshots of what the core has applied.
type currentStorage struct {
	*raft.MemoryStorage
	core *Core
}

// Snapshot returns a snapshot of what the core has applied.
func (s *currentStorage) Snapshot() (*pb.Snapshot, error) {
	c := s.core
	snapshot, err := s.CreateSnapshot(c.appliedIndex, c.confState, c.state.Snapshot())
	if errors.Is(err, raft.ErrSnapOutOfDate) { // the last one is of the same index
		return s.MemoryStorage.Snapshot()
	}
	return snapshot, err
}
