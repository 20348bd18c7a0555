// Package changelog parses the change log of the far-end list: the frames of its stream, and the same events in the form that
// the configuration file has them. It does no I/O: it converts bytes to events.
package changelog

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"tinbeam"
)

// The kinds of frame: without entries, with the whole far-end list, and with the entries that changed.
const (
	KeepAlive = 0
	FullList  = 1
	Delta     = 2
)

const (
	entrySize    = 27
	headerSize   = 9       // sequence number and kind; the frame's length includes them
	maxFrameSize = 1 << 20 // about 38,000 far ends; a frame with a larger length is malformed
)

// ErrMalformed reports a malformed frame. The rest of the stream is unusable: the client has to reconnect.
var ErrMalformed = errors.New("changelog: malformed frame")

// Event is one numbered event of the change log.
type Event struct {
	Seq     uint64
	Kind    int
	Entries []Entry
}

// Entry is the state of one far end in an event.
type Entry struct {
	tinbeam.Entry
	Addr string // host:port
}

// ResumeRequest returns the message that the client sends first: the sequence number of the last event that it has.
func ResumeRequest(seq uint64) []byte { return binary.BigEndian.AppendUint64(nil, seq) }

// Parse parses the first frame in b and returns its event with the number of bytes consumed. If b holds no complete frame yet,
// it returns nil and 0.
func Parse(b []byte) (*Event, int, error) {
	if len(b) < 4 {
		return nil, 0, nil
	}
	size := int(binary.BigEndian.Uint32(b))
	if size < headerSize || size > maxFrameSize {
		return nil, 0, ErrMalformed
	}
	if len(b) < 4+size {
		return nil, 0, nil
	}
	e := &Event{Seq: binary.BigEndian.Uint64(b[4:]), Kind: int(b[12])}
	p := b[4+headerSize : 4+size]
	if e.Kind > Delta || len(p)%entrySize != 0 || e.Kind == KeepAlive && len(p) > 0 {
		return nil, 0, ErrMalformed
	}
	for ; len(p) > 0; p = p[entrySize:] {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte(p[4:8])), binary.BigEndian.Uint16(p[8:]))
		if p[10] > 2 {
			return nil, 0, ErrMalformed
		}
		e.Entries = append(e.Entries, Entry{Addr: addr.String(), Entry: tinbeam.Entry{
			Switch: binary.BigEndian.Uint32(p), Zone: int(p[11]), ExchangeNumber: int(binary.BigEndian.Uint16(p[13:])),
			Mode:        [3]tinbeam.Mode{tinbeam.Ready, tinbeam.Draining, tinbeam.Gone}[p[10]],
			Weight:      float64(binary.BigEndian.Uint32(p[15:])) / 1000,
			OnlineSince: moduleTime(int64(binary.BigEndian.Uint64(p[19:]))),
		}})
	}
	return e, 4 + size, nil
}

// moduleTime converts Unix milliseconds to the decision module's clock, which counts from the same epoch.
func moduleTime(ms int64) time.Duration {
	const maxMS = int64(1) << 42 // about 139 years, within the range of time.Duration
	return time.Duration(min(max(ms, 0), maxMS)) * time.Millisecond
}

// ParseKnown parses the events in the configuration's "known" object and the sequence number of the last one. zones holds the
// names of the zones from the settings; a zone's index is its number, and an unknown name counts as zone 0.
func ParseKnown(raw []byte, zones []string) (seq uint64, events []Event, err error) {
	var k struct {
		Seq     uint64 `json:"seq"`
		Results []struct {
			Seq   uint64 `json:"seq"`
			Fleet struct {
				Reset     bool `json:"reset"`
				Instances []struct {
					ID        string  `json:"instanceId"`
					Addr      string  `json:"hostPort"`
					Zone      string  `json:"zone"`
					Cell      int     `json:"cell"`
					Lifecycle string  `json:"lifecycle"`
					Weight    float64 `json:"weight"`
					Started   int64   `json:"startedAtMs"`
				} `json:"instances"`
			} `json:"fleet"`
		} `json:"results"`
	}
	if len(raw) == 0 {
		return 0, nil, nil
	}
	if err := json.Unmarshal(raw, &k); err != nil {
		return 0, nil, fmt.Errorf("known: %w", err)
	}
	for i, r := range k.Results {
		e := Event{Seq: r.Seq, Kind: Delta}
		if i == 0 || r.Fleet.Reset {
			e.Kind = FullList
		}
		for _, n := range r.Fleet.Instances {
			id, err := ParseID(n.ID)
			if err != nil {
				return 0, nil, fmt.Errorf("known: event %d: %w", r.Seq, err)
			}
			if _, err := netip.ParseAddrPort(n.Addr); err != nil {
				return 0, nil, fmt.Errorf("known: event %d: %s: %q is not a valid IP address and port", r.Seq, n.ID, n.Addr)
			}
			mode, ok := map[string]tinbeam.Mode{"active": tinbeam.Ready, "leaving": tinbeam.Draining,
				"left": tinbeam.Gone}[n.Lifecycle]
			if !ok {
				return 0, nil, fmt.Errorf("known: event %d: %s: unknown lifecycle %q", r.Seq, n.ID, n.Lifecycle)
			}
			zone := 0
			for z, name := range zones {
				if name == n.Zone {
					zone = z
				}
			}
			e.Entries = append(e.Entries, Entry{Addr: n.Addr, Entry: tinbeam.Entry{Switch: id, Zone: zone,
				ExchangeNumber: n.Cell, Mode: mode, Weight: n.Weight, OnlineSince: moduleTime(n.Started)}})
		}
		events = append(events, e)
	}
	return k.Seq, events, nil
}

// ParseID parses the text form of a far end's ID.
func ParseID(s string) (uint32, error) {
	hex, ok := strings.CutPrefix(s, "s-")
	n, err := strconv.ParseUint(hex, 16, 32)
	if !ok || err != nil || len(hex) != 8 {
		return 0, fmt.Errorf("id %q is not \"s-\" followed by 8 hex digits", s)
	}
	return uint32(n), nil
}

// FormatID returns the text form of a far end's ID.
func FormatID(id uint32) string { return fmt.Sprintf("s-%08x", id) }
