package tomlfile

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

type part struct {
	Name string  `toml:"name" need:"true"`
	Size float64 `toml:"size" min:"0.5" max:"2"`
}

func (p *part) Defaults() { p.Size = 1 }

type sheet struct {
	Level string `toml:"level" oneof:"info warn"`
	Count int    `toml:"count" min:"1"`
	Wait  Millis `toml:"wait" min:"0"`
	On    bool   `toml:"on"`
	Parts []part `toml:"part"`
	Tail  struct {
		Tags []string `toml:"tags"`
	} `toml:"tail"`
	Box *part `toml:"box"`
}

// TestAllFaults checks that all faults of a file are reported at once, each with its line and key.
func TestAllFaults(t *testing.T) {
	var s sheet
	d := Parse("x.toml", []byte(`level = "loud"
count = 0
wait = "soon"
on = 1
colour = "red"

[[part]]
name = "a"
[[part]]
size = 3
weight = 7
[tail]
tags = ["a", 2]
[box]
size = nan
name = "b"
`))
	d.Decode(&s)
	d.AddFault("part.0.name", "is taken")
	want := `x.toml:1: level: "loud" is none of info, warn
x.toml:2: count: 0 is below 1
x.toml:3: wait: "soon" is not a time such as "1.5s" or "200ms"
x.toml:4: on: is a whole number, wanted true or false
x.toml:5: colour: is not known here; known are box, count, level, on, part, tail, wait
x.toml:8: part.0.name: is taken
x.toml:9: part.1.name: is missing
x.toml:10: part.1.size: 3 is above 2
x.toml:11: part.1.weight: is not known here; known are name, size
x.toml:13: tail.tags.1: is a whole number, wanted a text
x.toml:15: box.size: NaN is not a finite number`
	if diff := cmp.Diff(want, d.Err().Error()); diff != "" {
		t.Errorf("faults differ (-want +got):\n%s", diff)
	}
}

// TestRead checks that omitted keys keep their defaults, and that numbers and texts are read as times.
func TestRead(t *testing.T) {
	s := sheet{Level: "info", Count: 3}
	d := Parse("x.toml", []byte("wait = \"1.5s\"\n[[part]]\nname = \"a\"\n[[part]]\nname = \"b\"\nsize = 2\n"))
	d.Decode(&s)
	if err := d.Err(); err != nil {
		t.Fatal(err)
	}
	want := sheet{Level: "info", Count: 3, Wait: 1500, Parts: []part{{"a", 1}, {"b", 2}}}
	if diff := cmp.Diff(want, s); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if got := Parse("x.toml", []byte("a = 1\nb = [\n")).Err(); got == nil || got.(*Faults).All[0].Line < 2 {
		t.Errorf("invalid TOML: %v", got)
	}
}
