package link

import (
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

// This file closes connections on which nothing is under way, and pauses reading for that.

const (
	// receive low-water mark of a socket whose reading is paused, in bytes; the kernel allows up to half of the buffer
	pausedLowWaterMark = maxReceiveBuffer / 2
	pauseLimit         = 50 * time.Millisecond // reading is resumed after this
	readTime           = 2 * time.Millisecond  // netpoll has ended a read that was under way after this
)

// CloseIfIdle closes the connection at once if nothing is under way on it: all queued messages have been written, nothing has
// been received that the handler has not consumed, and handled, which is called last, reports that what the handler has consumed
// was dealt with. CloseIfIdle reports whether it closed the connection. What arrives after the check stays unread, so that the
// peer gets a reset for it: it can tell that nobody acted on it. Without an earlier PauseReading, a message that is being read
// at that moment can be missed.
func (c *Conn) CloseIfIdle(handled func() bool) bool {
	if !c.outputWritten() || c.inputUnread() || c.inputBuffered() || c.partialSince.Load() != 0 || !handled() {
		return false
	}
	c.Close()
	return true
}

// CloseIfReadIsHandled is like CloseIfIdle but leaves unread what the kernel holds, and drops an incomplete message.
func (c *Conn) CloseIfReadIsHandled(handled func() bool) bool {
	if !c.outputWritten() || c.inputBuffered() || !handled() {
		return false
	}
	c.Close()
	return true
}

// outputWritten reports whether all messages have been handed to the kernel, and the connection is open.
func (c *Conn) outputWritten() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed && !c.flushing && len(c.queue) == 0
}

// inputUnread reports whether the kernel holds input that netpoll has not read.
func (c *Conn) inputUnread() bool {
	unread := false
	c.withSocket(func(conn netpoll.Conn) { unread = unreadBytes(conn) > 0 })
	return unread
}

// inputBuffered reports whether input has been read that the handler has not seen. It checks in the order in which bytes move, so
// that they cannot pass by the checks.
func (c *Conn) inputBuffered() bool {
	buffered := false
	c.withSocket(func(netpoll.Conn) { buffered = c.np.Reader().Len() > 0 || c.handling.Load() })
	return buffered
}

// PauseReading leaves what arrives from now on in the kernel, until ResumeReading or pauseLimit. What netpoll is reading at this
// moment becomes visible to CloseIfIdle within readTime.
func (c *Conn) PauseReading() {
	c.withSocket(func(conn netpoll.Conn) {
		if c.pausedAt.Load() != 0 {
			return
		}
		at := int64(clock())
		c.pausedAt.Store(at)
		// With a high mark the socket does not become readable for what is as short as a message.
		setLowWaterMark(conn, pausedLowWaterMark)
		time.AfterFunc(pauseLimit, func() { c.endPause(at) })
	})
}

// ResumeReading ends a pause.
func (c *Conn) ResumeReading() { c.endPause(c.pausedAt.Load()) }

// endPause ends the pause that began at the given time, if it still lasts.
func (c *Conn) endPause(began int64) {
	c.withSocket(func(conn netpoll.Conn) {
		if began != 0 && c.pausedAt.CompareAndSwap(began, 0) {
			setLowWaterMark(conn, 1)
		}
	})
}

// ReadingPaused reports whether reading has been paused for so long that nothing is being read any more.
func (c *Conn) ReadingPaused() bool {
	at := c.pausedAt.Load()
	return at != 0 && clock()-time.Duration(at) >= readTime
}

// setLowWaterMark sets how many bytes must have arrived for the socket to become readable. It has no effect where the system does
// not support it.
func setLowWaterMark(conn netpoll.Conn, bytes int) {
	_ = unix.SetsockoptInt(conn.Fd(), unix.SOL_SOCKET, unix.SO_RCVLOWAT, bytes)
}

// withSocket calls fn unless the socket has been closed, and keeps netpoll from closing it meanwhile.
func (c *Conn) withSocket(fn func(netpoll.Conn)) {
	c.socketMu.Lock()
	defer c.socketMu.Unlock()
	if conn, ok := c.np.(netpoll.Conn); ok && !c.socketGone {
		fn(conn)
	}
}

// unreadBytes returns how many bytes the kernel holds that netpoll has not read.
func unreadBytes(conn netpoll.Conn) int {
	n, err := unix.IoctlGetInt(conn.Fd(), unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return n
}
