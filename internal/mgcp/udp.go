package mgcp

import (
	"errors"
	"net"
	"net/netip"
	"sync/atomic"

	"tinbeam/internal/agent"
	"tinbeam/internal/metrics"
)

// maxQueuedDatagrams is how many datagrams may have been received and not handled yet; further ones are dropped.
const maxQueuedDatagrams = 1024

// Socket is the UDP socket of the front end. It does not use netpoll, since netpoll 0.7 does not support datagrams
// (TestNetpollHasNoDatagrams checks this). Instead, one goroutine reads the socket and posts to the core's loop, as the
// callbacks of connections do.
type Socket struct{ conn *net.UDPConn }

// Listen opens a socket on addr.
func Listen(addr string) (*Socket, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, err
	}
	return &Socket{conn}, nil
}

// Addr returns the address that the socket is bound to.
func (s *Socket) Addr() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Send sends a datagram. If the kernel does not accept it, it is lost as any datagram may be, and the transaction layer
// retransmits it.
func (s *Socket) Send(to netip.AddrPort, b []byte) { _, _ = s.conn.WriteToUDPAddrPort(b, to) }

// Serve reads datagrams and posts each to the loop, where handle is called, until the socket is closed.
func (s *Socket) Serve(loop *agent.Loop, counters *metrics.Set, handle func(netip.AddrPort, []byte)) {
	var queued atomic.Int32
	buf := make([]byte, MaxDatagram+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > MaxDatagram {
			counters.Malformed.Inc()
			continue
		}
		if queued.Load() >= maxQueuedDatagrams {
			counters.MGCPDropped.Inc() // as if it had been lost: the gateway sends it again
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		b := append([]byte(nil), buf[:n]...)
		queued.Add(1)
		loop.Post(func() {
			queued.Add(-1)
			handle(from, b)
		})
	}
}

// Close closes the socket.
func (s *Socket) Close() { _ = s.conn.Close() }
