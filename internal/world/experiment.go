// Package world models what a dispatcher lives among: sites and the network between them, workers, discovery, clients
// and what goes wrong. It is pure: no I/O, no clock but the one handed in, every draw from the seed. Two drivers play
// it, one in virtual time with whole nodes, one in real time against the program on sockets; both carry messages
// through a Port and hand in what dispatchers do. It must never know how a dispatcher decides.
//
// This file owns what an experiment may say. Times are milliseconds; work is milliseconds on a core of speed 1.
package world

import (
	"fmt"
	"strings"

	"weldmast/internal/tomlfile"
)

// Span is a time in milliseconds.
type Span = tomlfile.Span

// Experiment is one day to play: a deployment, its traffic and its troubles.
type Experiment struct {
	About       string      `toml:"about"`
	Length      Span        `toml:"length" min:"100" max:"86400000"` // arrivals go on for so long
	Warmup      Span        `toml:"warmup" min:"0"`                  // work items sent before it are not counted
	Dispatchers Dispatchers `toml:"dispatchers"`
	Network     Network     `toml:"network"`
	Workers     Workers     `toml:"workers"`
	Kinds       []Kind      `toml:"kind"`
	Categories  []Category  `toml:"category"`
	Tenants     []Tenant    `toml:"tenant"`
	Arrivals    Arrivals    `toml:"arrivals"`
	Clients     Clients     `toml:"clients"`
	Faults      []Fault     `toml:"fault"`
	Fleet       *Fleet      `toml:"fleet"` // nil: the dispatchers are of none
	Storm       *Storm      `toml:"storm"` // faults to draw; nil: none
}

// Fleet says how the dispatchers are one.
type Fleet struct {
	Voters int     `toml:"voters" min:"1" max:"5"` // the first of them
	Alone  string  `toml:"alone" oneof:"serve stop"`
	Beat   Span    `toml:"beat" min:"20"`
	Lease  Span    `toml:"lease" min:"100"`
	Drift  float64 `toml:"drift" min:"0" max:"0.2"`
	Heal   Span    `toml:"heal" min:"100"` // after the last fault all must be current within this time
}

// Defaults of a fleet.
func (f *Fleet) Defaults() {
	f.Voters, f.Alone, f.Beat, f.Lease, f.Drift, f.Heal = 3, "stop", 250, 1000, 0.01, 5000
}

// Storm says what is drawn for a day.
type Storm struct {
	Faults int      `toml:"faults" min:"1" max:"1000"` // so many at most, at least half of that
	From   Span     `toml:"from" min:"0"`
	Until  Span     `toml:"until" min:"0"` // the last has ended by then
	Span   Span     `toml:"span" min:"1"`  // of one, at most
	Most   int      `toml:"most" min:"1"`  // dispatchers that one hits
	Only   []int    `toml:"only"`          // dispatchers that may be hit, by number; none: all
	What   []string `toml:"what"`          // a kind that is named twice is drawn twice as often
}

// Defaults of a storm.
func (s *Storm) Defaults() { s.Faults, s.From, s.Until, s.Span, s.Most = 12, 1000, 10000, 2000, 3 }

// Dispatchers says how many there are and what they are allowed.
type Dispatchers struct {
	Count        int     `toml:"count" min:"1" max:"4096"`
	Grain        Span    `toml:"grain" min:"0.1" max:"1000"` // least time between rounds
	Tell         bool    `toml:"tell"`                       // messages between siblings
	SecondCopies bool    `toml:"second_copies"`
	Cancel       bool    `toml:"cancel"`
	Pauses       bool    `toml:"pauses"` // clients heed a pause
	MaxPause     Span    `toml:"max_pause" min:"0"`
	MaxHandOffs  int     `toml:"max_hand_offs" min:"1" max:"64"`
	MaxOpen      int     `toml:"max_open" min:"1"`
	AnswerSlack  Span    `toml:"answer_slack" min:"1"`
	Ask          bool    `toml:"ask"` // discovery tells only when asked
	AskWithin    Span    `toml:"ask_within" min:"1"`
	ExcessCredit float64 `toml:"excess_credit" min:"0" max:"1"`
	Restart      Span    `toml:"restart" min:"1"` // from the end of a process to its next start
	Kill         Span    `toml:"kill" min:"0"`    // from the order to stop to the kill
}

// Network says how long messages take, one way, and how long a connection may be idle.
type Network struct {
	Near     Span `toml:"near" min:"0"`   // within a site
	Far      Span `toml:"far" min:"0"`    // between sites
	Jitter   Span `toml:"jitter" min:"0"` // mean of an exponential part on top
	Connect  Span `toml:"connect" min:"1"`
	ConnIdle Span `toml:"conn_idle" min:"1"`
	List     Span `toml:"list" min:"0"`   // from a change of the fleet to its being told
	Notice   Span `toml:"notice" min:"0"` // until discovery and the clients' front see a death
}

// Workers says what all workers have in common.
type Workers struct {
	Sites        int     `toml:"sites" min:"1" max:"26"`
	StartShare   float64 `toml:"start_share" min:"0.01" max:"1"` // of its capacity, as it comes up
	Cold         Span    `toml:"cold" min:"1"`                   // it is warm after so long; growth is linear
	Fall         Span    `toml:"fall" min:"1"`
	FallMultiple float64 `toml:"fall_multiple" min:"1"`
	DrainGrace   Span    `toml:"drain_grace" min:"0"`
	OnlyDraining bool    `toml:"only_draining_binds"` // one that is called gone, or left out, may still be sent to
	TellStart    bool    `toml:"tell_start"`
	Progress     Span    `toml:"progress" min:"0"` // between progress notices; 0: none
}

// Kind is one kind of worker.
type Kind struct {
	Name  string  `toml:"name" need:"true"`
	Count int     `toml:"count" min:"0" max:"10000"`
	Speed float64 `toml:"speed" min:"0.001" max:"1000"`
	Cores int     `toml:"cores" min:"1" max:"1024"` // jobs beyond it share them
	Slots int     `toml:"slots" min:"1" max:"100000"`
	Queue int     `toml:"queue" min:"0"` // waiting beyond the slots; then it turns away
}

// Category is one category of work items.
type Category struct {
	Name    string  `toml:"name" need:"true"`
	Share   float64 `toml:"share" min:"0"`
	Repeat  string  `toml:"repeat" oneof:"rerunnable ticketed exclusive"`
	Window  Span    `toml:"window" min:"0"`
	Group   string  `toml:"group" oneof:"all zone cell"`
	Due     Span    `toml:"due" min:"1"`
	Stretch float64 `toml:"stretch" min:"0"` // the due time grows by so much of the hint
	Expiry  Span    `toml:"expiry" min:"0"`
	Credit  float64 `toml:"credit" min:"0"`
	Cost    Span    `toml:"cost" min:"0.001"` // mean
	Law     string  `toml:"law" oneof:"fixed exponential pareto lognormal"`
	Shape   float64 `toml:"shape" min:"0.1" max:"10"` // alpha of pareto, sigma of lognormal
	Most    float64 `toml:"most" min:"1"`             // a cost is at most so many means
	HintOff float64 `toml:"hint_off" min:"0" max:"5"` // sigma of the hint's error, lognormal; 0: hints are exact
	NoHint  float64 `toml:"no_hint" min:"0" max:"1"`  // share of requests without a hint
}

// Tenant is one who sends work.
type Tenant struct {
	Name      string  `toml:"name" need:"true"`
	Share     float64 `toml:"share" min:"0"`
	Allowance float64 `toml:"allowance" min:"0"` // work items a second, all dispatchers together
}

// Arrivals are open-loop: nobody waits for an answer before the next.
type Arrivals struct {
	Rate float64 `toml:"rate" min:"0"` // work items a second, all together
	Load float64 `toml:"load" min:"0"` // in place of rate: part of the warm fleet's capacity
	Gaps string  `toml:"gaps" oneof:"poisson even"`
}

// Clients says what clients do about answers.
type Clients struct {
	Retries int     `toml:"retries" min:"0" max:"16"` // further requests after a deferral, or a failure of what is not exclusive
	Backoff Span    `toml:"backoff" min:"0"`          // before one without a pause; drawn around it
	Leave   float64 `toml:"leave" min:"0" max:"1"`    // share that goes away before its deadline
}

// Fault is one trouble in the timeline. What is hit is drawn from those that site, kind and name allow.
type Fault struct {
	At     Span    `toml:"at" min:"0" need:"true"`
	For    Span    `toml:"for" min:"0"`
	What   string  `toml:"what" need:"true" oneof:"kill vanish site_loss cut drain deploy slow neighbour fail tail burst discovery_silent discovery_late list_wrong messages_lost messages_late callbacks_repeat callbacks_late dispatcher_kill dispatcher_stop dispatcher_reload dispatcher_upgrade dispatcher_freeze clients_flood clock_jump link_cut link_oneway link_late link_held link_reset link_trickle link_half folder_full folder_gone folder_empty folder_older folder_flipped publish publish_twice"`
	Site   string  `toml:"site"`
	Kind   string  `toml:"kind"`
	Tenant string  `toml:"tenant"`
	Count  int     `toml:"count" min:"0"` // how many are hit; 0: by share
	Share  float64 `toml:"share" min:"0" max:"1"`
	Amount float64 `toml:"amount"` // what it means stands with each kind of fault in docs/lab.md
	Of     string  `toml:"of" oneof:"workers clients siblings discovery"`
	Hits   []int   `toml:"hits"` // dispatchers by number, in place of drawn ones
}

// Defaults of a kind.
func (k *Kind) Defaults() { k.Count, k.Speed, k.Cores, k.Slots, k.Queue = 1, 1, 1, 1, 8 }

// Defaults of a category.
func (c *Category) Defaults() {
	c.Share, c.Repeat, c.Group, c.Due, c.Expiry, c.Credit = 1, "rerunnable", "all", 1000, 5000, 1
	c.Cost, c.Law, c.Shape, c.Most = 20, "exponential", 1.5, 1000
}

// Defaults of a tenant.
func (t *Tenant) Defaults() { t.Share = 1 }

// Defaults of a fault.
func (f *Fault) Defaults() { f.Share, f.Of = 1, "workers" }

// Read makes an experiment of a file's text. An error lists every fault with its line and key.
func Read(file string, text []byte) (*Experiment, error) {
	x := &Experiment{Length: 20000,
		Dispatchers: Dispatchers{Count: 1, Grain: 5, Tell: true, SecondCopies: true, Cancel: true, Pauses: true, MaxPause: 2000,
			MaxHandOffs: 5, MaxOpen: 20000, AnswerSlack: 20, AskWithin: 10000, ExcessCredit: 0.1, Restart: 2000, Kill: 3700},
		Network: Network{Near: 0.2, Far: 1, Jitter: 0.05, Connect: 250, ConnIdle: 15000, List: 100, Notice: 2000},
		Workers: Workers{Sites: 1, StartShare: 0.1, Cold: 10000, Fall: 2000, FallMultiple: 3, DrainGrace: 500, TellStart: true,
			Progress: 1000},
		Arrivals: Arrivals{Gaps: "poisson"}, Clients: Clients{Retries: 1, Backoff: 200}}
	d := tomlfile.Parse(file, text)
	d.Decode(x)
	if d.Err() == nil {
		x.check(d.Fault)
	}
	return x, d.Err()
}

// check finds what single values do not show.
func (x *Experiment) check(fault func(key, format string, a ...any)) {
	if len(x.Kinds) == 0 {
		fault("kind", "at least one is needed")
	}
	if len(x.Categories) == 0 {
		fault("category", "at least one is needed")
	}
	if x.Warmup >= x.Length {
		fault("warmup", "leaves nothing of the length")
	}
	if x.Arrivals.Rate > 0 && x.Arrivals.Load > 0 {
		fault("arrivals.load", "rate is said as well; one of them decides")
	}
	if x.Arrivals.Rate == 0 && x.Arrivals.Load == 0 {
		fault("arrivals", "a rate or a load is needed")
	}
	if f := x.Fleet; f != nil {
		if f.Voters > x.Dispatchers.Count {
			fault("fleet.voters", "%d of %d dispatchers", f.Voters, x.Dispatchers.Count)
		}
		if f.Voters == 2 || f.Voters == 4 {
			fault("fleet.voters", "there have to be 1, 3 or 5")
		}
	}
	if s := x.Storm; s != nil && (len(s.What) == 0 || s.From >= s.Until || s.Until > x.Length) {
		fault("storm", "needs kinds of faults (what), and from before until within the day")
	}
	names := map[string]bool{}
	unique := func(key, name string) {
		if name == "" || strings.ContainsAny(name, "/ ,?%") {
			fault(key, "%q cannot be used as a name", name)
		}
		if names[key[:4]+name] {
			fault(key, "%q is taken", name)
		}
		names[key[:4]+name] = true
	}
	shares := 0.
	for k, c := range x.Categories {
		unique(fmt.Sprintf("category.%d.name", k), c.Name)
		shares += c.Share
		if c.Law == "pareto" && c.Shape <= 1 {
			fault(fmt.Sprintf("category.%d.shape", k), "a pareto law with a shape of %v has no mean", c.Shape)
		}
	}
	if shares <= 0 && len(x.Categories) > 0 {
		fault("category", "the shares add up to nothing")
	}
	for k, c := range x.Kinds {
		unique(fmt.Sprintf("kind.%d.name", k), c.Name)
	}
	for k, t := range x.Tenants {
		unique(fmt.Sprintf("tenant.%d.name", k), t.Name)
	}
	for k, f := range x.Faults {
		at := fmt.Sprintf("fault.%d.", k)
		if f.Site != "" && (len(f.Site) != 1 || int(f.Site[0]-'a') >= x.Workers.Sites) {
			fault(at+"site", "%q is no site; there are a to %c", f.Site, 'a'+x.Workers.Sites-1)
		}
		if f.Kind != "" && !names["kind"+f.Kind] {
			fault(at+"kind", "%q is no kind", f.Kind)
		}
		if f.Tenant != "" && !names["tena"+f.Tenant] {
			fault(at+"tenant", "%q is no tenant", f.Tenant)
		}
		if f.Amount < 0 && f.What != "clock_jump" {
			fault(at+"amount", "%v is below 0", f.Amount)
		}
	}
}

// Capacity is the work that the warm fleet does in a millisecond.
func (x *Experiment) Capacity() (sum float64) {
	for _, k := range x.Kinds {
		sum += float64(k.Count) * k.capacity()
	}
	return sum
}

func (k *Kind) capacity() float64 { return k.Speed * float64(min(k.Cores, k.Slots)) }

// MeanCost is that of a work item of any category.
func (x *Experiment) MeanCost() float64 {
	cost, shares := 0., 0.
	for _, c := range x.Categories {
		cost += c.Share * float64(c.Cost)
		shares += c.Share
	}
	return cost / shares
}

// PerSecond is the rate of work items.
func (x *Experiment) PerSecond() float64 {
	if x.Arrivals.Rate > 0 {
		return x.Arrivals.Rate
	}
	return x.Arrivals.Load * x.Capacity() * 1000 / x.MeanCost()
}

// SiteName is a letter.
func SiteName(site int) string { return string(rune('a' + site)) }
