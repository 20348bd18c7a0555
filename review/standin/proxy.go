package main

import (
	"net"
	"sync"
	"time"
)

// slowProxy passes connections on to an address. What the address sends is passed on after a delay, in order.
type slowProxy struct {
	addr         string
	target       string
	mu           sync.Mutex
	delay        time.Duration // of what the target sends
	requestDelay time.Duration // of what is sent to the target
}

func newSlowProxy(target string) (*slowProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &slowProxy{addr: ln.Addr().String(), target: target}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *slowProxy) setDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// setRequestDelay sets the delay of what is sent to the target.
func (p *slowProxy) setRequestDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requestDelay = d
}

// delays returns the present delays of both directions.
func (p *slowProxy) delays() (answer, request time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay, p.requestDelay
}

func (p *slowProxy) serve(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	go pass(in, out, func() time.Duration { _, d := p.delays(); return d })
	pass(out, in, func() time.Duration { d, _ := p.delays(); return d })
}

// pass passes on what one connection sends to another one, in order and late, and its end as well.
func pass(from, to net.Conn, delay func() time.Duration) {
	type piece struct {
		bytes []byte // nil: the end
		due   time.Time
	}
	pieces := make(chan piece, 4096)
	go func() {
		defer close(pieces)
		for {
			b := make([]byte, 4096)
			n, err := from.Read(b)
			if n > 0 {
				pieces <- piece{b[:n], time.Now().Add(delay())}
			}
			if err != nil {
				pieces <- piece{nil, time.Now().Add(delay())}
				return
			}
		}
	}()
	for x := range pieces {
		time.Sleep(time.Until(x.due))
		if x.bytes == nil {
			_ = to.Close()
		} else if _, err := to.Write(x.bytes); err != nil {
			break
		}
	}
	_ = from.Close()
	for range pieces { // until the reader has ended
	}
}
