// This file owns what dispatchers meet of one another, of discovery and of their own ends.

package fleetmodel

import (
	"cmp"
	"slices"

	"weldmast/internal/dispatch"
)

// Times of the stand-in for a dispatcher's own machine.
const (
	watchTimeout        = 3000 // a watch that says nothing for so long has ended
	watchRequestTimeout = 1000 // one that was never answered
	callbackRetryDelay  = 200  // between tries of a callback
	callbackAttempts    = 10
)

func (m *Model) startDispatcher(d *dispatcher) {
	d.up, d.ready, d.watching = true, false, false
	d.incarnation++
	d.arrivalOrder = d.arrivalOrder[:0]
	clear(d.openRequests)
	known := make([]WorkerEntry, 0, len(d.knownWorkers))
	for _, entry := range d.knownWorkers {
		known = append(known, entry)
	}
	slices.SortFunc(known, func(a, b WorkerEntry) int { return cmp.Compare(a.ID, b.ID) })
	m.Checker.DispatcherStarted(m.now, d.index)
	m.driver.StartDispatcher(d.index, known)
}

// Ready is called by the driver when a dispatcher takes work.
func (m *Model) DispatcherReady(n int) {
	d := m.dispatchers[n]
	if d.ready {
		return
	}
	d.ready, d.inRotation = true, true
}

// AllReady tells whether every dispatcher takes work.
func (m *Model) AllDispatchersReady() bool {
	for _, d := range m.dispatchers {
		if !d.ready {
			return false
		}
	}
	return true
}

// Exited is called by the driver when a dispatcher's process has ended by itself. What it had not answered is lost.
func (m *Model) DispatcherExited(n int) {
	if d := m.dispatchers[n]; d.up {
		m.processEnded(d)
		m.After(float64(m.Experiment.Dispatchers.RestartDelay), func() { m.startDispatcher(d) })
	}
}

// end is a process's: its connections are reset, what was out at workers goes on there.
func (m *Model) processEnded(d *dispatcher) {
	d.up, d.ready, d.watching, d.paused = false, false, false, false
	incarnation := d.incarnation
	m.Checker.DispatcherDied(m.now, d.index)
	for _, id := range d.arrivalOrder {
		if r := d.openRequests[id]; r != nil {
			delete(d.openRequests, id)
			m.After(m.networkDelay(d.site, r.Job.Site), func() { m.connectionFailed(r) })
		}
	}
	m.After(float64(m.Experiment.Network.DetectionDelay), func() {
		if !d.ready || d.incarnation == incarnation {
			d.inRotation = d.ready
		}
	})
}

func (m *Model) killDispatcher(d *dispatcher, restart bool) {
	if !d.up {
		return
	}
	m.processEnded(d)
	m.driver.KillDispatcher(d.index)
	if restart {
		m.After(float64(m.Experiment.Dispatchers.RestartDelay), func() { m.startDispatcher(d) })
	}
}

// freeze has a process stand still: its connections stay, nothing is read or written. The clients' front sees that as it
// sees a death.
func (m *Model) pauseDispatcher(d *dispatcher, duration float64) {
	if !d.up || d.paused {
		return
	}
	incarnation := d.incarnation
	d.paused = true
	m.Checker.DispatcherPaused(m.now, d.index)
	m.driver.SetPaused(d.index, true)
	m.After(float64(m.Experiment.Network.DetectionDelay), func() {
		if d.incarnation == incarnation && d.paused {
			d.inRotation = false
		}
	})
	m.After(duration, func() {
		if d.incarnation != incarnation || !d.up {
			return
		}
		d.paused, d.inRotation, d.resumedAt = false, d.ready, m.now
		m.Checker.DispatcherResumed(m.now, d.index)
		m.driver.SetPaused(d.index, false)
	})
}

// Frozen tells whether a dispatcher stands still, and when it last went on.
func (m *Model) DispatcherPaused(n int) (paused bool, resumedAt float64) {
	return m.dispatchers[n].paused, m.dispatchers[n].resumedAt
}

func (m *Model) stopDispatcher(d *dispatcher) {
	if !d.up {
		return
	}
	incarnation := d.incarnation
	m.driver.StopDispatcher(d.index)
	// The front deals out no more connections, clients go on with those that they have for as long as they last.
	m.After(300, func() {
		if d.incarnation == incarnation {
			d.inRotation = false
		}
	})
	m.After(float64(m.Experiment.Dispatchers.StopTimeout), func() {
		if d.up && d.incarnation == incarnation {
			m.killDispatcher(d, true)
		}
	})
}

// Watch is a dispatcher's wish to be told of the fleet.
func (m *Model) Watch(n, number int, afterRevision int64) {
	d := m.dispatchers[n]
	incarnation := d.incarnation
	d.watchNumber, d.watching = number, true
	if m.discoveryOutages > 0 || m.isCut(discoveryPath, d, d.site) {
		m.After(watchRequestTimeout, func() { m.endWatch(d, incarnation, number) })
		return
	}
	m.After(m.networkDelay(d.site, d.site), func() {
		if d.incarnation != incarnation || d.watchNumber != number || !d.up {
			return
		}
		update := DiscoveryUpdate{Watch: number, Revision: m.revision, Complete: true}
		for _, w := range m.workers {
			if w.listed && w.state != dispatch.Gone && !w.falselyGone {
				update.Workers = append(update.Workers, w.entry())
			}
		}
		m.deliverUpdate(d, update)
	})
}

func (m *Model) endWatch(d *dispatcher, incarnation, number int) {
	if d.up && d.incarnation == incarnation && d.watchNumber == number && d.watching {
		d.watching = false
		m.driver.WatchEnded(d.index, number)
	}
}

// tell gives a list to a dispatcher; from now on it knows.
func (m *Model) deliverUpdate(d *dispatcher, update DiscoveryUpdate) {
	if update.Complete {
		for id := range d.knownWorkers {
			m.Checker.WorkerListed(m.now, d.index, id, dispatch.Gone, 0)
		}
		clear(d.knownWorkers)
	}
	for _, entry := range update.Workers {
		m.Checker.WorkerListed(m.now, d.index, entry.ID, entry.State, entry.reportedStart)
		if entry.State == dispatch.Gone {
			delete(d.knownWorkers, entry.ID)
		} else {
			d.knownWorkers[entry.ID] = entry
		}
	}
	m.driver.DiscoveryUpdated(d.index, update)
}

// changed has discovery tell of workers, after the time that it needs.
func (m *Model) publishChange(workers ...*worker) {
	m.revision++
	revision := m.revision
	entries := make([]WorkerEntry, len(workers))
	for k, w := range workers {
		entries[k] = w.entry()
	}
	for _, d := range m.dispatchers {
		m.After(float64(m.Experiment.Network.DiscoveryDelay)*(0.5+m.networkRand.Float64())+m.discoveryExtraDelay, func() {
			if d.up && d.watching && m.discoveryOutages == 0 && !m.isCut(discoveryPath, d, d.site) {
				m.deliverUpdate(d, DiscoveryUpdate{Watch: d.watchNumber, Revision: revision, Workers: entries})
			}
		})
	}
}

// hush makes discovery silent for a time; watches end once they have noticed, and what changed meanwhile is told by
// the next ones.
func (m *Model) silenceDiscovery(duration float64) {
	m.discoveryOutages++
	for _, d := range m.dispatchers {
		number, incarnation := d.watchNumber, d.incarnation
		m.After(watchTimeout, func() {
			if m.discoveryOutages > 0 {
				m.endWatch(d, incarnation, number)
			}
		})
	}
	m.After(duration, func() {
		if m.discoveryOutages--; m.discoveryOutages > 0 {
			return
		}
		for _, d := range m.dispatchers { // a short silence: the watch goes on with the whole list, nothing is left out
			if d.up && d.watching {
				m.Watch(d.index, d.watchNumber, -1)
			}
		}
	})
}

// Tell carries a message to siblings; to -1: all.
func (m *Model) SendToPeers(from, to int, data []byte) {
	data = slices.Clone(data)
	recipients := m.dispatchers
	if to >= 0 {
		recipients = recipients[to:min(to+1, len(recipients))]
	}
	for _, d := range recipients {
		if d.index == from || !m.Experiment.Dispatchers.PeerMessages {
			continue
		}
		if m.peerLossRate > 0 && m.networkRand.Float64() < m.peerLossRate || m.isCut(peerPath, d, d.site) {
			continue
		}
		m.After(m.networkDelay(m.dispatchers[from].site, d.site)+m.peerExtraDelay, func() {
			if d.up {
				m.driver.PeerMessage(d.index, from, data)
			}
		})
	}
}
