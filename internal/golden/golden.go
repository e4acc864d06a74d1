// Package golden compares the output of a test with a golden file in its testdata directory. It is for tests
// only, and must never change the text that it compares.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden files with the current output")

// Check fails the test if got differs from testdata/NAME.txt. With the flag -update it first rewrites the
// file.
func Check(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name+".txt")
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s differs (-golden +got):\n%s", file, diff)
	}
}
