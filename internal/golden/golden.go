// Package kept compares what a test printed with what is kept in its testdata. It is for tests only, and must
// never change what it compares.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write what is kept anew")

// Check fails the test where the text differs from testdata/NAME.txt.
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
		t.Errorf("%s differs (-kept +now):\n%s", file, diff)
	}
}
