package faultrig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"tinbeam/internal/sip"
)

const (
	statusOK          = 200
	statusServerError = 500
	statusUnavailable = 503
	idleCloseTime     = 4 * time.Second // a caller closes a connection without a call after this
	reconnectInterval = 40 * time.Millisecond
	copyTime          = 400 * time.Millisecond // a copy of a set-up comes within this
	maxPieces         = 8                      // of a message that is written in pieces
	silentConnTime    = 1950 * time.Millisecond
	silentConnSpread  = 450 * time.Millisecond
)

// callsPerRefusedRelease is the number of calls of which the release of one is refused twice.
const callsPerRefusedRelease = 17

// maxOtherHeaders is the maximum size of what a set-up has besides its From header and its description.
const maxOtherHeaders = 1 << 10

// fromValues are forms of the From header (RFC 3261, section 20.20); "" stands for none.
var fromValues = []string{"", "", "<sip:desk@members.example>;tag=1", "sip:desk@members.example;tag=1",
	`"Desk 4" <sip:desk@members.example>;tag=1`, `"a;<b> \" c" <sips:desk@members.example;transport=tcp>`, "<tel:+15551234>",
	"Desk Four <sip:desk 4@members.example>", "<sip:" + strings.Repeat("x", 8<<10) + "@members.example>"}

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
	refusals int // of its release, before it is taken; guarded by crowd.mu
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
	quietUntil  time.Time
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

// pause keeps all callers from sending set-ups for a while.
func (c *crowd) pause(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quietUntil = time.Now().Add(d)
}

func (c *crowd) quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.quietUntil)
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
		if wait < time.Second && !c.quiet() {
			c.newCall(conn, false)
			lastCall = time.Now()
		} else if time.Since(lastCall) > idleCloseTime {
			conn.closeIfIdle()
		}
	}
}

// drainSession keeps a connection for a while at the end of the traffic, since the release of any call may come on it.
func (c *crowd) drainSession(conn *callerConn) {
	select {
	case <-conn.ended:
	case <-time.After(drainTime):
	}
	conn.Close()
	<-conn.ended
	conn.finish()
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
	key := c.rng.Uint64()
	number := fmt.Sprintf("%016x", key)
	if key%callsPerRefusedRelease == 0 {
		r.refusals = 2
	}
	m := &sip.Message{Method: "INVITE", URI: "sip:" + number + "@net", Body: body, Headers: []sip.Header{
		{Name: "Via", Value: "SIP/2.0/TCP peer"}, {Name: "Call-ID", Value: r.id}, {Name: "CSeq", Value: "1 INVITE"},
		{Name: "P-Kind", Value: r.class}, {Name: "P-Time-Left", Value: fmt.Sprint(left.Milliseconds())},
		{Name: "P-Path", Value: path}}}
	if from := fromValues[key%uint64(len(fromValues))]; from != "" && len(from)+len(body) < sip.MaxMessageSize-maxOtherHeaders {
		m.Headers = append(m.Headers, sip.Header{Name: "From", Value: from}, sip.Header{Name: "To", Value: "<" + m.URI + ">"})
	}
	if retry {
		m.Headers = append(m.Headers, sip.Header{Name: "P-Second-Try", Value: "1"})
	}
	r.message = m.Append(nil)
	c.requests[r.id] = r
	return r, left
}
