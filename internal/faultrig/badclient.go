package faultrig

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"tinbeam/internal/sip"
)

// badClient plays a client that keeps to no rule, until stopped reports true: it sends messages that cannot be read, half
// messages, floods, and connections that are reset while the answers are under way.
func badClient(addr string, rng *rand.Rand, stopped func() bool) {
	behaviours := []func(net.Conn, *rand.Rand){resetUnderAnswers, sendGarbage, sendHalf, floodUnread, repeatCallID}
	for !stopped() {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(reconnectInterval)
			continue
		}
		_ = c.SetDeadline(time.Now().Add(time.Second))
		behaviours[rng.IntN(len(behaviours))](c, rng)
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

func testMessage(rng *rand.Rand) []byte {
	m := newRequest("OPTIONS", fmt.Sprintf("%016x", rng.Uint64()))
	return m.Append(nil)
}

// resetUnderAnswers opens connections one after another, and resets each while its tests are being answered.
func resetUnderAnswers(c net.Conn, rng *rand.Rand) {
	addr := c.RemoteAddr().String()
	for range 30 {
		for range 1 + rng.IntN(20) {
			_, _ = c.Write(testMessage(rng))
		}
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Microsecond)
		resetConn(c)
		var err error
		if c, err = net.DialTimeout("tcp", addr, time.Second); err != nil {
			return
		}
	}
	resetConn(c)
}

func sendGarbage(c net.Conn, rng *rand.Rand) {
	b := make([]byte, 1+rng.IntN(40<<10))
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	_, _ = c.Write(b)
	_ = c.Close()
}

func sendHalf(c net.Conn, rng *rand.Rand) {
	b := testMessage(rng)
	_, _ = c.Write(b[:1+rng.IntN(len(b)-1)])
	time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	_ = c.Close()
}

// floodUnread sends large set-ups to a destination that does not exist, and reads no answer.
func floodUnread(c net.Conn, rng *rand.Rand) {
	body := strings.Repeat("y", 12<<10)
	for range 300 {
		m := newRequest("INVITE", fmt.Sprintf("%016x", rng.Uint64()))
		m.Headers = append(m.Headers, inviteHeaders(60)...)
		m.Body = body
		if _, err := c.Write(m.Append(nil)); err != nil {
			break
		}
	}
	resetConn(c)
}

// repeatCallID sends one set-up many times under one ID.
func repeatCallID(c net.Conn, rng *rand.Rand) {
	m := newRequest("INVITE", fmt.Sprintf("%016x", rng.Uint64()))
	m.Headers = append(m.Headers, inviteHeaders(60)...)
	for range 40 {
		if _, err := c.Write(m.Append(nil)); err != nil {
			break
		}
	}
	_ = c.Close()
}

// inviteHeaders returns the headers of a set-up to an exchange that does not exist.
func inviteHeaders(destination int) []sip.Header {
	return []sip.Header{{Name: "P-Kind", Value: classNames[0]}, {Name: "P-Time-Left", Value: "500"},
		{Name: "P-Path", Value: fmt.Sprintf("dest:%d;width:1;via:-1", destination)}}
}
