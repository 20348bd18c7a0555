package platform

import (
	"slices"
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
	maxChangeLogConns      = 4                       // silent ones are kept while others are tried: what is sent on them may be late
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
	seq     uint64           // sequence number of the last event applied
	conns   []*changeLogConn // oldest first; several only while none of them has brought anything for a time
	dialing *changeLogConn   // the dial in progress; the result of an earlier dial is discarded

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
		cl.checkConns()
		cl.dial()
		core.After(changeLogRetryInterval, sweep)
	}
	core.After(0, sweep)
	return cl
}

// checkConns looks for connections that something was received on, and closes those on which a frame does not become complete.
func (cl *ChangeLogClient) checkConns() {
	for _, c := range slices.Clone(cl.conns) {
		if !slices.Contains(cl.conns, c) {
			continue // another one has brought something
		}
		if c.received.Swap(false) {
			c.aliveAt = cl.core.Now()
			cl.closeOthers(c)
		}
		if c.link.StalledFor() > cl.frameTimeout {
			cl.log.Info("change log: frame does not become complete", zap.Uint64("last event", cl.seq),
				zap.Duration("allowed", cl.frameTimeout))
			cl.frameTimeout = min(2*cl.frameTimeout, maxFrameTimeout)
			c.link.Close()
		}
	}
}

// closeOthers closes the connections that were tried beside one that has brought something.
func (cl *ChangeLogClient) closeOthers(alive *changeLogConn) {
	for _, c := range cl.conns {
		if c != alive {
			c.link.Close()
		}
	}
	cl.conns = append(cl.conns[:0], alive)
}

// silentFor returns how long nothing has been received on any connection.
func (cl *ChangeLogClient) silentFor() time.Duration {
	aliveAt := time.Duration(0)
	for _, c := range cl.conns {
		aliveAt = max(aliveAt, c.aliveAt)
	}
	return cl.core.Now() - aliveAt
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
	for _, c := range cl.conns {
		c.link.Close()
	}
	cl.conns = nil
	cl.dial()
}

// dial opens a connection if there is none, or if those there are stay silent. The kernel may report a dead connection as open, so
// another one is tried; but what is sent on a silent one may only be late, so it is kept as long as there are not too many.
func (cl *ChangeLogClient) dial() {
	if cl.addr == "" || cl.dialing != nil || len(cl.conns) > 0 && cl.silentFor() <= changeLogIdleTimeout {
		return
	}
	if len(cl.conns) > 0 {
		cl.log.Info("change log: connection is silent", zap.Uint64("last event", cl.seq), zap.Int("connections", len(cl.conns)))
	}
	if len(cl.conns) >= maxChangeLogConns {
		cl.conns[0].link.Close()
		cl.conns = slices.Delete(cl.conns, 0, 1)
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
		c.link, c.aliveAt = l, cl.core.Now()
		cl.conns = append(cl.conns, c)
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
	if !slices.Contains(cl.conns, c) {
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
		if i := slices.Index(c.client.conns, c); i >= 0 {
			c.client.log.Info("change log: connection lost", zap.Uint64("last event", c.client.seq),
				zap.Duration("quiet", c.client.core.Now()-c.aliveAt))
			c.client.conns = slices.Delete(c.client.conns, i, i+1)
			c.client.dial()
		}
	})
}
