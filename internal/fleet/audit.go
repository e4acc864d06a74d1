// This file owns the audit: who acted on which version, from what members reported, with what is not known said.

package fleet

import (
	"cmp"
	"slices"
)

// Evidence says what an audit's line rests on.
type Evidence string

// The kinds of evidence.
const (
	Said      Evidence = "it said so"
	LeaseOver Evidence = "its lease was over"
	Nothing   Evidence = "nothing is known"
)

// Span is a time of which nothing is known, Unix; To 0: until now.
type Span struct {
	From float64 `cbor:"1,keyasint" json:"from_ms"`
	To   float64 `cbor:"2,keyasint" json:"to_ms"`
}

// Line is what one process of a member did under a version.
type Line struct {
	Member   string   `cbor:"1,keyasint" json:"member"`
	Run      string   `cbor:"2,keyasint" json:"run"`
	Acts     Acts     `cbor:"3,keyasint" json:"acts"`
	Evidence Evidence `cbor:"4,keyasint" json:"evidence"`
}

// Gap is a span of a member that no report covers.
type Gap struct {
	Member string `cbor:"1,keyasint" json:"member"`
	After  string `cbor:"2,keyasint" json:"after_run"`
	Span   Span   `cbor:"3,keyasint" json:"unknown"`
}

// VersionAudit is that of one version.
type VersionAudit struct {
	Version   uint64  `cbor:"1,keyasint" json:"version"`
	Sum       string  `cbor:"2,keyasint" json:"sum"`
	Published float64 `cbor:"3,keyasint" json:"published_ms"`
	By        string  `cbor:"4,keyasint" json:"by"`
	Fence     bool    `cbor:"5,keyasint" json:"fence"`
	Complete  float64 `cbor:"6,keyasint" json:"fence_complete_ms"` // 0: not yet
	Waits     []Wait  `cbor:"7,keyasint" json:"fence_waits_for,omitempty"`
	LastOlder float64 `cbor:"8,keyasint" json:"last_act_on_an_older_ms"` // anywhere, as far as is known; 0: none
	OlderBy   string  `cbor:"9,keyasint" json:"by_member,omitempty"`
	Lines     []Line  `cbor:"10,keyasint" json:"members"`
}

// Audit is the whole.
type Audit struct {
	N        uint64         `cbor:"1,keyasint" json:"entries"`
	Digest   string         `cbor:"2,keyasint" json:"digest"`
	Newest   uint64         `cbor:"3,keyasint" json:"newest"`
	Versions []VersionAudit `cbor:"4,keyasint" json:"versions"`
	Unknown  []Gap          `cbor:"5,keyasint" json:"unknown"`
	Members  []Status       `cbor:"6,keyasint" json:"standing"`
}

// Audit says who acted on which version: the given one, or all for 0, those published since the given time.
func (b *Book) Audit(now, unix float64, s *State, version uint64, since float64) Audit {
	a := Audit{N: s.N(), Digest: s.Digest().String(), Newest: s.Newest(), Members: b.Members(now, s)}
	all := append([]Version{{}}, s.Versions()...)
	for k, v := range all {
		if v.Number == 0 && k > 0 || version != 0 && v.Number != version || v.At < since && v.Number > 0 || since > 0 && v.Number == 0 {
			continue
		}
		x := VersionAudit{Version: v.Number, Published: v.At, By: v.By, Fence: v.Fence}
		if v.Number > 0 {
			x.Sum = v.Sum.String()
		}
		if v.Fence {
			x.Complete, x.Waits = b.Fence(now, unix, v.Number, s)
		}
		for _, m := range s.Members() {
			said := len(x.Lines)
			for _, run := range b.runs[m.Name] {
				for _, acts := range run.Versions {
					switch last := acts.Last(); {
					case acts.Version == v.Number:
						x.Lines = append(x.Lines, Line{m.Name, run.ID, acts, Said})
					case acts.Version < v.Number && last > x.LastOlder:
						x.LastOlder, x.OlderBy = last, m.Name
					}
				}
			}
			if len(x.Lines) == said && v.Number > 0 { // it never said that this was in force there
				l := Line{Member: m.Name, Acts: Acts{Version: v.Number}, Evidence: Nothing}
				if x.Complete > 0 && !m.Removed { // a fence waits for nobody who was removed
					l.Evidence = LeaseOver
				}
				x.Lines = append(x.Lines, l)
			}
		}
		a.Versions = append(a.Versions, x)
	}
	a.Unknown = b.gaps(now, s)
	return a
}

// gaps are the spans that no report covers: after a run that did not end in order, until the next began, or until now if
// its member is silent.
func (b *Book) gaps(now float64, s *State) (all []Gap) {
	for _, m := range s.Members() {
		began, reported := slices.Clone(m.Runs), map[string]Run{}
		for _, run := range b.runs[m.Name] {
			if reported[run.ID] = run; !m.Has(run.ID) {
				began = append(began, Began{run.ID, run.Began})
			}
		}
		slices.SortStableFunc(began, func(x, y Began) int { return cmp.Compare(x.At, y.At) })
		switch {
		case len(began) == 0:
			all = append(all, Gap{Member: m.Name, Span: Span{From: m.First}})
		case began[0].At > m.First: // more than are remembered
			all = append(all, Gap{Member: m.Name, Span: Span{From: m.First, To: began[0].At}})
		}
		for k, x := range began {
			run, said := reported[x.Run]
			g := Gap{Member: m.Name, After: x.Run, Span: Span{From: max(run.Saved, x.At)}}
			p := b.newest(m.Name)
			switch {
			case said && run.Ended:
				continue
			case k+1 < len(began):
				if g.Span.To = began[k+1].At; g.Span.To <= g.Span.From { // both lived for a while
					continue
				}
			case said && p != nil && p.beat.Run == x.Run && now <= p.heard+2*b.f.Beat: // it is there and goes on telling
				continue
			}
			all = append(all, g)
		}
	}
	return all
}
