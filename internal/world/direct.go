// This file owns the port that decides nothing: every request goes at once to the worker of a choice that is handed in.
// With it the model stands alone beside queueing theory.

package world

// Direct is a port whose dispatchers send each request on as it comes.
type Direct struct {
	W      *World
	Choose func(j *Job) string // the worker's id
}

// Play plays an experiment without dispatchers' delays or decisions. Clients come at time 0.
func (p *Direct) Play() {
	p.W.Begin(p, 0)
	for !p.W.Over() {
		p.W.Step()
	}
}

// Request sends on.
func (p *Direct) Request(d int, t *Try) { p.W.Send(d, t.ID, p.Choose(t.Job), nil) }

// Callback answers once a job is done.
func (p *Direct) Callback(d int, c Callback) bool {
	if c.State == "done" {
		p.W.Answer(d, c.ID, Served, c.Result, 0)
	}
	return true
}

// Start has it take work at once.
func (p *Direct) Start(d int, _ []Member) { p.W.Ready(d) }

// Leave and all below: it knows no trouble.
func (p *Direct) Leave(int, *Try)             {}
func (p *Direct) Ended(int, *HandOff, End)    {}
func (p *Direct) List(int, Listing)           {}
func (p *Direct) Broken(int, int)             {}
func (p *Direct) Message(int, int, []byte)    {}
func (p *Direct) Up(string)                   {}
func (p *Direct) Down(string)                 {}
func (p *Direct) Kill(int)                    {}
func (p *Direct) Stop(int)                    {}
func (p *Direct) Reload(int)                  {}
func (p *Direct) Upgrade(int)                 {}
func (p *Direct) Flood(int, float64, float64) {}

// Freeze and Trouble are of processes.
func (p *Direct) Freeze(int, bool) {}

// Trouble as Freeze.
func (p *Direct) Trouble(*Fault, []int, bool) {}
