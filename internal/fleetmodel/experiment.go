// Package fleetmodel models the environment of dispatchers: sites and the network between them, workers,
// discovery, clients, and faults. It is pure: it does no I/O, reads no clock but the one passed in, and draws
// every random number from the seed. Two drivers run it, one in virtual time with whole nodes, one in real
// time against the program over sockets. Both carry messages through the Driver interface and report what
// dispatchers do. The package must never depend on how a dispatcher decides.
//
// This file defines what an experiment's file may contain. Times are milliseconds; work is milliseconds on a
// core of speed 1.
package fleetmodel

import (
	"fmt"
	"strings"

	"weldmast/internal/tomlfile"
)

// Millis is a time in milliseconds.
type Millis = tomlfile.Millis

// Experiment is one run to simulate: a deployment, its traffic and its faults.
type Experiment struct {
	About       string      `toml:"about"`
	Length      Millis      `toml:"length" min:"100" max:"86400000"` // arrivals continue for this time
	Warmup      Millis      `toml:"warmup" min:"0"`                  // work items sent before it are not counted
	Dispatchers Dispatchers `toml:"dispatchers"`
	Network     Network     `toml:"network"`
	Workers     Workers     `toml:"workers"`
	Kinds       []Kind      `toml:"kind"`
	Categories  []Category  `toml:"category"`
	Tenants     []Tenant    `toml:"tenant"`
	Arrivals    Arrivals    `toml:"arrivals"`
	Clients     Clients     `toml:"clients"`
	Faults      []Fault     `toml:"fault"`
	Fleet       *Fleet      `toml:"fleet"` // nil: the dispatchers belong to no fleet
	Chaos       *Chaos      `toml:"storm"` // random faults to add; nil: none
}

// Fleet says how the dispatchers form a fleet.
type Fleet struct {
	Voters            int     `toml:"voters" min:"1" max:"5"` // number of voters; the first dispatchers are voters
	WhenIsolated      string  `toml:"alone" oneof:"serve stop"`
	HeartbeatInterval Millis  `toml:"beat" min:"20"`
	LeaseDuration     Millis  `toml:"lease" min:"100"`
	MaxClockDrift     float64 `toml:"drift" min:"0" max:"0.2"`
	// after the last fault, all members must be current within this time
	RecoveryTime Millis `toml:"heal" min:"100"`
}

// Defaults sets the default values of a fleet.
func (f *Fleet) Defaults() {
	f.Voters, f.WhenIsolated, f.HeartbeatInterval, f.LeaseDuration, f.MaxClockDrift, f.RecoveryTime = 3, "stop", 250, 1000, 0.01, 5000
}

// Chaos says which random faults a run gets.
type Chaos struct {
	Count       int      `toml:"faults" min:"1" max:"1000"` // at most this many faults, and at least half of them
	From        Millis   `toml:"from" min:"0"`
	Until       Millis   `toml:"until" min:"0"` // all faults have ended by then
	MaxTime     Millis   `toml:"span" min:"1"`  // longest duration of a fault
	MaxHit      int      `toml:"most" min:"1"`  // largest number of dispatchers that one fault hits
	Dispatchers []int    `toml:"only"`          // indices of the dispatchers that may be hit; empty: all
	Types       []string `toml:"what"`          // a type listed twice is drawn twice as often
}

// Defaults sets the default values of random faults.
func (c *Chaos) Defaults() { c.Count, c.From, c.Until, c.MaxTime, c.MaxHit = 12, 1000, 10000, 2000, 3 }

// Dispatchers says how many dispatchers there are and what they may do.
type Dispatchers struct {
	Count              int     `toml:"count" min:"1" max:"4096"`
	RoundInterval      Millis  `toml:"grain" min:"0.1" max:"1000"` // shortest time between rounds
	PeerMessages       bool    `toml:"tell"`                       // dispatchers send messages to their peers
	SecondCopies       bool    `toml:"second_copies"`
	MayCancel          bool    `toml:"cancel"`
	HonorRetryAfter    bool    `toml:"pauses"` // clients wait as long as Retry-After advises
	MaxRetryAfter      Millis  `toml:"max_pause" min:"0"`
	MaxHandOffs        int     `toml:"max_hand_offs" min:"1" max:"64"`
	MaxOpen            int     `toml:"max_open" min:"1"`
	AnswerSlack        Millis  `toml:"answer_slack" min:"1"`
	DiscoveryOnRequest bool    `toml:"ask"` // discovery answers requests instead of pushing updates
	DiscoveryAskWithin Millis  `toml:"ask_within" min:"1"`
	ExcessCredit       float64 `toml:"excess_credit" min:"0" max:"1"`
	RestartDelay       Millis  `toml:"restart" min:"1"` // from the end of a process to its next start
	StopTimeout        Millis  `toml:"kill" min:"0"`    // from the request to stop until the process is killed
}

// Network says how long messages take one way, and how long a connection may be idle.
type Network struct {
	SameSite       Millis `toml:"near" min:"0"`   // within a site
	CrossSite      Millis `toml:"far" min:"0"`    // between sites
	Jitter         Millis `toml:"jitter" min:"0"` // mean of an exponential delay on top
	ConnectTimeout Millis `toml:"connect" min:"1"`
	IdleTimeout    Millis `toml:"conn_idle" min:"1"`
	DiscoveryDelay Millis `toml:"list" min:"0"`   // from a change of the workers until discovery reports it
	DetectionDelay Millis `toml:"notice" min:"0"` // until discovery and the clients' load balancer detect a death
}

// Workers says what all workers have in common.
type Workers struct {
	Sites            int     `toml:"sites" min:"1" max:"26"`
	StartCapacity    float64 `toml:"start_share" min:"0.01" max:"1"` // share of its capacity when it starts
	WarmUpTime       Millis  `toml:"cold" min:"1"`                   // a worker has its full capacity after this time; it grows linearly
	OverloadWindow   Millis  `toml:"fall" min:"1"`
	OverloadMultiple float64 `toml:"fall_multiple" min:"1"`
	DrainGrace       Millis  `toml:"drain_grace" min:"0"`
	// dispatchers may still send to a worker that is listed as gone, or missing from the list
	OnlyDrainingBinds bool   `toml:"only_draining_binds"`
	ReportStart       bool   `toml:"tell_start"`
	ProgressInterval  Millis `toml:"progress" min:"0"` // between progress reports; 0: none
}

// Kind is one kind of worker.
type Kind struct {
	Name       string  `toml:"name" need:"true"`
	Count      int     `toml:"count" min:"0" max:"10000"`
	Speed      float64 `toml:"speed" min:"0.001" max:"1000"`
	Cores      int     `toml:"cores" min:"1" max:"1024"` // further running jobs share the cores
	Slots      int     `toml:"slots" min:"1" max:"100000"`
	QueueLimit int     `toml:"queue" min:"0"` // jobs that wait beyond the slots; the worker rejects further ones
}

// Category is one category of work items.
type Category struct {
	Name          string  `toml:"name" need:"true"`
	Share         float64 `toml:"share" min:"0"`
	RepeatPolicy  string  `toml:"repeat" oneof:"rerunnable ticketed exclusive"`
	DedupWindow   Millis  `toml:"window" min:"0"`
	DedupScope    string  `toml:"group" oneof:"all zone cell"`
	DueTime       Millis  `toml:"due" min:"1"`
	DueStretch    float64 `toml:"stretch" min:"0"` // the due time grows by this multiple of the hint
	Expiry        Millis  `toml:"expiry" min:"0"`
	Credit        float64 `toml:"credit" min:"0"`
	MeanCost      Millis  `toml:"cost" min:"0.001"`
	Distribution  string  `toml:"law" oneof:"fixed exponential pareto lognormal"`
	Shape         float64 `toml:"shape" min:"0.1" max:"10"` // alpha of pareto, sigma of lognormal
	MaxCostFactor float64 `toml:"most" min:"1"`             // limits a cost to this multiple of the mean
	HintSigma     float64 `toml:"hint_off" min:"0" max:"5"` // sigma of the lognormal error of hints; 0: hints are exact
	NoHintShare   float64 `toml:"no_hint" min:"0" max:"1"`  // share of requests without a hint
}

// Tenant is a party that sends work.
type Tenant struct {
	Name      string  `toml:"name" need:"true"`
	Share     float64 `toml:"share" min:"0"`
	Allowance float64 `toml:"allowance" min:"0"` // work items per second, over all dispatchers
}

// Arrivals says how work arrives. Arrivals are open-loop: no client waits for an answer before it sends the
// next.
type Arrivals struct {
	Rate    float64 `toml:"rate" min:"0"` // work items per second, over all clients
	Load    float64 `toml:"load" min:"0"` // instead of rate: share of the capacity of all warm workers
	Spacing string  `toml:"gaps" oneof:"poisson even"`
}

// Clients says how clients react to answers.
type Clients struct {
	// further requests after a deferral, or after a failure of work that is not exclusive
	MaxRetries int     `toml:"retries" min:"0" max:"16"`
	Backoff    Millis  `toml:"backoff" min:"0"`       // mean delay of a retry without advice; it is randomized
	LeaveShare float64 `toml:"leave" min:"0" max:"1"` // share of clients that leave before their deadline
}

// Fault is one fault of the timeline. Its targets are drawn from those that site, kind and name allow.
type Fault struct {
	At          Millis  `toml:"at" min:"0" need:"true"`
	Duration    Millis  `toml:"for" min:"0"`
	Type        string  `toml:"what" need:"true" oneof:"kill vanish site_loss cut drain deploy slow neighbour fail tail burst discovery_silent discovery_late list_wrong messages_lost messages_late callbacks_repeat callbacks_late dispatcher_kill dispatcher_stop dispatcher_reload dispatcher_upgrade dispatcher_freeze clients_flood clock_jump link_cut link_oneway link_late link_held link_reset link_trickle link_half folder_full folder_gone folder_empty folder_older folder_flipped publish publish_twice"`
	Site        string  `toml:"site"`
	WorkerKind  string  `toml:"kind"`
	Tenant      string  `toml:"tenant"`
	Count       int     `toml:"count" min:"0"` // number of targets; 0: use the share
	Share       float64 `toml:"share" min:"0" max:"1"`
	Amount      float64 `toml:"amount"` // docs/lab.md gives its meaning for each type of fault
	Path        string  `toml:"of" oneof:"workers clients siblings discovery"`
	Dispatchers []int   `toml:"hits"` // indices of the dispatchers to hit, instead of random ones
}

// Defaults sets the default values of a kind.
func (k *Kind) Defaults() { k.Count, k.Speed, k.Cores, k.Slots, k.QueueLimit = 1, 1, 1, 1, 8 }

// Defaults sets the default values of a category.
func (c *Category) Defaults() {
	c.Share, c.RepeatPolicy, c.DedupScope, c.DueTime, c.Expiry, c.Credit = 1, "rerunnable", "all", 1000, 5000, 1
	c.MeanCost, c.Distribution, c.Shape, c.MaxCostFactor = 20, "exponential", 1.5, 1000
}

// Defaults sets the default values of a tenant.
func (t *Tenant) Defaults() { t.Share = 1 }

// Defaults sets the default values of a fault.
func (f *Fault) Defaults() { f.Share, f.Path = 1, "workers" }

// ParseExperiment parses the text of an experiment's file. The error lists every problem with its line and
// key.
func ParseExperiment(file string, text []byte) (*Experiment, error) {
	x := &Experiment{Length: 20000,
		Dispatchers: Dispatchers{Count: 1, RoundInterval: 5, PeerMessages: true, SecondCopies: true, MayCancel: true, HonorRetryAfter: true, MaxRetryAfter: 2000,
			MaxHandOffs: 5, MaxOpen: 20000, AnswerSlack: 20, DiscoveryAskWithin: 10000, ExcessCredit: 0.1, RestartDelay: 2000, StopTimeout: 3700},
		Network: Network{SameSite: 0.2, CrossSite: 1, Jitter: 0.05, ConnectTimeout: 250, IdleTimeout: 15000, DiscoveryDelay: 100, DetectionDelay: 2000},
		Workers: Workers{Sites: 1, StartCapacity: 0.1, WarmUpTime: 10000, OverloadWindow: 2000, OverloadMultiple: 3, DrainGrace: 500, ReportStart: true,
			ProgressInterval: 1000},
		Arrivals: Arrivals{Spacing: "poisson"}, Clients: Clients{MaxRetries: 1, Backoff: 200}}
	d := tomlfile.Parse(file, text)
	d.Decode(x)
	if d.Err() == nil {
		x.validate(d.AddFault)
	}
	return x, d.Err()
}

// validate reports problems that no single value shows.
func (x *Experiment) validate(addFault func(key, format string, a ...any)) {
	if len(x.Kinds) == 0 {
		addFault("kind", "at least one is needed")
	}
	if len(x.Categories) == 0 {
		addFault("category", "at least one is needed")
	}
	if x.Warmup >= x.Length {
		addFault("warmup", "must be shorter than length")
	}
	if x.Arrivals.Rate > 0 && x.Arrivals.Load > 0 {
		addFault("arrivals.load", "cannot be combined with arrivals.rate")
	}
	if x.Arrivals.Rate == 0 && x.Arrivals.Load == 0 {
		addFault("arrivals", "needs a rate or a load")
	}
	if f := x.Fleet; f != nil {
		if f.Voters > x.Dispatchers.Count {
			addFault("fleet.voters", "%d voters, but only %d dispatchers", f.Voters, x.Dispatchers.Count)
		}
		if f.Voters == 2 || f.Voters == 4 {
			addFault("fleet.voters", "must be 1, 3 or 5")
		}
	}
	if s := x.Chaos; s != nil && (len(s.Types) == 0 || s.From >= s.Until || s.Until > x.Length) {
		addFault("storm", "needs types of faults (what), from before until, and until within length")
	}
	names := map[string]bool{}
	unique := func(key, name string) {
		if name == "" || strings.ContainsAny(name, "/ ,?%") {
			addFault(key, "%q cannot be used as a name", name)
		}
		if names[key[:4]+name] {
			addFault(key, "%q is already in use", name)
		}
		names[key[:4]+name] = true
	}
	shares := 0.
	for k, c := range x.Categories {
		unique(fmt.Sprintf("category.%d.name", k), c.Name)
		shares += c.Share
		if c.Distribution == "pareto" && c.Shape <= 1 {
			addFault(fmt.Sprintf("category.%d.shape", k), "a pareto distribution with shape %v has no mean", c.Shape)
		}
	}
	if shares <= 0 && len(x.Categories) > 0 {
		addFault("category", "the shares add up to 0")
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
			addFault(at+"site", "unknown site %q; the sites are a to %c", f.Site, 'a'+x.Workers.Sites-1)
		}
		if f.WorkerKind != "" && !names["kind"+f.WorkerKind] {
			addFault(at+"kind", "unknown kind %q", f.WorkerKind)
		}
		if f.Tenant != "" && !names["tena"+f.Tenant] {
			addFault(at+"tenant", "unknown tenant %q", f.Tenant)
		}
		if f.Amount < 0 && f.Type != "clock_jump" {
			addFault(at+"amount", "%v is below 0", f.Amount)
		}
	}
}

// Capacity returns the work that all warm workers do per millisecond.
func (x *Experiment) Capacity() (sum float64) {
	for _, k := range x.Kinds {
		sum += float64(k.Count) * k.capacity()
	}
	return sum
}

func (k *Kind) capacity() float64 { return k.Speed * float64(min(k.Cores, k.Slots)) }

// MeanCost returns the mean cost of a work item over all categories.
func (x *Experiment) MeanCost() float64 {
	cost, shares := 0., 0.
	for _, c := range x.Categories {
		cost += c.Share * float64(c.MeanCost)
		shares += c.Share
	}
	return cost / shares
}

// ArrivalRate returns the number of work items per second.
func (x *Experiment) ArrivalRate() float64 {
	if x.Arrivals.Rate > 0 {
		return x.Arrivals.Rate
	}
	return x.Arrivals.Load * x.Capacity() * 1000 / x.MeanCost()
}

// SiteName returns the name of a site, which is a letter.
func SiteName(site int) string { return string(rune('a' + site)) }
