package logs

import (
	"log"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestBound: a flood of one kind is cut and counted, another kind still comes through, a line has an end.
func TestBound(t *testing.T) {
	var out strings.Builder
	now := time.Unix(1000, 0).UTC()
	l := log.New(New(&out, func() time.Time { return now }), "", 0)
	for range 5000 {
		l.Printf("bad=%q", "x")
	}
	l.Printf("phase=draining")
	now = now.Add(time.Second)
	l.Printf("bad=%q", strings.Repeat("y", 5000))
	at := "1970/01/01 00:16:40.000000 "
	want := strings.Repeat(at+"bad=\"x\"\n", mostEach) + at + "phase=draining\n" +
		"1970/01/01 00:16:41.000000 dropped=4980 of=bad\n" +
		"1970/01/01 00:16:41.000000 bad=\"" + strings.Repeat("y", mostLong-5) + "\n"
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("log differs (-want +got):\n%s", diff)
	}
}
