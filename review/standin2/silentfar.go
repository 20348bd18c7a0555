package main

import "time"

func init() { cases["silentfar"] = silentFarConn }

// silentFarConn lets one of the agent's connections to a far end fall silent, on which calls stand. The far end does not notice: it sends the
// releases of these calls on that connection, which it takes for open, and also on the next one that is opened.
func silentFarConn(r *run) {
	far := r.newFarEnd("far end 1")
	way := r.newRelay(far.addr())
	addr := r.freeAddr()
	r.start("agent", configuration(addr, r.freeAddr(), "", []listing{{id: 1, addr: way.addr(), exchange: 1}}), nil)
	time.Sleep(500 * time.Millisecond)
	desk := r.newCaller("caller", addr)
	conn := desk.connect()
	var calls []*callState
	for range 6 {
		calls = append(calls, conn.stand(1))
	}
	far.setHold(time.Second) // of the calls that follow
	traffic := desk.connect()
	stop := make(chan struct{})
	defer close(stop)
	go func() { // calls to this far end go on
		for {
			select {
			case <-stop:
				return
			case <-time.After(400 * time.Millisecond):
				traffic.setUp(1)
			}
		}
	}()
	time.Sleep(time.Second)
	var on []*callState // the calls of the connection that falls silent
	address := far.connectionOf(calls[0].id)
	for _, call := range calls {
		if far.connectionOf(call.id) == address {
			on = append(on, call)
		}
	}
	fell := time.Now()
	if r.trouble {
		r.note("the connection of %d calls falls silent", len(on))
		way.silence(address)
	}
	ended := map[*callState]time.Time{}
	for i, call := range on { // they end 2 s, 4 s, ... after that
		time.Sleep(time.Until(fell.Add(time.Duration(i+1) * 2 * time.Second)))
		ended[call] = time.Now()
		far.release(call.id)
	}
	time.Sleep(lostReleaseBound)
	for _, call := range on {
		r.note("call %s ended %v after the silence began", call.id, ended[call].Sub(fell).Round(time.Millisecond))
		now := desk.look(call)
		switch {
		case now.stands:
			r.breaks("call %s is left standing %v after the far end released it", call.id, time.Since(ended[call]).Round(time.Millisecond))
		case now.releasedAt.Sub(ended[call]) > lostReleaseBound:
			r.breaks("call %s was released %v after the far end released it", call.id, now.releasedAt.Sub(ended[call]).Round(time.Millisecond))
		default:
			r.note("call %s was released %v after the far end released it", call.id, now.releasedAt.Sub(ended[call]).Round(time.Millisecond))
		}
	}
}

// setHold sets how long the calls stand that come from now on.
func (f *farEnd) setHold(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hold = d
}

// connectionOf returns the agent's address of the connection on which a standing call was set up.
func (f *farEnd) connectionOf(uid string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.calls[uid]
	f.run.need(c != nil, "call %s does not stand", uid)
	return c.RemoteAddr().String()
}
