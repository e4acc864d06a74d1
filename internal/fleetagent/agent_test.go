package fleetagent

import (
	"os"
	"path/filepath"
	"testing"

	"weldmast/internal/fleet"
)

// TestStateDir checks that written data can be read, that a corrupt file counts as absent, and that only one
// process writes.
func TestStateDir(t *testing.T) {
	dir := t.TempDir()
	s := fleet.NewState("f")
	if _, _, err := s.Apply(fleet.Command{Kind: fleet.PublishVersion, RequestID: "r", Text: []byte("{}")}); err != nil {
		t.Fatal(err)
	}
	g := NewLeaseGuard(NewClock(), "run")
	g.VersionInForce(1)
	g.RecordAction(fleet.HandedOff)
	f := openStateDir(dir)
	f.write(s, []fleet.RunRecord{g.runRecord()})
	other := openStateDir(dir)
	other.write(fleet.NewState("f"), nil) // the directory is locked by another process
	read := func() (uint64, int) {
		s, runs := openStateDir(dir).read("f")
		return s.LastSeq(), len(runs)
	}
	if n, runs := read(); n != 1 || runs != 1 {
		t.Fatalf("read back: %d entries, %d runs", n, runs)
	}
	if s, _ := openStateDir(dir).read("g"); s.LastSeq() != 0 {
		t.Error("another fleet's history is accepted")
	}
	for _, name := range []string{historyFile, recordFile} {
		path := filepath.Join(dir, name)
		whole, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for at := range whole {
			text := append([]byte(nil), whole...)
			text[at] ^= 1
			if err := os.WriteFile(path, text, 0o600); err != nil {
				t.Fatal(err)
			}
			if n, runs := read(); name == historyFile && n != 0 || name == recordFile && runs != 0 {
				t.Fatalf("%s: bit flip in byte %d not detected", name, at)
			}
		}
		if err := os.WriteFile(path, whole[:len(whole)/2], 0o600); err != nil {
			t.Fatal(err)
		}
		read()
		if err := os.WriteFile(path, whole, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	f.close()
	other.write(s, nil)
	if _, runs := read(); runs != 0 {
		t.Error("an unlocked directory is not written")
	}
}

// TestRunRecord checks that actions are counted under the version active at their time.
func TestRunRecord(t *testing.T) {
	g := NewLeaseGuard(NewClock(), "run")
	g.RecordAction(fleet.Deferred)
	g.VersionInForce(3)
	g.VersionInForce(3)
	g.RecordAction(fleet.HandedOff)
	g.RecordAction(fleet.HandedOff)
	r := g.runRecord()
	if len(r.Versions) != 2 || r.Versions[0].Counts[fleet.Deferred].Count != 1 || r.Versions[1].Version != 3 || r.Versions[1].Counts[fleet.HandedOff].Count != 2 {
		t.Errorf("run record: %+v", r)
	}
	if g.Allowed() {
		t.Error("a new guard is open")
	}
	g.setOpenUntil(g.clock.Now() + 1e6)
	if !g.Allowed() {
		t.Error("guard closed before its time")
	}
	g.close()
	if g.Allowed() || !g.runRecord().CleanExit {
		t.Error("guard open after close, or no clean exit recorded")
	}
}
