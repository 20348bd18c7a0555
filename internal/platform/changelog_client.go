package platform

import (
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
	"tinbeam/internal/changelog"
	"tinbeam/internal/link"
)

const (
	feedSilent  = 2300 * time.Millisecond // an empty frame comes each second
	feedTimeout = time.Second
	feedPause   = 200 * time.Millisecond
)

// ChangeLogClient follows the change log.
type ChangeLogClient struct {
	core    *agent.Core
	fars    *FarEnds
	log     *zap.Logger
	addr    string
	seq     uint64
	conn    *feedConn
	dialing *feedConn // the dial that is under way; what an earlier one brings is not wanted any more
	heard   time.Duration
}

type feedConn struct {
	feed *ChangeLogClient
	link *link.Conn
	over bool
}

// NewChangeLogClient applies the events of the start and follows the change log from there; no address: it rests.
func NewChangeLogClient(core *agent.Core, fars *FarEnds, log *zap.Logger,
	addr string, seq uint64, known []changelog.Event) *ChangeLogClient {
	f := &ChangeLogClient{core: core, fars: fars, log: log, addr: addr}
	for i, e := range known {
		kind := tinbeam.ListDelta
		if i == 0 {
			kind = tinbeam.ListCached
		} else if e.Kind == changelog.FullList {
			kind = tinbeam.ListFull
		}
		f.apply(e, kind)
	}
	f.seq = max(f.seq, seq)
	var sweep func()
	sweep = func() {
		if f.conn != nil && core.Now()-f.heard > feedSilent {
			f.conn.link.Close() // a link that says nothing is dead, whatever the machine thinks of it
		}
		f.dial()
		core.After(feedPause, sweep)
	}
	core.After(0, sweep)
	return f
}

func (f *ChangeLogClient) apply(e changelog.Event, kind tinbeam.ListKind) {
	f.seq = e.Seq
	f.core.Metrics.ListEvents.Inc()
	f.fars.Listed(e.Seq, kind, e.Entries)
}

// SetAddress follows the change log at another address from now on. The numbers continue there. The old one tells nothing
// further, so neither a link nor a dial to it is waited for.
func (f *ChangeLogClient) SetAddress(addr string) {
	if addr == f.addr {
		return
	}
	f.addr, f.dialing = addr, nil
	if c := f.conn; c != nil {
		f.conn = nil
		c.link.Close()
	}
	f.dial()
}

func (f *ChangeLogClient) dial() {
	if f.addr == "" || f.conn != nil || f.dialing != nil {
		return
	}
	c := &feedConn{feed: f}
	f.dialing = c
	addr := f.addr
	go func() {
		l, err := link.Dial(addr, feedTimeout, c)
		f.core.Post(func() { f.dialed(c, l, err) })
	}()
}

// dialed takes what became of a dial.
func (f *ChangeLogClient) dialed(c *feedConn, l *link.Conn, err error) {
	wanted := f.dialing == c
	if wanted {
		f.dialing = nil
	}
	switch {
	case err != nil:
		f.core.Metrics.DialsFailed.Inc()
	case !wanted:
		l.Close() // it leads to where the change log was before
	case c.over:
		// Guards against a link that broke before this was told of it: it would be waited on as if it were open.
		f.core.Metrics.DialsFailed.Inc()
	default:
		c.link, f.conn, f.heard = l, c, f.core.Now()
		f.core.Metrics.ListReconnects.Inc()
		l.Send(changelog.ResumeRequest(f.seq), nil)
	}
}

// Data reads frames.
func (c *feedConn) Data(_ *link.Conn, b []byte) (int, error) {
	used := 0
	for {
		e, n, err := changelog.Parse(b[used:])
		if err != nil {
			c.feed.core.Metrics.Malformed.Inc()
			return used, err
		}
		if n == 0 {
			return used, nil
		}
		used += n
		c.feed.core.Post(func() { c.event(e) })
	}
}

func (c *feedConn) event(e *changelog.Event) {
	f := c.feed
	if f.conn != c {
		return
	}
	f.heard = f.core.Now()
	switch {
	case e.Kind == changelog.KeepAlive:
	case e.Seq <= f.seq:
		// Guards against an event told twice, a whole list too: what came behind it would be undone.
		f.core.Metrics.ListGaps.Inc()
	case e.Kind == changelog.FullList:
		f.apply(*e, tinbeam.ListFull)
	case e.Seq > f.seq+1:
		// Something was missed, and a change applies to what was before it: ask again from the last one held.
		f.core.Metrics.ListGaps.Inc()
		c.link.Close()
	default:
		f.apply(*e, tinbeam.ListDelta)
	}
}

// Closed tells that the connection has ended.
func (c *feedConn) Closed(*link.Conn) {
	c.feed.core.PostNonBlocking(func() {
		c.over = true
		if c.feed.conn == c {
			c.feed.conn = nil
			c.feed.dial()
		}
	})
}
