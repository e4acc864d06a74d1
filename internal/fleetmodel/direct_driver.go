// This file has a driver that makes no decisions: it sends every request at once to the worker that a given
// function picks. With it the model alone can be compared with queueing theory.

package fleetmodel

// DirectDriver is a driver whose dispatchers send each request on when it arrives.
type DirectDriver struct {
	Model *Model
	Pick  func(j *Job) string // returns the worker's ID
}

// Run runs the experiment without any delay or decision of dispatchers. Clients arrive from time 0 on.
func (p *DirectDriver) Run() {
	p.Model.Begin(p, 0)
	for !p.Model.Done() {
		p.Model.Step()
	}
}

// RequestArrived hands the request off.
func (p *DirectDriver) RequestArrived(d int, r *Request) {
	p.Model.HandOff(d, r.ID, p.Pick(r.Job), nil)
}

// Callback answers the request once its job is done.
func (p *DirectDriver) Callback(d int, c Callback) bool {
	if c.State == "done" {
		p.Model.Answer(d, c.ID, Served, c.Result, 0)
	}
	return true
}

// StartDispatcher makes the dispatcher ready at once.
func (p *DirectDriver) StartDispatcher(d int, _ []WorkerEntry) { p.Model.DispatcherReady(d) }

// ClientLeft and all methods below do nothing: the driver supports no faults.
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

// SetPaused does nothing: there are no processes to suspend.
func (p *DirectDriver) SetPaused(int, bool) {}

// SetFleetFault does nothing: there is no fleet.
func (p *DirectDriver) SetFleetFault(*Fault, []int, bool) {}
