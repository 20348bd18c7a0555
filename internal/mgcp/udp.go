package mgcp

import (
	"errors"
	"net"
	"net/netip"

	"tinbeam/internal/agent"
	"tinbeam/internal/metrics"
)

// Socket is the UDP socket of the front. It is not netpoll's: netpoll 0.7 has no datagrams (TestNetpollHasNoDatagrams
// measures it), so one goroutine reads the one socket, and posts as the connections' callbacks do.
type Socket struct{ conn *net.UDPConn }

// Listen opens the socket.
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

// Addr is where it listens.
func (s *Socket) Addr() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Send sends a datagram. One that the kernel does not take is lost, as any datagram can be: it is sent again.
func (s *Socket) Send(to netip.AddrPort, b []byte) { _, _ = s.conn.WriteToUDPAddrPort(b, to) }

// Serve posts what comes to the loop until the socket is closed.
func (s *Socket) Serve(loop *agent.Loop, m *metrics.Set, datagram func(netip.AddrPort, []byte)) {
	buf := make([]byte, MaxDatagram+1)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > MaxDatagram {
			m.Malformed.Inc()
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		b := append([]byte(nil), buf[:n]...)
		loop.Post(func() { datagram(from, b) })
	}
}

// Close closes the socket.
func (s *Socket) Close() { _ = s.conn.Close() }
