package faultrig

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"tinbeam/internal/sip"
)

const (
	statusOK          = 200
	statusUnavailable = 503
	idleCloseTime     = 4 * time.Second // a caller closes a connection without a call after this
	reconnectInterval = 40 * time.Millisecond
	tcpEstablished    = 1                      // TCP_ESTABLISHED of the kernel's state machine
	copyTime          = 400 * time.Millisecond // a copy of a set-up comes within this
	maxPieces         = 8                      // of a message that is written in pieces
	silentConnTime    = 1950 * time.Millisecond
	silentConnSpread  = 450 * time.Millisecond
)

// request is one set-up of a caller.
type request struct {
	id       string
	agent    string
	class    string
	deadline time.Duration
	conn     *callerConn
	takenAt  time.Duration
	open     bool // it was taken and has no final answer
	stands   bool
	moved    bool // it was sent again after it had crossed a close
	retry    bool // it comes again after a refusal, as a new set-up
	message  []byte
}

// crowd is all callers of one agent. A call that stands belongs to no connection, so its release may come on any.
type crowd struct {
	agent    string
	addr     string
	recorder *Recorder
	plan     traffic

	mu          sync.Mutex
	rng         *rand.Rand
	requests    map[string]*request
	acceptsNew  bool // the front sends new connections to the agent
	callersStop bool // no further requests
}

// traffic describes what the callers of one agent do.
type traffic struct {
	Callers      int           // connections
	Interval     time.Duration // mean time between the set-ups of one caller
	ShareGivenUp float64       // of the set-ups, those that are cancelled early
	ShareDropped float64       // of the set-ups, those whose connection the caller closes
	ShareSplit   float64       // of the set-ups, those that are written in pieces
	ShareCopied  float64       // of the set-ups, those that are sent again on the same connection before or after the answer
	ShareRetried float64       // of the refused set-ups, those that come again at once as a new one
	ShareTransit float64       // of the set-ups, those that are in transit
	ShareLate    float64       // of the connections, those on which the first set-up comes about when an agent closes silent ones
	SlowestWrite time.Duration // of a set-up that is written in pieces, the longest time for it
	ShareHangups float64       // of the calls, those that the caller releases
	Destinations int
	BodySize     int // bytes of the description at most
}

func newCrowd(agent, addr string, plan traffic, seed uint64, recorder *Recorder) *crowd {
	return &crowd{agent: agent, addr: addr, plan: plan, recorder: recorder, rng: rand.New(rand.NewPCG(seed, 0xca)),
		requests: map[string]*request{}}
}

// random calls fn with the crowd's source of randomness.
func random[T any](c *crowd, fn func(*rand.Rand) T) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fn(c.rng)
}

func (c *crowd) chance(share float64) bool {
	return random(c, func(r *rand.Rand) bool { return r.Float64() < share })
}

// setAcceptsNew says whether callers may open connections to the agent.
func (c *crowd) setAcceptsNew(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acceptsNew = on
}

// stop ends the traffic: no caller sends a further set-up.
func (c *crowd) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.callersStop = true
}

func (c *crowd) stopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.callersStop
}

// run plays all callers until stop.
func (c *crowd) run() {
	var all sync.WaitGroup
	for range c.plan.Callers {
		all.Add(1)
		go func() {
			defer all.Done()
			for !c.stopped() {
				if !c.session(nil) {
					time.Sleep(reconnectInterval)
				}
			}
		}()
	}
	all.Wait()
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	crowd     *crowd
	writes    sync.Mutex
	ended     chan struct{} // closed when the connection has ended
	resetSeen atomic.Bool   // it ended with a reset: of read and write, only one gets its error
}

// session connects, sends the requests again that crossed the close of an earlier connection, and sends set-ups until the
// connection ends. It reports whether it could connect.
func (c *crowd) session(again []*request) bool {
	c.mu.Lock()
	accepts := c.acceptsNew
	c.mu.Unlock()
	if !accepts {
		return false // the front sends new connections, also those of repeated set-ups, to other agents
	}
	raw, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return false
	}
	conn := &callerConn{Conn: raw, crowd: c, ended: make(chan struct{})}
	go conn.read()
	for _, r := range again {
		conn.send(r, 0)
	}
	if c.chance(c.plan.ShareLate) && conn.waitSilently(random(c, lateFirstCall)) {
		c.newCall(conn, false)
	}
	lastCall := time.Now()
	for {
		wait := time.Duration(random(c, (*rand.Rand).ExpFloat64) * float64(c.plan.Interval))
		select {
		case <-conn.ended:
			conn.finish()
			return true
		case <-time.After(min(wait, time.Second)):
		}
		if c.stopped() {
			c.drainSession(conn)
			return true
		}
		if wait < time.Second {
			c.newCall(conn, false)
			lastCall = time.Now()
		} else if time.Since(lastCall) > idleCloseTime && !conn.busy() {
			conn.Close()
		}
	}
}

// drainSession keeps a connection at the end of the traffic until its calls have been answered and released.
func (c *crowd) drainSession(conn *callerConn) {
	for end := time.Now().Add(drainTime); time.Now().Before(end) && conn.busy(); {
		select {
		case <-conn.ended:
			conn.finish()
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	conn.Close()
	<-conn.ended
	conn.finish()
}

// busy reports whether a request of the connection is open or its call stands.
func (conn *callerConn) busy() bool {
	c := conn.crowd
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if r.conn == conn && (r.open || r.stands) {
			return true
		}
	}
	return false
}

// agentOfCall returns the agent named in a description that a caller made.
func agentOfCall(description string) string {
	var agent string
	_, _ = fmt.Sscanf(description, "v=0 %s", &agent)
	return agent
}

// lateFirstCall draws how long a connection stays silent before its first set-up.
func lateFirstCall(r *rand.Rand) time.Duration {
	return silentConnTime + time.Duration(r.Int64N(int64(silentConnSpread)))
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

// newCall sends a new set-up.
func (c *crowd) newCall(conn *callerConn, retry bool) {
	r, left := c.newRequest(retry)
	conn.send(r, left)
	switch {
	case c.chance(c.plan.ShareGivenUp):
		time.AfterFunc(time.Duration(random(c, (*rand.Rand).Float64)*float64(left)/4), func() { conn.cancel(r) })
	case c.chance(c.plan.ShareDropped):
		time.Sleep(time.Duration(random(c, (*rand.Rand).Float64) * float64(30*time.Millisecond)))
		conn.drop()
	case c.chance(c.plan.ShareCopied):
		time.AfterFunc(time.Duration(random(c, (*rand.Rand).Float64)*float64(copyTime)), func() { conn.sendCopy(r) })
	}
}

// newRequest makes a set-up, and draws the time until its deadline.
func (c *crowd) newRequest(retry bool) (r *request, left time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r = &request{id: fmt.Sprintf("%016x", c.rng.Uint64()), agent: c.agent, class: classNames[c.rng.IntN(len(classNames))], retry: retry}
	left = time.Duration(300+c.rng.IntN(2000)) * time.Millisecond
	path := fmt.Sprintf("dest:%d;width:1;via:-1", 1+c.rng.IntN(c.plan.Destinations))
	if c.rng.Float64() < c.plan.ShareTransit {
		path += ";transit:1"
	}
	body := fmt.Sprintf("v=0 %s ", c.agent) + strings.Repeat("x", c.rng.IntN(max(c.plan.BodySize, 1))) + "\r\n"
	number := fmt.Sprintf("%016x", c.rng.Uint64())
	m := &sip.Message{Method: "INVITE", URI: "sip:" + number + "@net", Body: body, Headers: []sip.Header{
		{Name: "Via", Value: "SIP/2.0/TCP peer"}, {Name: "Call-ID", Value: r.id}, {Name: "CSeq", Value: "1 INVITE"},
		{Name: "P-Kind", Value: r.class}, {Name: "P-Time-Left", Value: fmt.Sprint(left.Milliseconds())},
		{Name: "P-Path", Value: path}}}
	if retry {
		m.Headers = append(m.Headers, sip.Header{Name: "P-Second-Try", Value: "1"})
	}
	r.message = m.Append(nil)
	c.requests[r.id] = r
	return r, left
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
	if err != nil || !conn.established() {
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

// established reports whether the peer had not closed the connection when the last write ended.
func (conn *callerConn) established() bool {
	raw, err := conn.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	up := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), syscall.IPPROTO_TCP, unix.TCP_INFO)
		up = err == nil && info.State == tcpEstablished
	})
	return up
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

// drop closes the connection and so gives up all its open set-ups.
func (conn *callerConn) drop() {
	c := conn.crowd
	c.mu.Lock()
	for _, r := range c.requests {
		if r.conn == conn && r.open {
			r.open = false
			c.recorder.Add(Event{Kind: RequestGivenUp, Agent: c.agent, Call: r.id, Note: "closed"})
		}
	}
	c.mu.Unlock()
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

// handleFinal handles the final answer to a set-up.
func (conn *callerConn) handleFinal(r *request, m *sip.Message) {
	c := conn.crowd
	c.mu.Lock()
	wasOpen := r.open
	r.open = false
	r.stands = m.Status == statusOK && wasOpen
	c.mu.Unlock()
	const requestTerminated = 487
	if m.Status == requestTerminated && !wasOpen {
		return
	}
	c.recorder.Add(Event{Kind: FinalAnswer, Agent: c.agent, Call: r.id, Value: int64(m.Status), Note: m.Body})
	conn.write(newRequest("ACK", r.id))
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
