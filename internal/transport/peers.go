// This file owns the datagrams between siblings. It must never wait for one: what cannot be sent at once may
// be lost, as any message may.

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
	datagramMost = 256
	datagramsOut = 256 // that wait to be sent
)

type datagram struct {
	to   int
	data []byte
}

type siblings struct {
	node  *node.Node
	conn  *net.UDPConn // nil: there are none to talk to
	peers []netip.AddrPort
	all   netip.AddrPort
	me    int
	out   chan datagram
	gate  gate
}

func listenSiblings(o Options, n *node.Node) (*siblings, error) {
	s := &siblings{node: n, peers: o.Peers, all: o.PeersAll, me: o.PeerIndex, out: make(chan datagram, datagramsOut)}
	if !o.PeerListen.IsValid() || len(o.Peers) == 0 {
		return s, nil
	}
	var err error
	s.conn, err = listenPacket(o)
	return s, err
}

func (s *siblings) close() {
	if s != nil && s.conn != nil {
		s.conn.Close()
		s.gate.open()
	}
}

func (s *siblings) tell(to int, data []byte) {
	if s.conn == nil || len(data) > datagramMost {
		return
	}
	select {
	case s.out <- datagram{to, slices.Clone(data)}:
	default:
	}
}

func (s *siblings) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-s.out:
			switch {
			case d.to >= 0 && d.to < len(s.peers):
				s.write(d.data, s.peers[d.to])
			case d.to < 0 && s.all.IsValid():
				s.write(d.data, s.all)
			case d.to < 0:
				for k, p := range s.peers {
					if k != s.me {
						s.write(d.data, p)
					}
				}
			}
		}
	}
}

func (s *siblings) write(data []byte, to netip.AddrPort) {
	if _, err := s.conn.WriteToUDPAddrPort(data, to); err != nil && !errors.Is(err, net.ErrClosed) {
		slog.Warn("datagram", "datagram", to, "err", err)
	}
}

// receive passes on what siblings send; what comes from elsewhere or is too long is passed over.
func (s *siblings) receive() {
	if s.conn == nil {
		return
	}
	buf := make([]byte, datagramMost+1)
	for {
		s.gate.wait()
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a refused datagram shows here
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if k := slices.Index(s.peers, from); k >= 0 && k != s.me && n <= datagramMost {
			s.node.Enqueue(node.PeerMessage{From: k, Data: slices.Clone(buf[:n])})
		}
	}
}
