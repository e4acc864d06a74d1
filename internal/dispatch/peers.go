package dispatch

import (
	"hash/fnv"
	"math"
	"slices"
)

// A notice identifies one worker by 16 bits of its ID's hash, and says for how long its sender has a further
// hand-off outstanding there: one byte, in sixteenths of a doubling; 0 for a hand-off that ended. Where two
// workers have the same 16 bits, the sender tells them apart, as only dispatchers that share a worker send
// notices of it. If the two dispatchers share both workers, both count as loaded for the announced time.

// suspicionMarker is the fourth byte of a message that reports the worker itself as suspected, as it failed
// work.
const suspicionMarker = 1

// hash returns a well-mixed hash of an ID or a key.
func hash(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return mix(h.Sum64())
}

// mix spreads each bit of x over all others (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// encodeNotice encodes a notice in a buffer that the next call reuses.
func (d *Dispatcher) encodeNotice(w *worker, duration float64) []byte {
	code := 0.
	if duration > 0 {
		code = min(max(16*math.Log2(duration), 1), 255)
	}
	d.msgBuf = append(d.msgBuf[:0], byte(w.idHash>>8), byte(w.idHash), byte(code))
	return d.msgBuf
}

// decodeNotice returns the duration that a notice announces, and false if it is not about the worker.
func decodeNotice(w *worker, data []byte) (duration float64, ok bool) {
	if len(data) != 3 || data[0] != byte(w.idHash>>8) || data[1] != byte(w.idHash) {
		return 0, false
	}
	if data[2] == 0 {
		return 0, true
	}
	return math.Exp2(float64(data[2]) / 16), true
}

// candidatesNamedBy returns the candidates that a message may be about.
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

// PeerMessageReceived takes a message from a peer: a notice of a hand-off, or a suspicion. It ignores
// messages from unknown senders, and notices of workers that the sender does not share.
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
