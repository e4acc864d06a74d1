package dispatch

import (
	"hash/fnv"
	"math"
	"slices"
)

// A message names one worker, by 16 bits of its id's hash, and tells for how long its sender has a further
// hand-off out there: a byte, on a scale of sixteenths of doublings; 0 for one that ended. Workers whose
// names collide are told apart by the deal, unless the two dispatchers share both: then both count as
// loaded until the time told.

// suspicion as a fourth byte: the message tells of the worker itself, that it failed work.
const suspicionMarker = 1

func hash(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return mix(h.Sum64())
}

// mix spreads its bits over all others (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (d *Dispatcher) encodeNotice(w *worker, duration float64) []byte {
	code := 0.
	if duration > 0 {
		code = min(max(16*math.Log2(duration), 1), 255)
	}
	d.msgBuf = append(d.msgBuf[:0], byte(w.idHash>>8), byte(w.idHash), byte(code))
	return d.msgBuf
}

func decodeNotice(w *worker, data []byte) (duration float64, ok bool) {
	if len(data) != 3 || data[0] != byte(w.idHash>>8) || data[1] != byte(w.idHash) {
		return 0, false
	}
	if data[2] == 0 {
		return 0, true
	}
	return math.Exp2(float64(data[2]) / 16), true
}

// named are the workers of the part that a message may name.
func (d *Dispatcher) candidatesNamedBy(data []byte) []*worker {
	if len(data) < 2 {
		return nil
	}
	if d.candidatesByTag == nil {
		d.candidatesByTag = map[uint16][]*worker{}
		for _, w := range d.candidates {
			d.candidatesByTag[uint16(w.idHash)] = append(d.candidatesByTag[uint16(w.idHash)], w)
		}
	}
	return d.candidatesByTag[uint16(data[0])<<8|uint16(data[1])]
}

// Heard takes a sibling's message.
func (d *Dispatcher) PeerMessageReceived(from int, data []byte) {
	if from < 0 || from >= d.params.dispatchers || from == d.params.position {
		return
	}
	d.lastPeerMessage = d.now
	if len(data) == 4 && data[3] == suspicionMarker {
		for _, w := range d.candidatesNamedBy(data) {
			if _, ok := decodeNotice(w, data[:3]); ok && slices.Contains(w.sharers, from) {
				w.suspectedUntil = d.now + suspicionPeriod
			}
		}
		return
	}
	d.noticesReceived.add(d.now, trafficWindow, 1)
	for _, w := range d.candidatesNamedBy(data) {
		if duration, ok := decodeNotice(w, data); ok && slices.Contains(w.sharers, from) {
			if duration > 0 {
				w.peerLeases = append(w.peerLeases, lease{from, d.now + duration})
			} else if k := slices.IndexFunc(w.peerLeases, func(l lease) bool { return l.from == from }); k >= 0 {
				w.peerLeases = slices.Delete(w.peerLeases, k, k+1)
			}
		}
	}
}
