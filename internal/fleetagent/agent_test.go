package fleetagent

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

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

// stateWith returns a state with so many versions.
func stateWith(t *testing.T, versions int) *fleet.State {
	t.Helper()
	s := fleet.NewState("f")
	for k := range versions {
		if _, _, err := s.Apply(fleet.Command{Kind: fleet.PublishVersion, RequestID: fmt.Sprint(k), Text: []byte("{}")}); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// startIsolatedAgent starts an agent that reaches no voter and applies versions at once.
func startIsolatedAgent(t *testing.T, dir string) *Agent {
	clock := NewClock()
	a := Start(Options{Fleet: "f", Name: "m", Dir: dir, Timing: fleet.Timing{Beat: 250, Lease: 1000, Drift: 0.01}, ProgramVersion: "1.0.0", Clock: clock,
		OwnsAddress:  func() bool { return true },
		ApplyVersion: func(_ fleet.Version, applied func(string)) error { go applied(""); return nil }}, NewLeaseGuard(clock, "run"))
	t.Cleanup(a.Close)
	return a
}

// receive makes the agent follow to a state, as if a voter had sent it, and waits until its version is active.
func (a *Agent) receive(t *testing.T, s *fleet.State) {
	t.Helper()
	a.mu.Lock()
	if err := a.holder.ReplaceState(s); err != nil {
		t.Fatal(err)
	}
	a.requestSave()
	a.applyNewest()
	a.mu.Unlock()
	waitFor(t, "the version to be active", func() bool { return a.heartbeat().ActiveVersion == s.NewestVersion() })
}

func (a *Agent) heartbeat() fleet.Heartbeat {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.newHeartbeat(false)
}

func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for ", what)
		}
	}
}

// TestVersionSavedBeforeReported guards against a fence that counts a member whose directory does not have the
// version yet: killed and started without a voter, it acted on the older one.
func TestVersionSavedBeforeReported(t *testing.T) {
	dir := t.TempDir()
	a := startIsolatedAgent(t, dir)
	fastest := saveInterval
	for version := uint64(1); version <= 4; version++ {
		began := time.Now()
		a.receive(t, stateWith(t, int(version)))
		waitFor(t, "the version to be reported as saved", func() bool { return a.heartbeat().SavedVersion == version })
		if s, _ := openStateDir(dir).read("f"); s.NewestVersion() != version {
			t.Errorf("version %d is reported as saved, but %d is in the directory", version, s.NewestVersion())
		}
		fastest = min(fastest, time.Since(began))
	}
	if fastest > saveInterval/4 {
		t.Errorf("saved after %v, not at once", fastest)
	}
}

// TestVersionNotSaved: a version that cannot be saved is active, but not reported as saved.
func TestVersionNotSaved(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "removed")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	a := startIsolatedAgent(t, dir)
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	a.receive(t, stateWith(t, 1))
	time.Sleep(saveInterval + saveInterval/2)
	if hb := a.heartbeat(); hb.ActiveVersion != 1 || hb.SavedVersion != 0 {
		t.Errorf("version %d is reported as active and %d as saved, without a directory", hb.ActiveVersion, hb.SavedVersion)
	}
}

// TestOlderStateNotSaved guards against a process that knows less than its predecessor and replaces what that
// one has stored.
func TestOlderStateNotSaved(t *testing.T) {
	dir := t.TempDir()
	predecessor, successor := openStateDir(dir), openStateDir(dir)
	if !predecessor.write(stateWith(t, 1), nil) || successor.write(fleet.NewState("f"), nil) {
		t.Fatal("the predecessor does not have the directory")
	}
	predecessor.close()
	successor.write(fleet.NewState("f"), nil)
	if s, _ := openStateDir(dir).read("f"); s.NewestVersion() != 1 {
		t.Errorf("version %d is left in the directory", s.NewestVersion())
	}
}
