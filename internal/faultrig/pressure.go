package faultrig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tinbeam/internal/farend"
	"tinbeam/internal/sip"
)

// This file plays clients that put the program under pressure on a port that peers can reach, and measures what the others get.

// Pressure is what a pressing client does until stopped reports true.
type Pressure struct {
	Name    string
	Clients int
	Flood   bool // hundreds of clients send as fast as they can, so that others wait
	Press   func(target pressureTarget, client int, stopped func() bool)
}

// pressureTarget has the ports of the program that peers can reach, and its far end.
type pressureTarget struct {
	callers, management, gateways string
	farEnd                        *farEnd
}

// PressureResult is what was measured under a pressure.
type PressureResult struct {
	PeakMemory   int64         // resident, in bytes
	LongestTest  time.Duration // a test of another client, on a connection of its own
	LongestCall  time.Duration // a call of another client, from its set-up to its final answer
	LongestReady time.Duration // an operator's GET /ready
	Unanswered   int           // of these requests
	Calls        int           // of the other client
	Ended        bool          // the process ended by itself
}

func (r PressureResult) String() string {
	return fmt.Sprintf("%d MB at most, longest test %v, call %v of %d, ready %v, unanswered %d, ended %t", r.PeakMemory>>20,
		r.LongestTest.Round(time.Millisecond), r.LongestCall.Round(time.Millisecond), r.Calls, r.LongestReady.Round(time.Millisecond),
		r.Unanswered, r.Ended)
}

// Limits of a scored day.
const (
	scoredMemoryMB = 192
	scoredSockets  = 1024
	probeInterval  = 100 * time.Millisecond
	probeTimeout   = 4 * time.Second
)

// PlayPressure starts the program at the path with one far end, plays a pressure on its callers' port for a time, and probes it meanwhile.
func PlayPressure(pressure Pressure, binary, dir string, lasts time.Duration) (*PressureResult, error) {
	t := &trial{plan: Plan{FarEnds: 1, Agents: 1, MemoryMB: scoredMemoryMB, Sockets: scoredSockets}, recorder: NewRecorder()}
	defer t.stop()
	dir = filepath.Join(dir, strings.ReplaceAll(pressure.Name, " ", "-"))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	a, err := t.newSite(0, binary, dir)
	if err != nil {
		return nil, err
	}
	t.sites = append(t.sites, a)
	if a.process.config.Management, err = freeAddress(); err != nil {
		return nil, err
	}
	gateways, err := freeAddress()
	if err != nil {
		return nil, err
	}
	a.process.operator = filepath.Join(dir, "operator.json")
	if err := os.WriteFile(a.process.operator, fmt.Appendf(nil, operatorFile, gateways, freeGateway), 0o600); err != nil {
		return nil, err
	}
	if err := a.startAgent(); err != nil {
		return nil, err
	}
	target := pressureTarget{a.process.config.Listen, a.process.config.Management, gateways, a.farEnds[0]}
	result := &PressureResult{}
	var end atomic.Bool
	var pressing, probing sync.WaitGroup
	for client := range pressure.Clients {
		pressing.Go(func() { pressure.Press(target, client, end.Load) })
	}
	prober := &prober{result: result, addr: a.process.config.Listen, management: a.process.config.Management}
	for _, probe := range []func(){prober.test, prober.call, prober.ready} {
		probing.Go(func() {
			for !end.Load() {
				probe()
				time.Sleep(probeInterval)
			}
		})
	}
	time.Sleep(lasts)
	end.Store(true)
	pressing.Wait()
	probing.Wait()
	result.PeakMemory = peakMemory(a.process.command.Process.Pid)
	result.Ended = a.process.waitEnded(0)
	a.process.signal(syscall.SIGKILL, signalCrash)
	return result, nil
}

// prober is a client that keeps to the rules while others press.
type prober struct {
	mu               sync.Mutex
	result           *PressureResult
	addr, management string
	number           atomic.Uint64
}

// measure records how long a request took; answered is false if it got no answer.
func (p *prober) measure(longest *time.Duration, request func() error) {
	started := time.Now()
	err := request()
	took := time.Since(started)
	p.mu.Lock()
	defer p.mu.Unlock()
	*longest = max(*longest, took)
	if err != nil {
		p.result.Unanswered++
	}
}

func (p *prober) test() {
	p.measure(&p.result.LongestTest, func() error {
		_, err := p.exchange(newRequest("OPTIONS", p.nextID()), nil)
		return err
	})
}

// call sets a call up, and releases it.
func (p *prober) call() {
	id := p.nextID()
	invite := newRequest("INVITE", id)
	invite.Headers = append(invite.Headers, inviteHeaders(1)...)
	invite.Body = "v=0 n0 probe\r\n"
	p.measure(&p.result.LongestCall, func() error {
		_, err := p.exchange(invite, newRequest("BYE", id))
		return err
	})
	p.result.Calls++
}

func (p *prober) ready() {
	p.measure(&p.result.LongestReady, func() error {
		client := http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get("http://" + p.management + "/ready")
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	})
}

func (p *prober) nextID() string { return fmt.Sprintf("%016x", 0xbeef0000+p.number.Add(1)) }

// exchange sends a request on a new connection, and returns the final response. after is sent on the connection then, unless it is nil.
func (p *prober) exchange(request, after *sip.Message) (*sip.Message, error) {
	c, err := net.DialTimeout("tcp", p.addr, probeTimeout)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(probeTimeout))
	if _, err := c.Write(request.Append(nil)); err != nil {
		return nil, err
	}
	in := bufio.NewReader(c)
	var received []byte
	for {
		b, err := in.ReadByte()
		if err != nil {
			return nil, err
		}
		received = append(received, b)
		m, _, err := sip.Parse(received)
		if err != nil {
			return nil, err
		}
		if m != nil {
			if after != nil && m.Status == statusOK {
				_, _ = c.Write(newRequest("ACK", request.Get("Call-ID")).Append(nil))
				_, _ = c.Write(after.Append(nil))
				time.Sleep(20 * time.Millisecond)
			}
			return m, nil
		}
	}
}

// connect opens a connection for a pressing client; nil: it did not come up.
func connect(addr string) net.Conn {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		time.Sleep(reconnectInterval)
		return nil
	}
	return c
}

// repeatOn returns what writes messages as fast as they are taken, on one connection after another, and reads the answers if asked to.
func repeatOn(reads bool, next func(client, number int) []byte) func(target pressureTarget, client int, stopped func() bool) {
	return func(target pressureTarget, client int, stopped func() bool) {
		for number := 0; !stopped(); {
			c := connect(target.callers)
			if c == nil {
				continue
			}
			if reads {
				go func() { _, _ = io.Copy(io.Discard, c) }()
			}
			for !stopped() {
				_ = c.SetWriteDeadline(time.Now().Add(time.Second))
				number++
				if _, err := c.Write(next(client, number)); err != nil {
					break
				}
			}
			_ = c.Close()
		}
	}
}

// slowHalf writes half of a large set-up slowly, and then nothing until the connection ends.
func slowHalf(target pressureTarget, client int, stopped func() bool) {
	body := strings.Repeat("z", 15<<10)
	for !stopped() {
		c := connect(target.callers)
		if c == nil {
			continue
		}
		m := newRequest("INVITE", fmt.Sprintf("%016x", client))
		m.Headers = append(m.Headers, inviteHeaders(1)...)
		m.Body = body
		half := m.Append(nil)[:8<<10]
		const piece = 256
		for len(half) > 0 && !stopped() {
			if _, err := c.Write(half[:min(piece, len(half))]); err != nil {
				break
			}
			half = half[min(piece, len(half)):]
			time.Sleep(20 * time.Millisecond)
		}
		_ = c.SetReadDeadline(time.Now().Add(probeTimeout))
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
}

// messageWith returns a message with as many copies of a field as a peer may send.
func messageWith(method, id, field string) []byte {
	m := newRequest(method, id)
	m.Headers = append(m.Headers, inviteHeaders(1)...)
	plain := m.Append(nil)
	fields := strings.Repeat(field+"\r\n", (sip.MaxMessageSize-len(plain)-64)/(len(field)+2))
	first, rest, _ := strings.Cut(string(plain), "\r\n")
	return []byte(first + "\r\n" + fields + rest)
}

// Pressures are the pressures on the callers' port.
func Pressures() []Pressure {
	id := func(client, number int) string { return fmt.Sprintf("%016x", client<<32|number) }
	request := func(method string, destination int) func(client, number int) []byte {
		return func(client, number int) []byte {
			m := newRequest(method, id(client, number))
			m.Headers = append(m.Headers, inviteHeaders(destination)...)
			return m.Append(nil)
		}
	}
	many := func(method, field string) func(client, number int) []byte {
		return func(client, number int) []byte { return messageWith(method, id(client, number), field) }
	}
	unsound := func(client, number int) []byte {
		return newRequest("INVITE", fmt.Sprintf("no id %d %d", client, number)).Append(nil)
	}
	const crowd = 330
	return []Pressure{
		{"slow half", crowd, false, slowHalf},
		{"short Vias", crowd, true, repeatOn(true, many("INVITE", "v:a"))},
		{"short Vias unread", crowd, true, repeatOn(false, many("INVITE", "v:a"))},
		{"short unknown fields", crowd, true, repeatOn(true, many("INVITE", "x:a"))},
		{"short fields of tests", crowd, true, repeatOn(true, many("OPTIONS", "v:a"))},
		{"tests", 1, false, repeatOn(true, request("OPTIONS", 1))},
		{"tests unread", 1, false, repeatOn(false, request("OPTIONS", 1))},
		{"set-ups to nowhere", 1, false, repeatOn(true, request("INVITE", 60))},
		{"set-ups", 1, false, repeatOn(true, request("INVITE", 1))},
		{"unsound set-ups", 1, false, repeatOn(true, unsound)},
		{"releases of nothing", 1, false, repeatOn(true, request("BYE", 1))},
		{"unknown methods", 1, false, repeatOn(true, request("PUBLISH", 1))},
		{"acknowledgements", 1, false, repeatOn(true, request("ACK", 1))},
		{"short lines", 1, false, repeatOn(true, func(int, int) []byte { return []byte("\r\n\r\n") })},
		{"operators' requests", 1, false, pressManagement},
		{"operators' half requests", crowd, false, pressManagementHalf},
		{"unsound datagrams", 1, false, pressGateways(func(number int) []byte { return fmt.Appendf(nil, "NTFY %d x\nO\n", 1+number%maxTransaction) })},
		{"datagrams of an unknown line", 1, false, pressGateways(func(number int) []byte {
			return fmt.Appendf(nil, "NTFY %d aaln/%d@g MGCP 1.0\nX: %d\nO: l/hd\n", 1+number%maxTransaction, number, number)
		})},
		{"off-hook and on-hook", 1, false, pressGateways(func(number int) []byte {
			return fmt.Appendf(nil, "NTFY %d aaln/1@g MGCP 1.0\nO: l/h%c\n", 1+number%maxTransaction, "du"[number%2])
		})},
		{"large datagrams of short lines", 1, false, pressGateways(func(number int) []byte {
			return append(fmt.Appendf(nil, "NTFY %d aaln/1@g MGCP 1.0\n", 1+number%maxTransaction), strings.Repeat("a:b\n", 4000)...)
		})},
		{"far end's states", 1, false, pressFarEnd("")},
		{"far end's lines of many fields", 1, false, pressFarEnd(manyFields())},
	}
}

// maxTransaction is the largest transaction identifier of MGCP.
const maxTransaction = 999999999

// freeGateway is the address of a gateway that does not answer.
const freeGateway = "127.0.0.1:9"

// operatorFile enables the front end for gateways.
const operatorFile = `{"mgcp": {"listen": %q, "digit_map": "x", "gateways": [{"name": "g", "address": %q, "id": "s-0000d001", "place": 50,
 "zone": "east", "lines": ["aaln/1", "aaln/2"], "answer": "ring", "class": "order-status"}], "routes": []}}`

// pressManagement sends operators' requests, one after another, as fast as they are answered.
func pressManagement(target pressureTarget, _ int, stopped func() bool) {
	client := http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for !stopped() {
		response, err := client.Get("http://" + target.management + "/metrics")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
}

// pressManagementHalf sends half requests of an operator, and holds the connections.
func pressManagementHalf(target pressureTarget, _ int, stopped func() bool) {
	for !stopped() {
		c := connect(target.management)
		if c == nil {
			continue
		}
		_, _ = c.Write([]byte("GET /metrics HTTP/1.1\r\n" + strings.Repeat("x: y\r\n", 1000)))
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
}

// pressGateways returns what sends datagrams as fast as the socket takes them.
func pressGateways(next func(number int) []byte) func(target pressureTarget, client int, stopped func() bool) {
	return func(target pressureTarget, _ int, stopped func() bool) {
		c, err := net.Dial("udp", target.gateways)
		if err != nil {
			return
		}
		defer c.Close()
		for number := 0; !stopped(); number++ {
			_, _ = c.Write(next(number))
		}
	}
}

// pressFarEnd returns what floods all connections to a far end with states of its group, which have more fields if asked to.
func pressFarEnd(more string) func(target pressureTarget, client int, stopped func() bool) {
	line := []byte(`{"kind":"usage","uid":"0000000000000001","meta":{"load":"x0:40;x1:40"` + more + "}}\n")
	return func(target pressureTarget, _ int, stopped func() bool) {
		for !stopped() {
			target.farEnd.mu.Lock()
			conns := slices.Clone(target.farEnd.conns)
			target.farEnd.mu.Unlock()
			for _, c := range conns {
				c.writes.Lock()
				_ = c.SetWriteDeadline(time.Now().Add(time.Second))
				_, _ = c.Write(line)
				c.writes.Unlock()
			}
			if len(conns) == 0 {
				time.Sleep(reconnectInterval)
			}
		}
	}
}

// manyFields returns as many fields as a line may have.
func manyFields() string {
	var fields strings.Builder
	for i := 0; fields.Len() < farend.MaxLine-256; i++ {
		fmt.Fprintf(&fields, `,"%d":1`, i)
	}
	return fields.String()
}
