package platform

// This file chooses the connections that a drain keeps open for the releases of calls.

// chooseReleaseConns returns the connections that a drain keeps open, if its schedule asks for that. A call belongs to no connection,
// but only its own caller knows it, so each host with a call that is established, or whose release is not confirmed, keeps one. A call
// whose host has no connection left keeps the best one of all.
func (s *Callers) chooseReleaseConns() map[*callerConn]bool {
	if s.drain == nil || !s.drain.KeepForReleases {
		return nil
	}
	best, bestOfHost := s.bestReleaseConns()
	kept := map[*callerConn]bool{}
	for _, leg := range s.legs {
		if leg.pending {
			continue
		}
		if c := bestOfHost[leg.conn.host]; c != nil {
			kept[c] = true
		} else if best != nil {
			kept[best] = true
		}
	}
	return kept
}

// bestReleaseConns returns the best connection for releases, or nil if there is none that leads to a caller, and the best one of
// each host.
func (s *Callers) bestReleaseConns() (best *callerConn, ofHost map[string]*callerConn) {
	ofHost = map[string]*callerConn{}
	for _, c := range s.conns {
		if c.rank() < rankCaller {
			continue
		}
		if c.betterForReleases(best) {
			best = c
		}
		if c.betterForReleases(ofHost[c.host]) {
			ofHost[c.host] = c
		}
	}
	return best, ofHost
}

// betterForReleases reports whether a connection is at least as good for releases as another one, which may be nil. Callers close
// connections that have had no call for some time, so the one with the most calls is preferred among those of the same rank.
func (c *callerConn) betterForReleases(other *callerConn) bool {
	if other == nil || c.rank() != other.rank() {
		return other == nil || c.rank() > other.rank()
	}
	return len(c.legs) >= len(other.legs)
}
