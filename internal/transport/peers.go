// This file handles the datagrams between peers. It must never wait for one: a datagram that cannot be sent
// at once may be lost, like any message.

package transport

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"slices"

	"weldmast/internal/node"
)

const (
	maxDatagram       = 256
	datagramQueueSize = 256 // datagrams that wait to be sent
)

type datagram struct {
	to   int
	data []byte
}

type peerLink struct {
	node        *node.Node
	conn        *net.UDPConn // nil: there are no peers
	addrs       []netip.AddrPort
	broadcast   netip.AddrPort
	self        int
	outbox      chan datagram
	receiveGate pauseGate
}

func listenPeers(o Options, n *node.Node) (*peerLink, error) {
	s := &peerLink{node: n, addrs: o.Peers, broadcast: o.PeersAll, self: o.PeerIndex, outbox: make(chan datagram, datagramQueueSize)}
	if !o.PeerListen.IsValid() || len(o.Peers) == 0 {
		return s, nil
	}
	var err error
	s.conn, err = listenUDP(o)
	return s, err
}

func (s *peerLink) close() {
	if s != nil && s.conn != nil {
		s.conn.Close()
		s.receiveGate.resume()
	}
}

func (s *peerLink) enqueue(to int, data []byte) {
	if s.conn == nil || len(data) > maxDatagram {
		return
	}
	select {
	case s.outbox <- datagram{to, slices.Clone(data)}:
	default:
	}
}

func (s *peerLink) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-s.outbox:
			switch {
			case d.to >= 0 && d.to < len(s.addrs):
				s.write(d.data, s.addrs[d.to])
			case d.to < 0 && s.broadcast.IsValid():
				s.write(d.data, s.broadcast)
			case d.to < 0:
				for k, p := range s.addrs {
					if k != s.self {
						s.write(d.data, p)
					}
				}
			}
		}
	}
}

func (s *peerLink) write(data []byte, to netip.AddrPort) {
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil && !errors.Is(err, net.ErrClosed) {
		slog.Warn("datagram", "datagram", to, "err", err)
	}
}

// receive passes on datagrams from peers. It ignores datagrams from other addresses and those that are too
// long.
func (s *peerLink) receive() {
	if s.conn == nil {
		return
	}
	buf := make([]byte, maxDatagram+1)
	for {
		s.receiveGate.wait()
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a previous datagram was refused
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if k := slices.Index(s.addrs, from); k >= 0 && k != s.self && n <= maxDatagram {
			s.node.Enqueue(node.PeerMessage{From: k, Data: slices.Clone(buf[:n])})
		}
	}
}
