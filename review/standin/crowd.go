package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"time"
)

func init() { cases["crowd"] = playCrowd }

// The times and sizes of the play with bad clients.
const (
	crowdFarEnds   = 8
	crowdClients   = 30
	crowdAtOnce    = 250 // set-ups that a bad client sends at once
	crowdFrom      = 3 * time.Second
	crowdUntil     = 12 * time.Second
	crowdPlayEnd   = 18 * time.Second
	crowdLeft      = 1500 * time.Millisecond
	lateAnswer     = 550 * time.Millisecond // after the caller's time: half a second, and the sockets' slack
	crowdedCallers = 4
)

// playCrowd plays bad clients, each of which sends hundreds of set-ups at once, and the same again as soon as one is turned away. All
// circuits to the exchanges that they call are taken. The usual callers call another exchange, and have to get their answers.
func playCrowd(r *record, trouble bool) (int, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return cannotRun, err
	}
	defer os.RemoveAll(dir)
	log, err := newChangeLog(r, 1)
	if err != nil {
		return cannotRun, err
	}
	list := []*farEnd{}
	for i := range crowdFarEnds {
		f, err := newFarEnd(r, uint32(i+1), i+1)
		if err != nil {
			return cannotRun, err
		}
		f.full = i > 0
		f.hold = func(string) time.Duration { return time.Second }
		list = append(list, f)
	}
	listen, err := freeAddress("tcp")
	if err != nil {
		return cannotRun, err
	}
	management, err := freeAddress("tcp")
	if err != nil {
		return cannotRun, err
	}
	a, err := startAgent(r, agentOptions{name: "n0", listen: listen, management: management, dir: dir, config: configuration(log.addr, 1, list)})
	if err != nil {
		return cannotRun, err
	}
	if err := a.waitReady(30 * time.Second); err != nil {
		return cannotRun, err
	}
	begun := r.now()
	s := newCallers(r, listen)
	for i := range crowdedCallers {
		go func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			s.traffic([]int{1}, 200*time.Millisecond, begun+crowdUntil, crowdLeft)
		}()
	}
	if trouble {
		for i := range crowdClients {
			go func() {
				r.sleepUntil(begun + crowdFrom)
				badClient(r, i, listen, begun+crowdUntil)
			}()
		}
	}
	r.sleepUntil(begun + crowdPlayEnd)
	return judgeAnswers(r, s), nil
}

// badClient sends set-ups at full speed, and another one for each that is turned away.
func badClient(r *record, number int, addr string, until time.Duration) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		r.add("bad", "client %d: %v", number, err)
		return
	}
	defer c.Close()
	invite := func(i int) string {
		body := "v=0 crowd\r\n"
		return fmt.Sprintf("INVITE sip:%016x@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: cccc%04x%08x\r\nCSeq: 1 INVITE\r\n"+
			"P-Kind: order-status\r\nP-Time-Left: 3000\r\nP-Path: dest:%d;width:1;via:-1\r\nContent-Length: %d\r\n\r\n%s",
			0x7f3a9c2200000000+i, number, i, 2+i%(crowdFarEnds-1), len(body), body)
	}
	var out strings.Builder
	for i := range crowdAtOnce {
		out.WriteString(invite(i))
	}
	r.add("bad", "client %d sends %d set-ups at once", number, crowdAtOnce)
	go func() { _, _ = c.Write([]byte(out.String())) }()
	sent, refused := crowdAtOnce, 0
	for in := bufio.NewReader(c); ; {
		first, _, _, err := readSIP(in)
		if err != nil {
			r.add("bad", "client %d sent %d set-ups, %d were turned away; its connection ended: %v", number, sent, refused, err)
			return
		}
		if f := strings.Fields(first); len(f) > 1 && f[1] >= "300" {
			refused++
			if r.now() < until {
				_, _ = c.Write([]byte(invite(sent)))
				sent++
			}
		}
	}
}

// judgeAnswers checks that each usual caller got its final answer half a second after its time at the latest.
func judgeAnswers(r *record, s *callers) int {
	answered, broken, worst := 0, 0, time.Duration(0)
	for _, k := range s.all() {
		if k.answeredAt > 0 {
			answered++
			worst = max(worst, k.answeredAt-k.deadline)
		}
		if k.answeredAt == 0 || k.answeredAt > k.deadline+lateAnswer {
			broken++
			r.add("judge", "broken: call %s, sent at %.3f and due at %.3f, was answered at %.3f (0: never)", k.id, k.sentAt.Seconds(),
				k.deadline.Seconds(), k.answeredAt.Seconds())
		}
	}
	r.add("judge", "%d calls answered, %d late or not, the latest %.3f s after its time", answered, broken, worst.Seconds())
	switch {
	case broken > 0:
		return ruleBroken
	case answered < 20:
		return cannotRun
	}
	return ruleHeld
}
