// Package scale measures how the program grows: real processes beside hollow ones, which speak as the real ones do, by the
// program's own packages, and do nothing else. It draws points of growing size, reads what each role costs from outside and
// fits lines to it. It must never decide for a process that it measures, nor count what is hollow as real.
//
// This file owns the plan of a run: what is drawn, and what the run itself may take.
package scaletest

import (
	"fmt"
	"runtime"

	"github.com/prometheus/procfs"

	"weldmast/internal/tomlfile"
)

// Plan is what a file says of a run. Times are milliseconds.
type Plan struct {
	About           string          `toml:"about"`
	Voters          int             `toml:"voters" min:"1" max:"5"`
	Dispatchers     int             `toml:"dispatchers" min:"1" max:"100"` // real ones, under traffic; two followers more have none
	JobRate         float64         `toml:"rate" min:"0"`                  // jobs a second over all of them
	FleetWorkers    int             `toml:"fleet_workers" min:"1"`         // hollow workers that they share
	Heartbeat       tomlfile.Millis `toml:"beat" min:"20"`
	Lease           tomlfile.Millis `toml:"lease" min:"100"`
	Members         []int           `toml:"members" min:"1"`             // series: members of the fleet, growing
	VersionRates    []float64       `toml:"versions" min:"0"`            // a second, at each size of it
	VersionsUpTo    []int           `toml:"versions_up_to" min:"1"`      // the largest size at which each rate is played; none: all
	VersionBytes    int             `toml:"text" min:"64" max:"65536"`   // bytes of a version
	Workers         []int           `toml:"workers" min:"1" max:"60000"` // series: workers known to one dispatcher, growing
	KnownRate       float64         `toml:"known_rate" min:"0"`          // jobs a second there
	Watchers        int             `toml:"watchers" min:"0"`            // hollow dispatchers that have discovery tell them as well
	Teams           []int           `toml:"teams" min:"1"`               // series: tenants in the settings
	StubsPerSecond  float64         `toml:"grow" min:"1"`                // hollow members that begin in a second
	StubsPerProcess int             `toml:"each" min:"1"`                // hollow members in one process
	SettleTime      tomlfile.Millis `toml:"settle" min:"0"`
	MeasureTime     tomlfile.Millis `toml:"measure" min:"100"`
	MaxLateness     tomlfile.Millis `toml:"late" min:"1"`             // a hollow process later than that at p99 voids the run
	MemoryShare     float64         `toml:"memory" min:"0" max:"0.5"` // part of the machine's, at most
	MaxProcesses    int             `toml:"processes" min:"1" max:"300"`
	// What the plan takes each to be, to be refused beforehand; what they are is measured.
	RealMB   float64 `toml:"real_mb" min:"0"`
	MemberKB float64 `toml:"member_kb" min:"0"`
	WorkerKB float64 `toml:"worker_kb" min:"0"`
}

// Read makes a plan of a file's text. An error lists every fault with its line and key.
func ParsePlan(file string, text []byte) (*Plan, error) {
	p := &Plan{Voters: 5, Dispatchers: 24, JobRate: 240, FleetWorkers: 48, Heartbeat: 250, Lease: 1000, VersionBytes: 2048, KnownRate: 100, StubsPerSecond: 50, StubsPerProcess: 250, SettleTime: 3000,
		MeasureTime: 8000, MaxLateness: 100, MemoryShare: 0.5, MaxProcesses: 300, RealMB: 60, MemberKB: 400, WorkerKB: 40}
	d := tomlfile.Parse(file, text)
	d.Decode(p)
	if d.Err() != nil {
		return nil, d.Err()
	}
	if p.Voters == 2 || p.Voters == 4 {
		d.AddFault("voters", "there have to be 1, 3 or 5")
	}
	for _, s := range []struct {
		key  string
		list []int
	}{{"members", p.Members}, {"workers", p.Workers}, {"teams", p.Teams}} {
		for k := range s.list {
			if k > 0 && s.list[k] <= s.list[k-1] {
				d.AddFault(fmt.Sprintf("%s.%d", s.key, k), "%d does not grow", s.list[k])
			}
		}
	}
	if len(p.Members) > 0 && p.Members[0] < p.Voters+p.Dispatchers+idleFollowers {
		d.AddFault("members.0", "%d are fewer than the %d real ones", p.Members[0], p.Voters+p.Dispatchers+idleFollowers)
	}
	if len(p.Members) > 0 && len(p.VersionRates) == 0 {
		d.AddFault("versions", "is missing: how many a second")
	}
	if len(p.VersionsUpTo) > 0 && len(p.VersionsUpTo) != len(p.VersionRates) {
		d.AddFault("versions_up_to", "%d sizes for %d rates", len(p.VersionsUpTo), len(p.VersionRates))
	}
	if n := p.processCount(); n > p.MaxProcesses {
		d.AddFault("processes", "the plan needs %d, %d are allowed", n, p.MaxProcesses)
	}
	return p, d.Err()
}

// idleFollowers are real members without traffic.
const idleFollowers = 2

// doorsEach is how many addresses of workers one hollow process listens at.
const maxAddrs = 1500

// processes are those that it has at most at once, the lab itself among them.
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

// doors are the processes for the workers of the fleet series: each has an address for each dispatcher.
func (p *Plan) workerProcs() int { return (p.FleetWorkers*p.Dispatchers + maxAddrs - 1) / maxAddrs }

// needMB is what the plan is taken to need at most.
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

// Machine is what the run has.
type Machine struct {
	Cores    int     `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	LimitMB  float64 `json:"bound_mb"` // of all processes of the run together
}

// Look reads what the machine has, and refuses a plan over it.
func (p *Plan) CheckMemory() (m Machine, err error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return m, fmt.Errorf("scale: %w", err)
	}
	info, err := fs.Meminfo()
	if err != nil || info.MemTotal == nil {
		return m, fmt.Errorf("scale: the machine's memory is not known: %v", err)
	}
	m = Machine{Cores: runtime.NumCPU(), MemoryMB: float64(*info.MemTotal) / 1024}
	m.LimitMB = m.MemoryMB * p.MemoryShare
	if need := p.estimatedMB(); need > m.LimitMB {
		return m, fmt.Errorf("memory: the plan needs %.0f MB by its own word, %.0f of the machine's %.0f are allowed", need, m.LimitMB, m.MemoryMB)
	}
	return m, nil
}
