// This file models what surrounds a dispatcher's process: its start and end, discovery, and messages of its
// peers.

package fleetmodel

import (
	"cmp"
	"slices"

	"weldmast/internal/dispatch"
)

// Times of the client side that the model stands in for, in milliseconds.
const (
	watchTimeout        = 3000 // a watch that stays silent for this time has ended
	watchRequestTimeout = 1000 // the same for a watch request without an answer
	callbackRetryDelay  = 200  // between attempts of a callback
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

// DispatcherReady is called by the driver when a dispatcher takes work.
func (m *Model) DispatcherReady(n int) {
	d := m.dispatchers[n]
	if d.ready {
		return
	}
	d.ready, d.inRotation = true, true
}

// AllDispatchersReady reports whether every dispatcher takes work.
func (m *Model) AllDispatchersReady() bool {
	for _, d := range m.dispatchers {
		if !d.ready {
			return false
		}
	}
	return true
}

// DispatcherExited is called by the driver when a dispatcher's process has ended by itself. Requests that it
// had not answered are lost.
func (m *Model) DispatcherExited(n int) {
	if d := m.dispatchers[n]; d.up {
		m.processEnded(d)
		m.After(float64(m.Experiment.Dispatchers.RestartDelay), func() { m.startDispatcher(d) })
	}
}

// processEnded handles the end of a dispatcher's process: its connections are reset, and its jobs at workers
// go on.
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

// pauseDispatcher suspends a process: its connections stay open, but nothing is read or written. The clients'
// load balancer detects it as it detects a death.
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

// DispatcherPaused reports whether a dispatcher is suspended, and when it was last resumed.
func (m *Model) DispatcherPaused(n int) (paused bool, resumedAt float64) {
	return m.dispatchers[n].paused, m.dispatchers[n].resumedAt
}

func (m *Model) stopDispatcher(d *dispatcher) {
	if !d.up {
		return
	}
	incarnation := d.incarnation
	m.driver.StopDispatcher(d.index)
	// The load balancer sends no more connections. Clients keep using the connections they have while these
	// last.
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

// Watch is called by the driver when a dispatcher starts a discovery watch.
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

// deliverUpdate gives a discovery update to a dispatcher, which knows its content from now on.
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

// publishChange makes discovery announce changed workers after its delay.
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

// silenceDiscovery makes discovery silent for a duration. Watches end when their timeout detects the silence.
// The next watch reports the changes made meanwhile.
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
		// after a short silence the watch continues with the complete list, so that no change is missed
		for _, d := range m.dispatchers {
			if d.up && d.watching {
				m.Watch(d.index, d.watchNumber, -1)
			}
		}
	})
}

// SendToPeers carries a message to another dispatcher, or to all others if to is -1.
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
