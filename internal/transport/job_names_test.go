package transport

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"weldmast/internal/dispatch"
	"weldmast/internal/node"
	"weldmast/internal/settings"
)

// TestJobNamesAcrossSettings guards against a job meaning something else in a process with other settings: for any
// two configurations, the category, the tenant and the kind keep their names, and the category its promises.
func TestJobNamesAcrossSettings(t *testing.T) {
	drawNames := func(rt *rapid.T, label string) []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 1, 5, rapid.ID[string]).Draw(rt, label)
	}
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(label string) settings.Names {
			return settings.Names{Categories: drawNames(rt, label+" categories"), Tenants: drawNames(rt, label+" tenants"), Kinds: drawNames(rt, label+" kinds")}
		}
		there, here := draw("there"), draw("here")
		category := dispatch.Category{Repeat: dispatch.RepeatPolicy(rapid.IntRange(0, 2).Draw(rt, "repeat")),
			DedupScope: dispatch.DedupScope(rapid.IntRange(0, 2).Draw(rt, "scope")), DedupWindow: 400, Expiry: 5000,
			Kind: rapid.IntRange(-1, len(there.Kinds)-1).Draw(rt, "kind")}
		sent := node.Job{ID: "x", Category: rapid.IntRange(-1, len(there.Categories)-1).Draw(rt, "category"),
			Tenant: rapid.IntRange(-1, len(there.Tenants)-1).Draw(rt, "tenant"), AcceptedAs: &category}
		names := (&Transport{options: Options{Names: there}}).namesOf(&sent, &message{})
		text, err := json.Marshal(transferredJob{Job: sent, Names: names})
		if err != nil {
			rt.Fatal(err)
		}
		var received transferredJob
		if err := json.Unmarshal(text, &received); err != nil {
			rt.Fatal(err)
		}
		if err := received.resolve(here); err != nil {
			rt.Fatal(err)
		}
		job := received.Job
		for _, part := range []struct {
			name, want string
			names      []string
			position   int
		}{
			{"category", names.Category, here.Categories, job.Category},
			{"tenant", names.Tenant, here.Tenants, job.Tenant},
			{"kind", names.Kind, here.Kinds, job.AcceptedAs.Kind},
		} {
			if got := nameAt(part.names, part.position); got != part.want && got != "" {
				rt.Fatalf("%s: %q became %q", part.name, part.want, got)
			}
		}
		if names.Kind != "" && job.AcceptedAs.Kind < 0 {
			rt.Fatal("work for one kind may go to any")
		}
		accepted := *job.AcceptedAs
		accepted.Kind = category.Kind
		if diff := cmp.Diff(category, accepted); diff != "" {
			rt.Fatalf("the category's promises changed:\n%s", diff)
		}
	})
}

// TestJobWithoutNames guards against a crash on a job of an older version, which names nothing.
func TestJobWithoutNames(t *testing.T) {
	for position, known := range map[int]bool{-1: false, 0: true, 1: false, unknownPosition: false} {
		job := transferredJob{Job: node.Job{Category: position}}
		if err := job.resolve(settings.Names{Categories: []string{"a"}}); (err == nil) != known {
			t.Errorf("position %d: %v", position, err)
		}
	}
}
