package migrate

import (
	"fmt"
	"strings"
	"testing"

	"weldmast/internal/golden"
)

const oldConfig = `{"name":"n0","listen":"127.0.0.1:8000","discovery":"127.0.0.1:8500","seed":"0000000000000001","colour":"red",
	"limits":{"cores":1.0,"memory_mb":64,"disks":2},"peer_listen":"127.0.0.1:9000","peers":["127.0.0.1:9000","127.0.0.1:9001"],
	"known":{"revision":1,"complete":true,"members":[]},
	"settings":{"siblings":2,"position":1,"granularity":5000,"discovery":"push","localities":["a"],"locality":"a","machine_types":["m"],
		"goal":{"whole":0.65},"tier":0,"weights":"rough","workload":"jobs & more",
		"allowed":{"max_hand_offs":3,"peers":true},"safety":{"start_capacity":0.1,"cold":1000000,"fall":2000000,"fall_multiple":3.0},
		"categories":[{"name":"plan","semantics":"repeatable","due_time":300000,"expiry":5000000,"colour":"blue"}]}}`

func (r Result) String() string {
	return fmt.Sprintf("left\n  %s\nkept\n  %s\nlook\n  %s\nopen\n  %s\n%s", strings.Join(r.Dropped, "\n  "), strings.Join(r.CarriedUnread, "\n  "),
		strings.Join(r.ToReview, "\n  "), strings.Join(r.ToFillIn, "\n  "), r.Text)
}

// TestPlan checks what is carried over, that each thing that is not has a line, and that the same input gives
// the same bytes.
func TestPlan(t *testing.T) {
	first, err := Plan([]byte(oldConfig), OperatorValues{})
	if err != nil {
		t.Fatal(err)
	}
	filled, err := Plan([]byte(oldConfig), OperatorValues{Weights: "live", Load: "probe", Origin: "0.05"})
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "plan", "== nothing told\n"+first.String()+"== all told\n"+filled.String())
	for range 20 {
		if again, err := Plan([]byte(oldConfig), OperatorValues{}); err != nil || again.String() != first.String() {
			t.Fatalf("a repeated run gives another result: %v\n%s", err, again)
		}
	}
}

// TestInvalidInput checks that invalid input gives an error that names the key, and no result.
func TestInvalidInput(t *testing.T) {
	for text, want := range map[string]string{
		"":                                 "no JSON at byte 0",
		"{":                                "no JSON at byte 1",
		`{"name":"a" "b"}`:                 "no JSON at byte",
		`{"a":[1,}`:                        "no JSON at byte",
		"[]":                               "is not a JSON object",
		"{} {}":                            "more text after the JSON object",
		"{}":                               "settings: is missing",
		`{"settings":7}`:                   "settings: is not an object",
		`{"settings":{"prices":7}}`:        "settings.prices: is not an object",
		`{"settings":{"a":1},"limits":[]}`: "limits: is not an object",
		`{"name":"a","name":"b"}`:          "name: stands twice",
		`{"settings":{"categories":[{"a":1,"a":2}]}}`: "settings.categories.0.a: stands twice",
		`{"shape":2,"settings":{"a":1}}`:              "shape: is 2, the new one, already",
		`{"shape":"x","settings":{"a":1}}`:            "shape: x is none that this program knows",
	} {
		if r, err := Plan([]byte(text), OperatorValues{}); err == nil || !strings.Contains(err.Error(), want) || r.Text != nil {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}
