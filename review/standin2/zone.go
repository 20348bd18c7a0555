package main

import "time"

// Bounds of the pages, each 50 ms longer as the rules on sockets say.
const (
	releaseBound     = time.Second + 50*time.Millisecond   // from a release by the far end
	lostReleaseBound = 8*time.Second + 50*time.Millisecond // from the end of a call whose release could not be sent
)

func init() { cases["zone"] = zoneReturnsCold }

// zoneReturnsCold loses a zone, which has one far end, for 4 s, after which the far end returns with a new process. The list
// tells of the new start 6 s later.
func zoneReturnsCold(r *run) {
	const lostFor, listLate = 4 * time.Second, 6 * time.Second
	lost, other, third := r.newFarEnd("far end 1"), r.newFarEnd("far end 2"), r.newFarEnd("far end 3")
	other.hold, third.hold = 2*time.Second, 2*time.Second
	log := r.newChangeLog()
	addr := r.freeAddr()
	list := []listing{{id: 1, addr: lost.addr(), exchange: 1, zone: 1}, {id: 2, addr: other.addr(), exchange: 2, zone: 2},
		{id: 3, addr: third.addr(), exchange: 3, zone: 2}}
	r.start("agent", configuration(addr, r.freeAddr(), log.addr(), list), nil)
	desk := r.newCaller("caller", addr)
	conn := desk.connect()
	var calls []*callState
	for range 6 {
		calls = append(calls, conn.stand(1))
	}
	traffic := desk.connect()
	stop := make(chan struct{})
	defer close(stop)
	go func() { // some calls to the other exchanges go on
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
				traffic.setUp(2 + i%2)
			}
		}
	}()
	time.Sleep(time.Second)
	ended, bound := time.Now(), lostReleaseBound
	if r.trouble {
		lost.vanish()
		time.Sleep(time.Until(ended.Add(lostFor)))
		lost.comeBack()
		started := time.Now()
		time.Sleep(time.Until(started.Add(listLate)))
		log.add(listing{id: 1, addr: lost.addr(), exchange: 1, zone: 1, started: started.UnixMilli()})
	} else {
		bound = releaseBound
		for _, call := range calls {
			lost.release(call.id)
		}
	}
	time.Sleep(time.Until(ended.Add(13 * time.Second)))
	for _, call := range calls {
		switch now := desk.look(call); {
		case now.stands:
			r.breaks("call %s is left standing %v after its end", call.id, time.Since(ended).Round(time.Millisecond))
		case now.releasedAt.Sub(ended) > bound:
			r.breaks("call %s was released %v after its end, the bound is %v", call.id, now.releasedAt.Sub(ended).Round(time.Millisecond), bound)
		default:
			r.note("call %s was released %v after its end", call.id, now.releasedAt.Sub(ended).Round(time.Millisecond))
		}
	}
}
