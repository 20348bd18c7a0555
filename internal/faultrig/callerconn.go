package faultrig

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tinbeam/internal/sip"
)

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	crowd     *crowd
	writes    sync.Mutex
	ended     chan struct{} // closed when the connection has ended
	resetSeen atomic.Bool   // it ended with a reset: of read and write, only one gets its error
	closing   bool          // its caller is about to close it, and sends no further set-up; guarded by crowd.mu
	unwritten int           // ACKs of answers that wait to be written; guarded by crowd.mu
}

// closeIfIdle closes the connection unless a request of it is open or a call of it stands.
func (conn *callerConn) closeIfIdle() {
	c := conn.crowd
	c.mu.Lock()
	idle := !conn.busy()
	conn.closing = conn.closing || idle
	c.mu.Unlock()
	if idle {
		conn.Close()
	}
}

// busy reports whether a request of the connection is open or its call stands. The crowd's lock is held.
func (conn *callerConn) busy() bool {
	for _, r := range conn.crowd.requests {
		if r.conn == conn && (r.open || r.stands) {
			return true
		}
	}
	return false
}

// waitSilently waits, and reports whether the connection is still open afterwards.
func (conn *callerConn) waitSilently(d time.Duration) bool {
	select {
	case <-conn.ended:
		return false
	case <-time.After(d):
		return !conn.crowd.stopped()
	}
}

// sendCopy sends a set-up once more on its connection, which must bring neither a second attempt nor a second answer.
func (conn *callerConn) sendCopy(r *request) {
	c := conn.crowd
	c.mu.Lock()
	same := r.conn == conn
	c.mu.Unlock()
	if same {
		conn.writeBytes(r.message)
	}
}

// send writes a set-up. left is the time until its deadline, or 0 if it is sent again and keeps its deadline.
func (conn *callerConn) send(r *request, left time.Duration) {
	c := conn.crowd
	conn.writes.Lock()
	defer conn.writes.Unlock()
	c.mu.Lock()
	r.conn = conn
	c.mu.Unlock()
	tail := r.message
	if c.chance(c.plan.ShareSplit) {
		var err error
		if tail, err = conn.writePieces(r.message); err != nil {
			return
		}
	}
	c.mu.Lock()
	if conn.closing {
		c.mu.Unlock()
		return
	}
	r.takenAt = c.recorder.Now()
	if left > 0 {
		r.deadline = r.takenAt + left
	}
	r.open = true
	c.mu.Unlock()
	_, err := conn.Write(tail)
	if errors.Is(err, syscall.ECONNRESET) {
		conn.resetSeen.Store(true)
	}
	if err != nil || !established(conn.Conn) {
		c.mu.Lock()
		r.open = false // the connection was closed before the last byte was written
		c.mu.Unlock()
		return
	}
	c.recorder.Add(Event{At: r.takenAt, Kind: RequestTaken, Agent: c.agent, Call: r.id, Deadline: r.deadline, Note: r.class})
}

// writePieces writes a message slowly in pieces, but for its last one, which it returns.
func (conn *callerConn) writePieces(message []byte) (last []byte, err error) {
	c := conn.crowd
	pieces := 2 + random(c, func(r *rand.Rand) int { return r.IntN(maxPieces - 1) })
	total := time.Duration(random(c, (*rand.Rand).Float64) * float64(c.plan.SlowestWrite))
	for ; pieces > 1; pieces-- {
		n := len(message) / pieces
		if _, err := conn.Write(message[:n]); err != nil {
			return nil, err
		}
		message = message[n:]
		time.Sleep(total / time.Duration(pieces))
	}
	return message, nil
}

// write writes a message behind what is being written. It does not block the reader, which a slow writer would hold up.
func (conn *callerConn) write(m *sip.Message) { go conn.writeBytes(m.Append(nil)) }

func (conn *callerConn) writeBytes(b []byte) {
	conn.writes.Lock()
	defer conn.writes.Unlock()
	if _, err := conn.Write(b); errors.Is(err, syscall.ECONNRESET) {
		conn.resetSeen.Store(true)
	}
}

func newRequest(method, id string, more ...sip.Header) *sip.Message {
	return &sip.Message{Method: method, URI: "sip:peer@net", Headers: append([]sip.Header{
		{Name: "Via", Value: "SIP/2.0/TCP peer"}, {Name: "Call-ID", Value: id}, {Name: "CSeq", Value: "1 " + method}}, more...)}
}

// cancel gives a set-up up that has no answer yet.
func (conn *callerConn) cancel(r *request) {
	c := conn.crowd
	c.mu.Lock()
	open := r.open
	r.open = false
	c.mu.Unlock()
	if open {
		c.recorder.Add(Event{Kind: RequestGivenUp, Agent: c.agent, Call: r.id, Note: "cancel"})
		conn.write(newRequest("CANCEL", r.id))
	}
}

// acknowledge writes the ACK of an answer, which is counted as unwritten, behind what is being written.
func (conn *callerConn) acknowledge(r *request) {
	c := conn.crowd
	go func() {
		conn.writeBytes(newRequest("ACK", r.id).Append(nil))
		c.mu.Lock()
		conn.unwritten--
		c.mu.Unlock()
	}()
}

// waitForACKs waits until the answers that the caller has taken are acknowledged: an agent may release those that are not.
func (conn *callerConn) waitForACKs() {
	for waiting := true; waiting; time.Sleep(time.Millisecond) {
		conn.crowd.mu.Lock()
		waiting = conn.unwritten > 0
		conn.crowd.mu.Unlock()
	}
}

// drop closes the connection and so gives up all its open set-ups.
func (conn *callerConn) drop() {
	c := conn.crowd
	c.mu.Lock()
	conn.closing = true
	for _, r := range c.requests {
		if r.conn == conn && r.open {
			r.open = false
			c.recorder.Add(Event{Kind: RequestGivenUp, Agent: c.agent, Call: r.id, Note: "closed"})
		}
	}
	c.mu.Unlock()
	conn.waitForACKs()
	conn.Close()
}

// read handles what the agent sends until the connection ends.
func (conn *callerConn) read() {
	defer close(conn.ended)
	defer conn.Close()
	var input []byte
	buf := make([]byte, 16<<10)
	for {
		n, err := conn.Read(buf)
		input = append(input, buf[:n]...)
		for {
			m, used, parseErr := sip.Parse(input)
			input = input[used:]
			if m == nil || parseErr != nil {
				break
			}
			conn.handle(m)
		}
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
				conn.resetSeen.Store(true)
			}
			return
		}
	}
}

func (conn *callerConn) handle(m *sip.Message) {
	c := conn.crowd
	id := m.Get("Call-ID")
	c.mu.Lock()
	r := c.requests[id]
	c.mu.Unlock()
	switch {
	case m.Method == "BYE" && conn.refusesRelease(r, m):
	case m.Method == "BYE":
		conn.write(m.Response(200, "OK", ""))
		c.recorder.Add(Event{Kind: ReleaseHeard, Agent: c.agent, Call: id})
		c.mu.Lock()
		if r != nil {
			r.stands = false
		}
		c.mu.Unlock()
	case m.CSeqMethod() == "BYE" && m.Status == statusOK:
		c.recorder.Add(Event{Kind: HangupHeard, Agent: c.agent, Call: id})
	case r == nil || m.CSeqMethod() != "INVITE" || m.Status < 200:
	default:
		conn.handleFinal(r, m)
	}
}

// refusesRelease refuses the release of a call if the caller is to do that once more, and nothing else is being written: a refusal that
// waits would come too late for the release that follows it.
func (conn *callerConn) refusesRelease(r *request, bye *sip.Message) bool {
	c := conn.crowd
	if r == nil || !conn.writes.TryLock() {
		return false
	}
	defer conn.writes.Unlock()
	c.mu.Lock()
	refuses := r.refusals > 0
	if refuses {
		r.refusals--
	}
	c.mu.Unlock()
	if refuses {
		_, _ = conn.Write(bye.Response(statusServerError, "Server Internal Error", "").Append(nil))
	}
	return refuses
}

// handleFinal handles the final answer to a set-up.
func (conn *callerConn) handleFinal(r *request, m *sip.Message) {
	c := conn.crowd
	c.mu.Lock()
	wasOpen := r.open
	r.open = false
	r.stands = m.Status == statusOK && wasOpen
	conn.unwritten++
	c.mu.Unlock()
	const requestTerminated = 487
	if m.Status == requestTerminated && !wasOpen {
		c.mu.Lock()
		conn.unwritten--
		c.mu.Unlock()
		return
	}
	c.recorder.Add(Event{Kind: FinalAnswer, Agent: c.agent, Call: r.id, Value: int64(m.Status), Note: m.Body})
	conn.acknowledge(r)
	if wasOpen && m.Status == statusUnavailable && !r.retry && c.chance(c.plan.ShareRetried) && !c.stopped() {
		go c.newCall(conn, true)
	}
	if !wasOpen && m.Status == statusOK { // it crossed the cancel
		conn.hangUp(r)
		return
	}
	if r.stands && c.chance(c.plan.ShareHangups) {
		time.AfterFunc(time.Duration(random(c, (*rand.Rand).Float64)*float64(time.Second)), func() {
			c.mu.Lock()
			stands := r.stands
			r.stands = false
			c.mu.Unlock()
			if stands {
				conn.hangUp(r)
			}
		})
	}
}

func (conn *callerConn) hangUp(r *request) {
	conn.crowd.recorder.Add(Event{Kind: CallerHangup, Agent: conn.crowd.agent, Call: r.id})
	conn.write(newRequest("BYE", r.id, sip.Header{Name: "Reason", Value: "Q.850;cause=16"}))
}

// finish handles the end of a connection: open set-ups that crossed the close of an idle connection are sent once more on a new
// one, all others are lost.
func (conn *callerConn) finish() {
	c := conn.crowd
	now, reset := c.recorder.Now(), conn.resetSeen.Load()
	c.mu.Lock()
	var open []*request
	idle := true // no set-up was open for longer than a crossing takes
	for _, r := range c.requests {
		if r.conn == conn && r.open {
			open = append(open, r)
			idle = idle && now-r.takenAt <= crossing
		}
	}
	c.mu.Unlock()
	var moved []*request
	for _, r := range open {
		// Without a reset, the agent had read all that was written, so the set-up did not cross the close.
		if reset && idle && !r.moved {
			r.moved = true
			moved = append(moved, r)
			c.recorder.Add(Event{Kind: RequestMoved, Agent: c.agent, Call: r.id})
			continue
		}
		how := "closed after the set-up was read"
		if reset {
			how = "reset"
		}
		c.recorder.Add(Event{Kind: ConnectionEnded, Agent: c.agent, Call: r.id, Note: how})
		c.mu.Lock()
		r.open = false
		c.mu.Unlock()
	}
	if len(moved) > 0 && !c.session(moved) {
		for _, r := range moved {
			c.recorder.Add(Event{Kind: RequestGivenUp, Agent: c.agent, Call: r.id, Note: "no new connection"})
		}
	}
}
