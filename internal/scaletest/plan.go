// Package scaletest measures how the program's costs grow with its size. It runs real processes beside stub
// ones, which use the program's own packages to exchange the same messages and do nothing else. It measures
// points of growing size, reads the cost of each role from /proc and fits lines to the points. It must never
// make decisions for a process that it measures, nor count a stub as a real process.
//
// This file defines the plan of a run: what it measures, and the resources that it may use.
package scaletest

import (
	"fmt"
	"runtime"

	"github.com/prometheus/procfs"

	"weldmast/internal/tomlfile"
)

// Plan is the description of a run from a file. Times are in milliseconds.
type Plan struct {
	About  string `toml:"about"`
	Voters int    `toml:"voters" min:"1" max:"5"`
	// Dispatchers is the number of real dispatchers, all under traffic. Two more followers get none.
	Dispatchers  int             `toml:"dispatchers" min:"1" max:"100"`
	JobRate      float64         `toml:"rate" min:"0"`          // jobs per second over all dispatchers
	FleetWorkers int             `toml:"fleet_workers" min:"1"` // stub workers that all dispatchers share
	Heartbeat    tomlfile.Millis `toml:"beat" min:"20"`
	Lease        tomlfile.Millis `toml:"lease" min:"100"`
	Members      []int           `toml:"members" min:"1"` // a series: the number of members of the fleet, growing
	// VersionRates are numbers of versions published per second. Each is measured at each number of members.
	VersionRates []float64 `toml:"versions" min:"0"`
	// VersionsUpTo is, for each rate, the largest number of members at which it is measured. Empty: at all.
	VersionsUpTo []int `toml:"versions_up_to" min:"1"`
	VersionBytes int   `toml:"text" min:"64" max:"65536"` // size of a version
	// Workers is a series: the number of workers known to one dispatcher, growing.
	Workers   []int   `toml:"workers" min:"1" max:"60000"`
	KnownRate float64 `toml:"known_rate" min:"0"` // jobs per second in the series of workers and teams
	// Watchers is the number of stub dispatchers that also watch discovery, in the series of workers and teams.
	Watchers        int             `toml:"watchers" min:"0"`
	Teams           []int           `toml:"teams" min:"1"` // a series: the number of tenants, growing
	StubsPerSecond  float64         `toml:"grow" min:"1"`  // stub members started per second
	StubsPerProcess int             `toml:"each" min:"1"`  // stub members in one process
	SettleTime      tomlfile.Millis `toml:"settle" min:"0"`
	MeasureTime     tomlfile.Millis `toml:"measure" min:"100"`
	MaxLateness     tomlfile.Millis `toml:"late" min:"1"`             // of a stub process's timers at p99; above it the run is void
	MemoryShare     float64         `toml:"memory" min:"0" max:"0.5"` // largest share of the machine's memory
	MaxProcesses    int             `toml:"processes" min:"1" max:"300"`
	// Estimated memory of each real process, stub member and stub worker address. They serve only to refuse a
	// plan that is too large before it starts; the run measures the actual values.
	RealMB   float64 `toml:"real_mb" min:"0"`
	MemberKB float64 `toml:"member_kb" min:"0"`
	WorkerKB float64 `toml:"worker_kb" min:"0"`
}

// ParsePlan parses the text of a plan file. An error lists every fault with its line and key.
func ParsePlan(file string, text []byte) (*Plan, error) {
	p := &Plan{Voters: 5, Dispatchers: 24, JobRate: 240, FleetWorkers: 48, Heartbeat: 250, Lease: 1000, VersionBytes: 2048, KnownRate: 100, StubsPerSecond: 50, StubsPerProcess: 250, SettleTime: 3000,
		MeasureTime: 8000, MaxLateness: 100, MemoryShare: 0.5, MaxProcesses: 300, RealMB: 60, MemberKB: 400, WorkerKB: 40}
	d := tomlfile.Parse(file, text)
	d.Decode(p)
	if d.Err() != nil {
		return nil, d.Err()
	}
	if p.Voters == 2 || p.Voters == 4 {
		d.AddFault("voters", "must be 1, 3 or 5")
	}
	for _, s := range []struct {
		key  string
		list []int
	}{{"members", p.Members}, {"workers", p.Workers}, {"teams", p.Teams}} {
		for k := range s.list {
			if k > 0 && s.list[k] <= s.list[k-1] {
				d.AddFault(fmt.Sprintf("%s.%d", s.key, k), "%d is not above the size before it", s.list[k])
			}
		}
	}
	if len(p.Members) > 0 && p.Members[0] < p.Voters+p.Dispatchers+idleFollowers {
		d.AddFault("members.0", "%d is below the number of real members, %d", p.Members[0], p.Voters+p.Dispatchers+idleFollowers)
	}
	if len(p.Members) > 0 && len(p.VersionRates) == 0 {
		d.AddFault("versions", "is missing: published versions per second")
	}
	if len(p.VersionsUpTo) > 0 && len(p.VersionsUpTo) != len(p.VersionRates) {
		d.AddFault("versions_up_to", "has %d sizes for %d rates of versions", len(p.VersionsUpTo), len(p.VersionRates))
	}
	if n := p.processCount(); n > p.MaxProcesses {
		d.AddFault("processes", "the plan needs %d processes, the limit is %d", n, p.MaxProcesses)
	}
	return p, d.Err()
}

// idleFollowers is the number of real members without traffic.
const idleFollowers = 2

// maxAddrs is how many addresses of workers one stub process listens on.
const maxAddrs = 1500

// processCount is the largest number of processes that run at once, including the one that runs the plan.
func (p *Plan) processCount() int {
	fleet := 1
	if len(p.Members) > 0 {
		most := p.Members[len(p.Members)-1] - p.Voters - p.Dispatchers - idleFollowers
		fleet += p.Voters + p.Dispatchers + idleFollowers + (most+p.StubsPerProcess-1)/p.StubsPerProcess + p.workerProcs()
	}
	known := 2
	if len(p.Workers) > 0 {
		known += (p.Workers[len(p.Workers)-1] + maxAddrs - 1) / maxAddrs
	}
	return max(fleet, known)
}

// workerProcs is the number of stub processes for the workers of the fleet series: each worker has an address
// for each dispatcher.
func (p *Plan) workerProcs() int { return (p.FleetWorkers*p.Dispatchers + maxAddrs - 1) / maxAddrs }

// estimatedMB is the most memory that the plan needs, by the plan's own estimates per process.
func (p *Plan) estimatedMB() float64 {
	fleet, known := 0., 0.
	if n := len(p.Members); n > 0 {
		fleet = float64(p.Voters+p.Dispatchers+idleFollowers)*p.RealMB + float64(p.Members[n-1])*p.MemberKB/1024 + float64(p.FleetWorkers*p.Dispatchers)*p.WorkerKB/1024
	}
	if n := len(p.Workers); n > 0 {
		known = p.RealMB + float64(p.Workers[n-1])*p.WorkerKB/1024
	}
	return max(fleet, known)
}

// Machine is the hardware of the machine, and the memory limit of the run.
type Machine struct {
	Cores    int     `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	LimitMB  float64 `json:"bound_mb"` // for all processes of the run together
}

// CheckMemory reads the machine's memory, and returns an error when the plan needs more than its share.
func (p *Plan) CheckMemory() (m Machine, err error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return m, fmt.Errorf("scale: %w", err)
	}
	info, err := fs.Meminfo()
	if err != nil || info.MemTotal == nil {
		return m, fmt.Errorf("scale: cannot read the machine's memory: %v", err)
	}
	m = Machine{Cores: runtime.NumCPU(), MemoryMB: float64(*info.MemTotal) / 1024}
	m.LimitMB = m.MemoryMB * p.MemoryShare
	if need := p.estimatedMB(); need > m.LimitMB {
		return m, fmt.Errorf("memory: the plan needs %.0f MB by its own estimates, the limit is %.0f of the machine's %.0f MB", need, m.LimitMB, m.MemoryMB)
	}
	return m, nil
}
