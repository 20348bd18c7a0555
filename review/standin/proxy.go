package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// slowProxy passes connections on to an address. What the address sends is passed on after a delay, in order.
type slowProxy struct {
	addr   string
	target string
	mu     sync.Mutex
	delay  time.Duration
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

func (p *slowProxy) presentDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay
}

func (p *slowProxy) serve(in net.Conn) {
	defer in.Close()
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer out.Close()
	go func() {
		_, _ = io.Copy(out, in)
		_ = out.Close()
		_ = in.Close()
	}()
	type piece struct {
		bytes []byte
		due   time.Time
	}
	pieces := make(chan piece, 4096)
	go func() {
		defer close(pieces)
		for {
			b := make([]byte, 4096)
			n, err := out.Read(b)
			if err != nil {
				return
			}
			pieces <- piece{b[:n], time.Now().Add(p.presentDelay())}
		}
	}()
	for x := range pieces {
		time.Sleep(time.Until(x.due))
		if _, err := in.Write(x.bytes); err != nil {
			return
		}
	}
}
