package link

import (
	"errors"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
)

// This file writes the queued messages of a connection. It writes to the socket itself, not through netpoll's output buffer, so
// that it knows of each message whether any of it has been handed to the kernel.

const (
	maxWrite          = 32 << 10        // bytes handed to the kernel at once
	writeTimeout      = 3 * time.Second // a peer that reads nothing for this long is considered gone
	minWriteRetryTime = time.Millisecond
	maxWriteRetryTime = 16 * time.Millisecond
)

// SendHandle allows a sent message to be withdrawn until the kernel has taken a part of it. Counter, if set, counts the messages
// that were not withdrawn: 1 is added before the kernel is given a message, and taken back if it takes nothing of it.
type SendHandle struct {
	Counter interface{ Add(n int64) }
	state   atomic.Int32
}

const (
	waiting int32 = iota
	written
	withdrawn
)

// Withdraw prevents the message from being written, and reports whether it was still in time.
func (h *SendHandle) Withdraw() bool { return h.state.CompareAndSwap(waiting, withdrawn) }

// Written reports whether the kernel has taken the message or a part of it, or is about to.
func (h *SendHandle) Written() bool { return h.state.Load() == written }

type message struct {
	bytes  []byte
	handle *SendHandle
}

// claim marks the message as written and counts it, unless it was withdrawn.
func (m message) claim() bool {
	if m.handle == nil {
		return true
	}
	if !m.handle.state.CompareAndSwap(waiting, written) {
		return false
	}
	m.handle.count(1)
	return true
}

// unclaim lets the message be withdrawn again, since the kernel has taken nothing of it.
func (m message) unclaim() {
	if m.handle != nil {
		m.handle.count(-1)
		m.handle.state.Store(waiting)
	}
}

func (h *SendHandle) count(n int64) {
	if h.Counter != nil {
		h.Counter.Add(n)
	}
}

// Send queues a message and never blocks. It returns false if the connection is closed, or if the queue is full because the
// peer has not read for too long; the latter closes the connection. A message with a nil handle cannot be withdrawn.
func (c *Conn) Send(b []byte, handle *SendHandle) bool {
	c.mu.Lock()
	if c.closing || c.closed {
		c.mu.Unlock()
		return false
	}
	if c.queued+len(b) > c.maxQueued {
		c.mu.Unlock()
		c.Close()
		return false
	}
	c.queue = append(c.queue, message{b, handle})
	c.queued += len(b)
	c.wakeWriter()
	c.mu.Unlock()
	return true
}

// wakeWriter wakes the writing goroutine, and starts it at the first message. Until then there is none, so that connections
// on which nothing is sent need few resources.
func (c *Conn) wakeWriter() {
	if !c.writing {
		c.writing = true
		go c.writeLoop()
	}
	c.wake.Signal()
}

// CloseAfterFlush closes the connection once all queued messages have been written.
func (c *Conn) CloseAfterFlush() {
	c.mu.Lock()
	c.closing = true
	if !c.closed {
		c.wakeWriter()
	}
	c.mu.Unlock()
}

func (c *Conn) writeLoop() {
	for batch := c.nextBatch(); len(batch) > 0; batch = c.nextBatch() {
		if err := c.writeBatch(batch); err != nil {
			break
		}
	}
	c.Close()
}

// nextBatch waits for messages to write and claims them; none means that the connection is to be closed.
func (c *Conn) nextBatch() []message {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flushing = false
	for {
		batch := c.claimBatch()
		switch {
		case c.closed:
			return nil
		case len(batch) > 0:
			c.flushing = true
			return batch
		case len(c.queue) > 0:
			continue
		case c.closing:
			return nil
		}
		c.wake.Wait()
	}
}

// claimBatch takes messages from the queue, of maxWrite bytes at most if they are several, and leaves out those that were withdrawn.
// The lock is held.
func (c *Conn) claimBatch() []message {
	var batch []message
	size, taken := 0, 0
	for _, m := range c.queue {
		if len(batch) > 0 && size+len(m.bytes) > maxWrite {
			break
		}
		taken++
		c.queued -= len(m.bytes)
		if m.claim() {
			batch = append(batch, m)
			size += len(m.bytes)
		}
	}
	c.queue = append(c.queue[:0], c.queue[taken:]...)
	return batch
}

// putBack returns claimed messages, of which the kernel has taken nothing, to the front of the queue.
func (c *Conn) putBack(batch []message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(batch) == 0 {
		return
	}
	for _, m := range batch {
		m.unclaim()
		c.queued += len(m.bytes)
	}
	c.queue = slices.Concat(batch, c.queue)
}

// writeBatch hands messages to the kernel. If it does not take all of them, the one that it has begun is finished, and the others
// go back to the queue.
func (c *Conn) writeBatch(batch []message) error {
	var joined []byte
	for _, m := range batch {
		joined = append(joined, m.bytes...)
	}
	n, err := c.writeSome(joined)
	if err != nil {
		return err
	}
	begun, end := 0, 0 // the number of messages that the kernel has taken or begun, and their size
	for begun < len(batch) && (end < n || len(batch[begun].bytes) == 0) {
		end += len(batch[begun].bytes)
		begun++
	}
	c.putBack(batch[begun:])
	if begun == 0 {
		return c.waitForPeer()
	}
	return c.writeRest(joined[n:end])
}

// writeRest hands the rest of a message to the kernel.
func (c *Conn) writeRest(rest []byte) error {
	for len(rest) > 0 {
		n, err := c.writeSome(rest)
		if err != nil {
			return err
		}
		if rest = rest[n:]; n > 0 {
			continue
		}
		if err := c.waitForPeer(); err != nil {
			return err
		}
	}
	return nil
}

// waitForPeer waits a moment after the kernel has taken nothing, since the peer does not read. It fails with os.ErrDeadlineExceeded
// once that has lasted for writeTimeout.
func (c *Conn) waitForPeer() error {
	if c.blockedSince == 0 {
		c.blockedSince, c.writeRetry = clock(), minWriteRetryTime
	}
	if clock()-c.blockedSince > writeTimeout {
		return os.ErrDeadlineExceeded
	}
	time.Sleep(c.writeRetry)
	c.writeRetry = min(2*c.writeRetry, maxWriteRetryTime)
	return nil
}

// writeSome hands to the kernel what it takes at once, and returns the number of bytes; 0 if the peer does not read. It fails with
// net.ErrClosed once the connection has been closed.
func (c *Conn) writeSome(b []byte) (n int, err error) {
	err = net.ErrClosed
	c.withSocket(func(conn netpoll.Conn) { n, err = syscall.Write(conn.Fd(), b) })
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return 0, nil
	case err != nil:
		return 0, err
	}
	c.blockedSince = 0
	return n, nil
}
