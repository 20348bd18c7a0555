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
	feedSilent  = 2500 * time.Millisecond // an empty frame comes each second
	feedTimeout = time.Second
	feedPause   = 200 * time.Millisecond
)

// Feed follows the change log.
type Feed struct {
	core    *agent.Core
	fars    *Fars
	log     *zap.Logger
	addr    string
	seq     uint64
	conn    *feedConn
	dialing bool
	heard   time.Duration
}

type feedConn struct {
	feed *Feed
	link *link.Conn
}

// NewFeed applies the events of the start and follows the change log from there; no address: it rests.
func NewFeed(core *agent.Core, fars *Fars, log *zap.Logger, addr string, seq uint64, known []changelog.Event) *Feed {
	f := &Feed{core: core, fars: fars, log: log, addr: addr}
	for i, e := range known {
		kind := tinbeam.ListDelta
		if i == 0 {
			kind = tinbeam.ListCached
		} else if e.Kind == changelog.Whole {
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

func (f *Feed) apply(e changelog.Event, kind tinbeam.ListKind) {
	f.seq = e.Seq
	f.core.M.ListEvents.Inc()
	f.fars.Listed(e.Seq, kind, e.Entries)
}

func (f *Feed) dial() {
	if f.addr == "" || f.conn != nil || f.dialing {
		return
	}
	f.dialing = true
	c := &feedConn{feed: f}
	go func() {
		l, err := link.Dial(f.addr, feedTimeout, c)
		f.core.Post(func() {
			f.dialing = false
			if err != nil {
				f.core.M.DialsFailed.Inc()
				return
			}
			c.link, f.conn, f.heard = l, c, f.core.Now()
			f.core.M.ListReconnects.Inc()
			l.Send(changelog.Resume(f.seq), nil)
		})
	}()
}

// Data reads frames.
func (c *feedConn) Data(_ *link.Conn, b []byte) (int, error) {
	used := 0
	for {
		e, n, err := changelog.Parse(b[used:])
		if err != nil {
			c.feed.core.M.Malformed.Inc()
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
	case e.Kind == changelog.Nothing:
	case e.Seq <= f.seq && e.Kind == changelog.Changes:
		f.core.M.ListGaps.Inc() // told again
	case e.Kind == changelog.Whole:
		f.apply(*e, tinbeam.ListFull)
	case e.Seq > f.seq+1:
		// Something was missed, and a change applies to what was before it: ask again from the last one held.
		f.core.M.ListGaps.Inc()
		c.link.Close()
	default:
		f.apply(*e, tinbeam.ListDelta)
	}
}

// Closed tells that the connection has ended.
func (c *feedConn) Closed(*link.Conn) {
	c.feed.core.Post(func() {
		if c.feed.conn == c {
			c.feed.conn = nil
			c.feed.dial()
		}
	})
}
