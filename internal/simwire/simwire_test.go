package simwire

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const configureLine = "configure\ti=3\tnonce64=5\tgranularity=1000\tsiblings=1\tallowed.max_hand_offs=3\tallowed.may_cancel=true\t" +
	"allowed.retry_after=true\tallowed.max_retry_after=2000000\tcategories.count=1\tcategories.0.name=plan\t" +
	"categories.0.semantics=repeatable\tcategories.0.due_time=300000\tcategories.0.expiry=5000000\tdiscovery=push\t" +
	"family_info.tells_start=true\tlocalities=a,b\tlocality=a\tmachine_types=twin\tsafety.answer_slack=20000\t" +
	"safety.cold=20000000\tsafety.fall=2000000\tsafety.fall_multiple=3.0\tsafety.start_capacity=0.1\tunheard.of=1\n"

// TestRoundTrip serves testdata/in.txt and compares the output with testdata/out.txt.
func TestRoundTrip(t *testing.T) {
	in, err := os.ReadFile("testdata/in.txt")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/out.txt")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := Serve(strings.NewReader(strings.ReplaceAll(string(in), "CONFIGURE\n", configureLine)), &out); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), out.String()); diff != "" {
		t.Errorf("output differs (-want +got):\n%s", diff)
	}
}

// TestBadInput checks that invalid input yields an error that names the line and what is wrong with it.
func TestBadInput(t *testing.T) {
	const clock = "clock\tsim_time=1000\tbatch=1\n"
	for _, c := range []struct{ in, want string }{
		{"hello\n", `line 1: want clock, got "hello"`},
		{"clock\tsim_time=1000\n", "line 1: clock: batch is missing"},
		{"clock\tsim_time=x\tbatch=1\n", "line 1: clock: sim_time is not a whole number"},
		{clock, "line 1: input ends inside a batch"},
		{"clock\tsim", "line 1: input ends inside a line"},
		{clock + "power_off\ti=4\n", "line 2: instance 4 was never configured"},
		{clock + "client_left\ti=4\tjob=1\n", "line 2: instance 4 is not configured"},
		{clock + "configure\ti=3\tnonce64=5\n", "line 2: configure: categories.count is missing"},
		{clock + strings.TrimSuffix(configureLine, "\n") + "\tsafety.only_draining_binds=maybe\n", "line 2: configure: safety.only_draining_binds is neither true nor false"},
		{clock + configureLine + "dance\ti=3\ncommit\n", `line 3: unknown message "dance"`},
		{clock + configureLine + "req\ti=3\tjob=1\tlane=other\ttime_left=5\ncommit\n", "line 3: req: lane is not a known category"},
		{clock + configureLine + "req\ti=3\tjob=1\tlane=plan\ncommit\n", "line 3: req: time_left is missing"},
		{clock + configureLine + "reply\ti=3\tjob=1\tshot=0\tworker=w\tstatus=Odd\tspent=1\ncommit\n", "line 3: reply: status is unknown"},
		{clock + configureLine + "heard\ti=3\tsrc_peer=0\tcontents=zz\ncommit\n", "line 3: heard: contents is not hex"},
		{clock + "inventory\tset_id=0\trecords=1\ncommit\n", `line 3: want a list entry m, got "commit"`},
		{clock + "inventory\tset_id=16\trecords=0\n", "line 2: inventory: set_id or records is out of range"},
	} {
		got := "no error"
		if err := Serve(strings.NewReader(c.in), &strings.Builder{}); err != nil {
			got = err.Error()
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("input %q (-want +got):\n%s", c.in, diff)
		}
	}
}
