// This file owns the port that decides nothing: every request goes at once to the worker of a choice that is handed in.
// With it the model stands alone beside queueing theory.

package fleetmodel

// Direct is a port whose dispatchers send each request on as it comes.
type DirectDriver struct {
	Model *Model
	Pick  func(j *Job) string // the worker's id
}

// Play plays an experiment without dispatchers' delays or decisions. Clients come at time 0.
func (p *DirectDriver) Run() {
	p.Model.Begin(p, 0)
	for !p.Model.Done() {
		p.Model.Step()
	}
}

// Request sends on.
func (p *DirectDriver) RequestArrived(d int, t *Request) {
	p.Model.HandOff(d, t.ID, p.Pick(t.Job), nil)
}

// Callback answers once a job is done.
func (p *DirectDriver) Callback(d int, c Callback) bool {
	if c.State == "done" {
		p.Model.Answer(d, c.ID, Served, c.Result, 0)
	}
	return true
}

// Start has it take work at once.
func (p *DirectDriver) StartDispatcher(d int, _ []WorkerEntry) { p.Model.DispatcherReady(d) }

// Leave and all below: it knows no trouble.
func (p *DirectDriver) ClientLeft(int, *Request)                  {}
func (p *DirectDriver) HandOffEnded(int, *HandOff, HandOffResult) {}
func (p *DirectDriver) DiscoveryUpdated(int, DiscoveryUpdate)     {}
func (p *DirectDriver) WatchEnded(int, int)                       {}
func (p *DirectDriver) PeerMessage(int, int, []byte)              {}
func (p *DirectDriver) WorkerStarted(string)                      {}
func (p *DirectDriver) WorkerStopped(string)                      {}
func (p *DirectDriver) KillDispatcher(int)                        {}
func (p *DirectDriver) StopDispatcher(int)                        {}
func (p *DirectDriver) ReloadDispatcher(int)                      {}
func (p *DirectDriver) UpgradeDispatcher(int)                     {}
func (p *DirectDriver) FloodConnections(int, float64, float64)    {}

// Freeze and Trouble are of processes.
func (p *DirectDriver) SetPaused(int, bool) {}

// Trouble as Freeze.
func (p *DirectDriver) SetFleetFault(*Fault, []int, bool) {}
