package platform

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
	"tinbeam/internal/changelog"
	"tinbeam/internal/link"
)

const (
	changeLogIdleTimeout   = 2300 * time.Millisecond // the change log sends an empty frame every second
	frameTimeout           = 3500 * time.Millisecond // from the first byte of a frame to its last; its length may be spoilt
	maxFrameTimeout        = time.Minute
	changeLogDialTimeout   = time.Second
	changeLogRetryInterval = 200 * time.Millisecond
	maxQueuedEventBytes    = 4 << 20 // bytes of events that were received and not handled yet: four lists of the largest size
)

// ChangeLogClient follows the change log and passes its events on to the far-end side.
type ChangeLogClient struct {
	core    *agent.Core
	farEnds *FarEnds
	log     *zap.Logger
	addr    string
	seq     uint64 // sequence number of the last event applied
	conn    *changeLogConn
	dialing *changeLogConn // the dial in progress; the result of an earlier dial is discarded

	// time allowed for a frame; it grows with each frame that did not come whole in time, so that a slow one gets through at last
	frameTimeout time.Duration
}

type changeLogConn struct {
	client      *ChangeLogClient
	link        *link.Conn
	closed      bool
	queuedBytes atomic.Int64  // bytes of events received and not handled yet
	received    atomic.Bool   // something was received since the last sweep
	aliveAt     time.Duration // time at which something was last seen to have been received, or of the connect
}

// NewChangeLogClient applies the initial events and follows the change log from there. With an empty address it does not
// connect.
func NewChangeLogClient(core *agent.Core, farEnds *FarEnds, log *zap.Logger,
	addr string, seq uint64, initial []changelog.Event) *ChangeLogClient {
	cl := &ChangeLogClient{core: core, farEnds: farEnds, log: log, addr: addr, frameTimeout: frameTimeout}
	for i, e := range initial {
		kind := tinbeam.ListDelta
		if i == 0 {
			kind = tinbeam.ListCached
		} else if e.Kind == changelog.FullList {
			kind = tinbeam.ListFull
		}
		cl.apply(e, kind)
	}
	cl.seq = max(cl.seq, seq)
	var sweep func()
	sweep = func() {
		cl.checkConn()
		cl.dial()
		core.After(changeLogRetryInterval, sweep)
	}
	core.After(0, sweep)
	return cl
}

// checkConn closes a connection that is dead, although the kernel may report it as open: nothing is received on it, or a frame does
// not become complete.
func (cl *ChangeLogClient) checkConn() {
	c := cl.conn
	if c == nil {
		return
	}
	if c.received.Swap(false) {
		c.aliveAt = cl.core.Now()
	}
	switch {
	case cl.core.Now()-c.aliveAt > changeLogIdleTimeout:
		cl.log.Info("change log: connection is silent", zap.Uint64("last event", cl.seq))
		c.link.Close()
	case c.link.StalledFor() > cl.frameTimeout:
		cl.log.Info("change log: frame does not become complete", zap.Uint64("last event", cl.seq),
			zap.Duration("allowed", cl.frameTimeout))
		cl.frameTimeout = min(2*cl.frameTimeout, maxFrameTimeout)
		c.link.Close()
	}
}

func (cl *ChangeLogClient) apply(e changelog.Event, kind tinbeam.ListKind) {
	cl.seq = e.Seq
	cl.log.Debug("change log: event applied", zap.Uint64("event", e.Seq), zap.Int("entries", len(e.Entries)))
	cl.core.Metrics.ListEvents.Inc()
	cl.farEnds.ApplyList(e.Seq, kind, e.Entries)
}

// SetAddress follows the change log at another address from now on. The sequence numbers continue there. The old address
// sends no further events, so its connection is closed and a dial to it in progress is ignored.
func (cl *ChangeLogClient) SetAddress(addr string) {
	if addr == cl.addr {
		return
	}
	cl.addr, cl.dialing = addr, nil
	if c := cl.conn; c != nil {
		cl.conn = nil
		c.link.Close()
	}
	cl.dial()
}

func (cl *ChangeLogClient) dial() {
	if cl.addr == "" || cl.conn != nil || cl.dialing != nil {
		return
	}
	c := &changeLogConn{client: cl}
	cl.dialing = c
	addr := cl.addr
	go func() {
		l, err := link.Dial(addr, changeLogDialTimeout, c)
		cl.core.Post(func() { cl.dialed(c, l, err) })
	}()
}

// dialed handles the result of a dial.
func (cl *ChangeLogClient) dialed(c *changeLogConn, l *link.Conn, err error) {
	current := cl.dialing == c
	if current {
		cl.dialing = nil
	}
	switch {
	case err != nil:
		cl.log.Debug("change log: dial failed", zap.String("addr", cl.addr), zap.Error(err))
		cl.core.Metrics.DialsFailed.Inc()
	case !current:
		l.Close() // it leads to the change log's previous address
	case c.closed:
		// The connection broke before the dial's result was handled. Without this case it would be kept as if it were open.
		cl.core.Metrics.DialsFailed.Inc()
	default:
		c.link, cl.conn, c.aliveAt = l, c, cl.core.Now()
		cl.core.Metrics.ListReconnects.Inc()
		cl.log.Info("change log: connected", zap.String("addr", cl.addr), zap.Uint64("last event", cl.seq))
		l.Send(changelog.ResumeRequest(cl.seq), nil)
	}
}

// Data parses frames and posts each event to the core's loop.
func (c *changeLogConn) Data(l *link.Conn, b []byte) (int, error) {
	c.received.Store(true)
	used := 0
	for {
		e, n, err := changelog.Parse(b[used:])
		if err != nil {
			c.client.core.Metrics.Malformed.Inc()
			return used, err
		}
		if n == 0 {
			return used, nil
		}
		used += n
		if c.queuedBytes.Add(int64(n)) > maxQueuedEventBytes {
			c.client.core.Metrics.ListFlooded.Inc()
			l.CloseFlooded()
			return used, nil
		}
		c.client.core.Post(func() {
			c.queuedBytes.Add(-int64(n))
			c.handleEvent(e)
		})
	}
}

func (c *changeLogConn) handleEvent(e *changelog.Event) {
	cl := c.client
	if cl.conn != c {
		return
	}
	cl.frameTimeout = frameTimeout
	switch {
	case e.Kind == changelog.KeepAlive:
	case e.Seq <= cl.seq:
		// Ignores a repeated event, including a repeated full list: applying it would undo the events that followed it.
		cl.core.Metrics.ListGaps.Inc()
	case e.Kind == changelog.FullList:
		cl.apply(*e, tinbeam.ListFull)
	case e.Seq > cl.seq+1:
		// Events were missed, and a delta applies only to the state before it: reconnect and resume after the last event held.
		cl.core.Metrics.ListGaps.Inc()
		c.link.Close()
	default:
		cl.apply(*e, tinbeam.ListDelta)
	}
}

// Closed handles the end of the connection.
func (c *changeLogConn) Closed(*link.Conn) {
	c.client.core.Post(func() {
		c.closed = true
		if c.client.conn == c {
			c.client.log.Info("change log: connection lost", zap.Uint64("last event", c.client.seq),
				zap.Duration("quiet", c.client.core.Now()-c.aliveAt))
			c.client.conn = nil
			c.client.dial()
		}
	})
}
