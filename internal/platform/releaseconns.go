package platform

// This file chooses the connections that a drain keeps open for the releases of calls.

// chooseReleaseConns returns the connections that a drain keeps open, if its schedule asks for that: each one on which a call stands that
// was set up there, or on which its release is not confirmed. Its caller does not close such a connection, but may close any other one.
// A call whose connection has ended needs one of its caller's, which may close them in any order, so all that may be its caller's stay.
func (s *Callers) chooseReleaseConns() map[*callerConn]bool {
	if s.drain == nil || !s.drain.KeepForReleases {
		return nil
	}
	kept, orphanHosts := map[*callerConn]bool{}, map[string]bool{}
	for _, leg := range s.legs {
		switch {
		case leg.pending:
		case !leg.conn.closed:
			kept[leg.conn] = true
		default:
			orphanHosts[leg.conn.host] = true
		}
	}
	for host := range orphanHosts {
		for _, c := range s.callerConnsFor(host) {
			kept[c] = true
		}
	}
	return kept
}

// callerConnsFor returns the connections that lead to callers on a host, or if there are none, all that lead to callers.
func (s *Callers) callerConnsFor(host string) (conns []*callerConn) {
	var ofOthers []*callerConn
	for _, c := range s.conns {
		switch {
		case c.rank() < rankCaller:
		case c.host == host:
			conns = append(conns, c)
		default:
			ofOthers = append(ofOthers, c)
		}
	}
	if len(conns) == 0 {
		return ofOthers
	}
	return conns
}
