package consensus

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"weldmast/internal/fleet"
)

func entry(index, term uint64, data string) *pb.Entry {
	return &pb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: []byte(data)}
}

// TestDiskStore checks that saved data is there at the next start, and an overridden suffix is not.
func TestDiskStore(t *testing.T) {
	dir := t.TempDir()
	d, _, _, fresh, err := OpenDiskStore(dir, "v")
	if err != nil || !fresh {
		t.Fatal(fresh, err)
	}
	check := func(errs ...error) {
		t.Helper()
		if err := errors.Join(errs...); err != nil {
			t.Fatal(err)
		}
	}
	check(d.Init("v", InitialState("f", []fleet.Voter{{Name: "v", Address: "a", RaftID: 9}})), d.RecordStart(1),
		d.Save(&pb.HardState{Term: proto.Uint64(2), Vote: proto.Uint64(9), Commit: proto.Uint64(2)}, []*pb.Entry{entry(2, 2, "a"), entry(3, 2, "b"), entry(4, 2, "c")}, nil),
		d.Save(nil, []*pb.Entry{entry(3, 3, "other")}, nil))
	if known, err := d.RecordPeerStart("w", 3, "run"); err != nil || known != 0 {
		t.Error(known, err)
	}
	for _, c := range []struct {
		starts uint64
		run    string
		want   uint64
		// the same start again; an outdated directory; the next start; an empty directory
	}{{3, "run", 2}, {3, "copy", 3}, {4, "next", 3}, {0, "empty", 4}} {
		if known, err := d.RecordPeerStart("w", c.starts, c.run); err != nil || known != c.want {
			t.Errorf("%+v: known %d, %v", c, known, err)
		}
	}
	check(d.Close())
	d, persisted, starts, fresh, err := OpenDiskStore(dir, "v")
	if err != nil || fresh || starts != 1 || persisted.HardState.GetTerm() != 2 || persisted.HardState.GetVote() != 9 || len(persisted.Entries) != 2 || string(persisted.Entries[1].GetData()) != "other" {
		t.Fatalf("%v %v %d %+v", err, fresh, starts, persisted)
	}
	check(d.Close())
	if _, _, _, _, err := OpenDiskStore(dir, "w"); err == nil {
		t.Error("another voter's directory is accepted")
	}
}

// TestPeerStartsBeforeInit: starts of other voters that were recorded in a fresh directory are kept when it is
// initialized, also by a process that starts again before that. Otherwise a voter that lost its folder would be
// known to nobody.
func TestPeerStartsBeforeInit(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		dir := t.TempDir()
		d, _, _, _, err := OpenDiskStore(dir, "v")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := d.RecordPeerStart("w", 1, "run"); err != nil {
			t.Fatal(err)
		}
		if restarts {
			d.Close()
			var fresh bool
			if d, _, _, fresh, err = OpenDiskStore(dir, "v"); err != nil || !fresh {
				t.Fatalf("opened again before it is initialized: fresh %v, %v", fresh, err)
			}
		}
		if err := errors.Join(d.Init("v", InitialState("f", []fleet.Voter{{Name: "v", Address: "a", RaftID: 9}})), d.RecordStart(1), d.Close()); err != nil {
			t.Fatal(err)
		}
		d, _, _, fresh, err := OpenDiskStore(dir, "v")
		if err != nil || fresh {
			t.Fatal(fresh, err)
		}
		if known, err := d.RecordPeerStart("w", 0, "empty"); err != nil || known != 1 {
			t.Errorf("restarts %v: %d starts known, %v", restarts, known, err)
		}
		d.Close()
	}
}

// TestDiskStoreCompaction covers a compacted directory, a start after it, and a snapshot larger than one
// record.
func TestDiskStoreCompaction(t *testing.T) {
	dir := t.TempDir()
	d, _, _, _, err := OpenDiskStore(dir, "v")
	if err != nil {
		t.Fatal(err)
	}
	big := &pb.Snapshot{Data: bytes.Repeat([]byte("x"), 3*snapshotPartBytes/2), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(3), Term: proto.Uint64(2)}}
	if err := errors.Join(d.Init("v", InitialState("f", []fleet.Voter{{Name: "v", Address: "a", RaftID: 9}})), d.SetRaftID(5),
		d.Save(&pb.HardState{Term: proto.Uint64(2), Commit: proto.Uint64(2)}, []*pb.Entry{entry(2, 2, "a"), entry(3, 2, "b"), entry(4, 2, "c")}, nil),
		d.Compact(big, 1), d.Save(nil, []*pb.Entry{entry(5, 2, "d")}, nil), d.Close()); err != nil {
		t.Fatal(err)
	}
	d, persisted, _, _, err := OpenDiskStore(dir, "v")
	if err != nil || d.RaftID() != 5 || len(persisted.Snapshot.GetData()) != len(big.GetData()) || len(persisted.Entries) != 2 || persisted.Entries[1].GetIndex() != 5 {
		t.Fatalf("%v %+v", err, persisted.Entries)
	}
	// Thousands of entries: the oldest segments are dropped, the complete state remains.
	text := string(bytes.Repeat([]byte("y"), 60<<10))
	for index := uint64(6); index < 4000; index++ {
		if err := d.Save(nil, []*pb.Entry{entry(index, 2, text)}, nil); err != nil {
			t.Fatal(err)
		}
		if index%compactThreshold == 0 {
			snap := &pb.Snapshot{Data: []byte("s"), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(index - 1), Term: proto.Uint64(2)}}
			if err := d.Compact(snap, 1); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	d, persisted, _, _, err = OpenDiskStore(dir, "v")
	if err != nil || persisted.Entries[len(persisted.Entries)-1].GetIndex() != 3999 {
		t.Fatal(err)
	}
	if segments, err := os.ReadDir(filepath.Join(dir, DirName)); err != nil || len(segments) > maxSegments+2 {
		t.Errorf("%d segment files, error %v", len(segments), err)
	}
	d.Close()
}

// TestDiskStoreBitFlips checks that a flipped bit in a directory is detected, or changes no acknowledged
// data.
func TestDiskStoreBitFlips(t *testing.T) {
	dir := t.TempDir()
	d, _, _, _, err := OpenDiskStore(dir, "v")
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(d.Init("v", InitialState("f", []fleet.Voter{{Name: "v", Address: "a", RaftID: 9}})), d.RecordStart(7),
		d.Save(&pb.HardState{Term: proto.Uint64(2), Vote: proto.Uint64(9), Commit: proto.Uint64(2)}, []*pb.Entry{entry(2, 2, "a"), entry(3, 2, "b")}, nil), d.Close()); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, DirName, "0000000001.seg")
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	found, unchanged := 0, 0
	for at := range whole {
		text := bytes.Clone(whole)
		text[at] ^= 1 << (at % 8)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		d, k, starts, fresh, err := OpenDiskStore(dir, "v")
		switch {
		case err != nil:
			found++
			continue
		case fresh || starts != 7 || k.HardState.GetTerm() != 2 || k.HardState.GetVote() != 9 || len(k.Entries) != 2 || string(k.Entries[1].GetData()) != "b":
			t.Errorf("bit flip in byte %d: fresh %v, %d starts, %+v", at, fresh, starts, k)
		default:
			unchanged++
		}
		d.Close()
	}
	if found < len(whole)*9/10 { // only damage to the last seal may go undetected
		t.Errorf("%d of %d bit flips detected, %d changed nothing", found, len(whole), unchanged)
	}
}
