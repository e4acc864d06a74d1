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

// peerLink sends and receives datagrams of peers.
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
	l := &peerLink{node: n, addrs: o.Peers, broadcast: o.PeersAll, self: o.PeerIndex, outbox: make(chan datagram, datagramQueueSize)}
	if !o.PeerListen.IsValid() || len(o.Peers) == 0 {
		return l, nil
	}
	var err error
	l.conn, err = listenUDP(o)
	return l, err
}

func (l *peerLink) close() {
	if l != nil && l.conn != nil {
		l.conn.Close()
		l.receiveGate.resume()
	}
}

func (l *peerLink) enqueue(to int, data []byte) {
	if l.conn == nil || len(data) > maxDatagram {
		return
	}
	select {
	case l.outbox <- datagram{to, slices.Clone(data)}:
	default:
	}
}

func (l *peerLink) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-l.outbox:
			switch {
			case d.to >= 0 && d.to < len(l.addrs):
				l.write(d.data, l.addrs[d.to])
			case d.to < 0 && l.broadcast.IsValid():
				l.write(d.data, l.broadcast)
			case d.to < 0:
				for k, p := range l.addrs {
					if k != l.self {
						l.write(d.data, p)
					}
				}
			}
		}
	}
}

func (l *peerLink) write(data []byte, to netip.AddrPort) {
	if _, err := l.conn.WriteToUDPAddrPort(data, to); err != nil && !errors.Is(err, net.ErrClosed) {
		slog.Warn("datagram", "datagram", to, "err", err)
	}
}

// receive passes on datagrams from peers. It ignores datagrams from other addresses and those that are too
// long.
func (l *peerLink) receive() {
	if l.conn == nil {
		return
	}
	buf := make([]byte, maxDatagram+1)
	for {
		l.receiveGate.wait()
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // a previous datagram was refused
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if k := slices.Index(l.addrs, from); k >= 0 && k != l.self && n <= maxDatagram {
			l.node.Enqueue(node.PeerMessage{From: k, Data: slices.Clone(buf[:n])})
		}
	}
}
