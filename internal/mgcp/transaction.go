package mgcp

import (
	"bytes"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"tinbeam/internal/agent"
	"tinbeam/internal/metrics"
)

// Figures of RFC 3435, section 3.5 and appendix B.
const (
	firstResend = 200 * time.Millisecond
	mostResend  = 4 * time.Second
	transMost   = 20 * time.Second // T-Max: no command is repeated later than this
	histFor     = 30 * time.Second // T-HIST: how long responses are kept
	acksMost    = 20               // responses confirmed in one K:
	cacheMost   = 8192             // responses kept; past it the oldest go first
)

// Send puts a datagram on the wire; it does not block.
type Send func(to netip.AddrPort, b []byte)

// transactions is the transaction layer: every command is carried out at most once, and none is lost to a lost datagram.
type transactions struct {
	loop  *agent.Loop
	m     *metrics.Set
	send  Send
	last  uint32
	out   map[uint32]*transaction
	acks  map[netip.AddrPort][]uint32
	cache map[cacheKey]*cached
	order []*cached
	// command carries out a command; it calls reply once.
	command func(from netip.AddrPort, m *Message, reply func(*Message))
}

// transaction is one command of ours.
type transaction struct {
	id    uint32
	to    netip.AddrPort
	bytes []byte
	began time.Duration
	wait  time.Duration
	timer *agent.Timer
	quiet bool
	done  func(*Message)
}

type cacheKey struct {
	from netip.AddrPort
	tx   uint32
}

// cached is a command of a gateway's and what it was answered.
type cached struct {
	key   cacheKey
	at    time.Duration
	reply []byte // nil: it is still being carried out, or the response was confirmed
	acked bool
}

func newTransactions(loop *agent.Loop, m *metrics.Set, first uint32, send Send,
	command func(netip.AddrPort, *Message, func(*Message))) *transactions {
	return &transactions{loop: loop, m: m, send: send, last: first % txMost, out: map[uint32]*transaction{},
		acks: map[netip.AddrPort][]uint32{}, cache: map[cacheKey]*cached{}, command: command}
}

// request sends a command until it is answered; done gets the final response, or nil where none came.
func (t *transactions) request(to netip.AddrPort, m *Message, done func(*Message)) *transaction {
	for t.last = t.last%txMost + 1; t.out[t.last] != nil; t.last = t.last%txMost + 1 {
	}
	m.Tx = t.last
	if acks := t.acks[to]; len(acks) > 0 {
		var list []string
		for _, id := range acks[:min(len(acks), acksMost)] {
			list = append(list, strconv.FormatUint(uint64(id), 10))
		}
		m.With("K", strings.Join(list, ","))
		delete(t.acks, to)
	}
	x := &transaction{id: m.Tx, to: to, bytes: m.Append(nil), began: t.loop.Now(), wait: firstResend, done: done}
	t.out[x.id] = x
	t.m.MGCPOut.Inc()
	t.send(to, x.bytes)
	x.timer = t.loop.After(x.wait, func() { t.again(x) })
	return x
}

func (t *transactions) again(x *transaction) {
	if x.quiet || t.loop.Now()-x.began >= transMost {
		t.end(x, nil)
		return
	}
	t.m.MGCPResent.Inc()
	t.send(x.to, x.bytes)
	x.wait = min(2*x.wait, mostResend)
	x.timer = t.loop.After(x.wait, func() { t.again(x) })
}

func (t *transactions) end(x *transaction, m *Message) {
	if t.out[x.id] != x {
		return
	}
	t.loop.Stop(x.timer)
	delete(t.out, x.id)
	if x.done != nil {
		x.done(m)
	}
}

// hush stops sending a command again, but still hears its response: it may have been carried out, or be under way.
func (t *transactions) hush(x *transaction) {
	if x == nil || x.quiet || t.out[x.id] != x {
		return
	}
	x.quiet = true
	t.loop.Stop(x.timer)
	x.timer = t.loop.After(histFor, func() { t.again(x) })
}

// forget drops a command and whatever comes for it.
func (t *transactions) forget(x *transaction) {
	if x != nil {
		x.done = nil
		t.end(x, nil)
	}
}

// datagram takes what came in.
func (t *transactions) datagram(from netip.AddrPort, b []byte) {
	list, err := Parse(b)
	if err != nil {
		t.m.Malformed.Inc()
		if f := bytes.Fields(b); len(list) == 0 && len(f) > 1 && len(f[0]) == 4 {
			if tx, err := strconv.ParseUint(string(f[1]), 10, 32); err == nil && tx > 0 && tx <= txMost {
				t.send(from, (&Message{Code: 510, Tx: uint32(tx), Comment: "Protocol error"}).Append(nil))
			}
		}
	}
	for _, m := range list {
		if m.Verb == "" {
			t.response(from, m)
		} else {
			t.incoming(from, m)
		}
	}
}

func (t *transactions) response(from netip.AddrPort, m *Message) {
	if m.Code == 0 {
		return // a response acknowledgement: what it confirms is kept until its time, so that nothing runs twice
	}
	x := t.out[m.Tx]
	if m.Code >= 200 {
		if _, asks := m.Get("K"); asks {
			t.send(from, (&Message{Code: 0, Tx: m.Tx}).Append(nil))
		}
	}
	if x == nil || x.to != from {
		t.m.StrayMessages.Inc()
		return
	}
	if m.Code < 200 {
		// Under way: it need not be sent again soon, but a final response that is lost must be asked for.
		if !x.quiet {
			t.loop.Stop(x.timer)
			x.wait = mostResend
			x.timer = t.loop.After(x.wait, func() { t.again(x) })
		}
		return
	}
	if a := t.acks[from]; len(a) < 4*acksMost {
		t.acks[from] = append(a, m.Tx)
	}
	t.end(x, m)
}

func (t *transactions) incoming(from netip.AddrPort, m *Message) {
	if k, ok := m.Get("K"); ok {
		ranges(k, 4*acksMost, func(tx uint32) {
			// The gateway has the response: its copy may go, but the number stays known until its time.
			if c := t.cache[cacheKey{from, tx}]; c != nil && c.reply != nil {
				c.reply, c.acked = nil, true
			}
		})
	}
	now := t.loop.Now()
	for len(t.order) > 0 && (len(t.order) >= cacheMost || now-t.order[0].at > histFor) {
		delete(t.cache, t.order[0].key)
		t.order = t.order[1:]
	}
	key := cacheKey{from, m.Tx}
	if c := t.cache[key]; c != nil {
		// Guards against a command that comes again, its response lost or late: it must not be carried out twice.
		t.m.MGCPReplayed.Inc()
		if c.reply != nil {
			t.send(from, c.reply)
		} else if !c.acked {
			t.send(from, (&Message{Code: 100, Tx: m.Tx, Comment: "Pending"}).Append(nil))
		}
		return
	}
	c := &cached{key: key, at: now}
	t.cache[key] = c
	t.order = append(t.order, c)
	t.m.MGCPIn.Inc()
	t.command(from, m, func(r *Message) {
		if c.reply == nil && !c.acked {
			r.Tx = m.Tx
			c.reply = r.Append(nil)
			t.send(from, c.reply)
		}
	})
}
