package main

import "time"

func init() { cases["from"] = fromWithName }

// fromWithName sets calls up with a From header that has a display name, as the free headers of SIP may.
func fromWithName(r *run) {
	far := r.newFarEnd("far end 1")
	addr := r.freeAddr()
	r.start("agent", configuration(addr, r.freeAddr(), "", []listing{{id: 1, addr: far.addr(), exchange: 1}}), nil)
	desk := r.newCaller("caller", addr)
	desk.from = "<sip:desk4@members.example>;tag=7a1"
	if r.trouble {
		desk.from = `"Trading Desk 4" <sip:desk4@members.example>;tag=7a1`
	}
	conn := desk.connect()
	var calls []*callState
	for range 3 {
		calls = append(calls, conn.stand(1))
	}
	ended := time.Now()
	for _, call := range calls {
		far.release(call.id)
	}
	time.Sleep(lostReleaseBound)
	for _, call := range calls {
		if now := desk.look(call); now.stands {
			r.breaks("call %s is left standing %v after the far end released it", call.id, lostReleaseBound)
		} else {
			r.note("call %s was released %v after the far end released it", call.id, now.releasedAt.Sub(ended).Round(time.Millisecond))
		}
	}
}
