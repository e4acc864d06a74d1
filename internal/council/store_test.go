package council

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

// TestDisk: what was saved is there at the next start, an overruled suffix is not.
func TestDisk(t *testing.T) {
	dir := t.TempDir()
	d, _, _, fresh, err := OpenDisk(dir, "v")
	if err != nil || !fresh {
		t.Fatal(fresh, err)
	}
	check := func(errs ...error) {
		t.Helper()
		if err := errors.Join(errs...); err != nil {
			t.Fatal(err)
		}
	}
	check(d.Found("v", First("f", []fleet.Voter{{Name: "v", Address: "a", Seat: 9}})), d.Started(1),
		d.Save(&pb.HardState{Term: proto.Uint64(2), Vote: proto.Uint64(9), Commit: proto.Uint64(2)}, []*pb.Entry{entry(2, 2, "a"), entry(3, 2, "b"), entry(4, 2, "c")}, nil),
		d.Save(nil, []*pb.Entry{entry(3, 3, "other")}, nil))
	if known, err := d.Seen("w", 3, "run"); err != nil || known != 0 {
		t.Error(known, err)
	}
	for _, c := range []struct {
		starts uint64
		run    string
		want   uint64
	}{{3, "run", 2}, {3, "copy", 3}, {4, "next", 3}, {0, "empty", 4}} { // the same start again; an older folder; the next; an empty one
		if known, err := d.Seen("w", c.starts, c.run); err != nil || known != c.want {
			t.Errorf("%+v: known %d, %v", c, known, err)
		}
	}
	check(d.Close())
	d, kept, starts, fresh, err := OpenDisk(dir, "v")
	if err != nil || fresh || starts != 1 || kept.Hard.GetTerm() != 2 || kept.Hard.GetVote() != 9 || len(kept.Entries) != 2 || string(kept.Entries[1].GetData()) != "other" {
		t.Fatalf("%v %v %d %+v", err, fresh, starts, kept)
	}
	check(d.Close())
	if _, _, _, _, err := OpenDisk(dir, "w"); err == nil {
		t.Error("another voter's folder is taken")
	}
}

// TestFlipped: a bit turned round in a folder is found, or changes nothing that was promised.
func TestFlipped(t *testing.T) {
	dir := t.TempDir()
	d, _, _, _, err := OpenDisk(dir, "v")
	if err != nil {
		t.Fatal(err)
	}
	if err := errors.Join(d.Found("v", First("f", []fleet.Voter{{Name: "v", Address: "a", Seat: 9}})), d.Started(7),
		d.Save(&pb.HardState{Term: proto.Uint64(2), Vote: proto.Uint64(9), Commit: proto.Uint64(2)}, []*pb.Entry{entry(2, 2, "a"), entry(3, 2, "b")}, nil), d.Close()); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, FileName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	found, kept := 0, 0
	for at := 0; at < len(whole); at += 41 {
		text := bytes.Clone(whole)
		text[at] ^= 1 << (at % 8)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		d, k, starts, fresh, err := OpenDisk(dir, "v")
		switch {
		case err != nil:
			found++
			continue
		case fresh || starts != 7 || k.Hard.GetTerm() != 2 || k.Hard.GetVote() != 9 || len(k.Entries) != 2 || string(k.Entries[1].GetData()) != "b":
			t.Errorf("byte %d turned round: %v, %d starts, %+v", at, fresh, starts, k)
		default:
			kept++
		}
		d.Close()
	}
	if found == 0 {
		t.Error("nothing was ever found")
	}
	t.Logf("%d found, %d changed nothing", found, kept)
}
