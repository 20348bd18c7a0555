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

// Timers and limits of the transaction layer, from RFC 3435, section 3.5 and appendix B.
const (
	initialRetransmitDelay = 200 * time.Millisecond
	maxRetransmitDelay     = 4 * time.Second
	maxTransactionTime     = 20 * time.Second // T-Max: no command is retransmitted after this time
	responseTTL            = 30 * time.Second // T-HIST: how long responses are kept for retransmitted commands
	maxAcksPerMessage      = 20               // responses confirmed in one K: parameter
	maxCachedResponses     = 8192             // if there are more, the oldest are removed first
)

// Send sends a datagram without blocking.
type Send func(to netip.AddrPort, b []byte)

// transactions is the transaction layer. It executes each received command at most once, and retransmits sent commands
// so that a lost datagram does not lose a command.
type transactions struct {
	loop       *agent.Loop
	counters   *metrics.Set
	send       Send
	lastID     uint32
	pending    map[uint32]*transaction
	acks       map[netip.AddrPort][]uint32 // transaction identifiers to confirm in the next K: parameter
	cache      map[responseKey]*cachedResponse
	cacheOrder []*cachedResponse
	// handle executes a received command and calls reply once.
	handle func(from netip.AddrPort, m *Message, reply func(*Message))
}

// transaction is a command that the agent has sent and whose response is pending.
type transaction struct {
	id              uint32
	to              netip.AddrPort
	bytes           []byte
	startedAt       time.Duration
	retransmitDelay time.Duration
	timer           *agent.Timer
	noRetransmit    bool
	onResponse      func(*Message)
}

// responseKey identifies a received command.
type responseKey struct {
	from netip.AddrPort
	tx   uint32
}

// cachedResponse is a command received from a gateway and the response to it.
type cachedResponse struct {
	key        responseKey
	receivedAt time.Duration
	reply      []byte // nil: the command is still in progress, or the gateway has confirmed the response
	confirmed  bool
}

func newTransactions(loop *agent.Loop, counters *metrics.Set, firstID uint32, send Send,
	handle func(netip.AddrPort, *Message, func(*Message))) *transactions {
	return &transactions{loop: loop, counters: counters, send: send, lastID: firstID % maxTransactionID,
		pending: map[uint32]*transaction{}, acks: map[netip.AddrPort][]uint32{}, cache: map[responseKey]*cachedResponse{},
		handle: handle}
}

// request sends a command and retransmits it until a response arrives. It calls onResponse with the final response, or
// with nil if none arrived in time.
func (t *transactions) request(to netip.AddrPort, m *Message, onResponse func(*Message)) *transaction {
	for t.lastID = t.lastID%maxTransactionID + 1; t.pending[t.lastID] != nil; t.lastID = t.lastID%maxTransactionID + 1 {
	}
	m.Tx = t.lastID
	if acks := t.acks[to]; len(acks) > 0 {
		var list []string
		for _, id := range acks[:min(len(acks), maxAcksPerMessage)] {
			list = append(list, strconv.FormatUint(uint64(id), 10))
		}
		m.AddParam("K", strings.Join(list, ","))
		delete(t.acks, to)
	}
	x := &transaction{id: m.Tx, to: to, bytes: m.Append(nil), startedAt: t.loop.Now(),
		retransmitDelay: initialRetransmitDelay, onResponse: onResponse}
	t.pending[x.id] = x
	t.counters.MGCPOut.Inc()
	t.send(to, x.bytes)
	x.timer = t.loop.After(x.retransmitDelay, func() { t.retransmit(x) })
	return x
}

// retransmit sends a command again, unless it is time to give up: then the transaction ends without a response.
func (t *transactions) retransmit(x *transaction) {
	if x.noRetransmit || t.loop.Now()-x.startedAt >= maxTransactionTime {
		t.finish(x, nil)
		return
	}
	t.counters.MGCPResent.Inc()
	t.send(x.to, x.bytes)
	x.retransmitDelay = min(2*x.retransmitDelay, maxRetransmitDelay)
	x.timer = t.loop.After(x.retransmitDelay, func() { t.retransmit(x) })
}

// finish ends a transaction with its final response, or with nil if there was none.
func (t *transactions) finish(x *transaction, m *Message) {
	if t.pending[x.id] != x {
		return
	}
	t.loop.Stop(x.timer)
	delete(t.pending, x.id)
	if x.onResponse != nil {
		x.onResponse(m)
	}
}

// stopRetransmitting ends the retransmission of a command but still accepts its response, since the gateway may have
// executed the command already, or be executing it.
func (t *transactions) stopRetransmitting(x *transaction) {
	if x == nil || x.noRetransmit || t.pending[x.id] != x {
		return
	}
	x.noRetransmit = true
	t.loop.Stop(x.timer)
	x.timer = t.loop.After(responseTTL, func() { t.retransmit(x) })
}

// handleDatagram parses a received datagram and handles the messages in it.
func (t *transactions) handleDatagram(from netip.AddrPort, b []byte) {
	list, err := Parse(b)
	if err != nil {
		t.counters.Malformed.Inc()
		if f := bytes.Fields(b); len(list) == 0 && len(f) > 1 && len(f[0]) == 4 {
			if tx, err := strconv.ParseUint(string(f[1]), 10, 32); err == nil && tx > 0 && tx <= maxTransactionID {
				t.send(from, (&Message{Code: 510, Tx: uint32(tx), Comment: "Protocol error"}).Append(nil))
			}
		}
	}
	for _, m := range list {
		if m.Verb == "" {
			t.handleResponse(from, m)
		} else {
			t.handleCommand(from, m)
		}
	}
}

// handleResponse matches a response to the command it answers.
func (t *transactions) handleResponse(from netip.AddrPort, m *Message) {
	if m.Code == 0 {
		return // a response acknowledgement; the command stays cached until T-HIST, so it is not executed twice
	}
	x := t.pending[m.Tx]
	if m.Code >= 200 {
		if _, ackRequested := m.Get("K"); ackRequested {
			t.send(from, (&Message{Code: 0, Tx: m.Tx}).Append(nil))
		}
	}
	if x == nil || x.to != from {
		t.counters.StrayMessages.Inc()
		return
	}
	if m.Code < 200 {
		// Provisional response: the gateway has the command. Retransmission continues at the longest interval, since the
		// final response may get lost.
		if !x.noRetransmit {
			t.loop.Stop(x.timer)
			x.retransmitDelay = maxRetransmitDelay
			x.timer = t.loop.After(x.retransmitDelay, func() { t.retransmit(x) })
		}
		return
	}
	if a := t.acks[from]; len(a) < 4*maxAcksPerMessage {
		t.acks[from] = append(a, m.Tx)
	}
	t.finish(x, m)
}

// handleCommand executes a received command, or repeats the response if the command was received before.
func (t *transactions) handleCommand(from netip.AddrPort, m *Message) {
	if k, ok := m.Get("K"); ok {
		parseTransactionIDs(k, 4*maxAcksPerMessage, func(tx uint32) {
			// The gateway has the response, so the copy is no longer needed. The transaction identifier is kept until
			// T-HIST has passed.
			if c := t.cache[responseKey{from, tx}]; c != nil && c.reply != nil {
				c.reply, c.confirmed = nil, true
			}
		})
	}
	now := t.loop.Now()
	for len(t.cacheOrder) > 0 &&
		(len(t.cacheOrder) >= maxCachedResponses || now-t.cacheOrder[0].receivedAt > responseTTL) {
		delete(t.cache, t.cacheOrder[0].key)
		t.cacheOrder = t.cacheOrder[1:]
	}
	key := responseKey{from, m.Tx}
	if c := t.cache[key]; c != nil {
		// A gateway retransmits a command when the response is lost or late. Without this, it would be executed twice.
		t.counters.MGCPReplayed.Inc()
		if c.reply != nil {
			t.send(from, c.reply)
		} else if !c.confirmed {
			t.send(from, (&Message{Code: 100, Tx: m.Tx, Comment: "Pending"}).Append(nil))
		}
		return
	}
	c := &cachedResponse{key: key, receivedAt: now}
	t.cache[key] = c
	t.cacheOrder = append(t.cacheOrder, c)
	t.counters.MGCPIn.Inc()
	t.handle(from, m, func(r *Message) {
		if c.reply == nil && !c.confirmed {
			r.Tx = m.Tx
			c.reply = r.Append(nil)
			t.send(from, c.reply)
		}
	})
}
