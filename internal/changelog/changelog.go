// Package changelog reads the change log of the list of far ends: its frames, and the same events as they
// stand in the configuration. It is pure: bytes in, events out.
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

// What a frame can be.
const (
	KeepAlive = 0
	FullList  = 1
	Delta     = 2
)

const (
	recordSize = 27
	frameHead  = 9       // number and kind, which the length counts
	maxFrame   = 1 << 20 // some 38,000 far ends; a longer claim is no frame
)

// ErrMalformed is a stream that cannot be followed: it has to be opened anew.
var ErrMalformed = errors.New("changelog: malformed frame")

// Event is one numbered event.
type Event struct {
	Seq     uint64
	Kind    int
	Entries []Entry
}

// Entry is one far end in an event.
type Entry struct {
	tinbeam.Entry
	Addr string // host:port
}

// ResumeRequest is what is written first: the number of the last event held.
func ResumeRequest(seq uint64) []byte { return binary.BigEndian.AppendUint64(nil, seq) }

// Parse reads the first frame of b and tells how many bytes it took; with none whole yet it returns nil, 0.
func Parse(b []byte) (*Event, int, error) {
	if len(b) < 4 {
		return nil, 0, nil
	}
	size := int(binary.BigEndian.Uint32(b))
	if size < frameHead || size > maxFrame {
		return nil, 0, ErrMalformed
	}
	if len(b) < 4+size {
		return nil, 0, nil
	}
	e := &Event{Seq: binary.BigEndian.Uint64(b[4:]), Kind: int(b[12])}
	p := b[4+frameHead : 4+size]
	if e.Kind > Delta || len(p)%recordSize != 0 || e.Kind == KeepAlive && len(p) > 0 {
		return nil, 0, ErrMalformed
	}
	for ; len(p) > 0; p = p[recordSize:] {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte(p[4:8])), binary.BigEndian.Uint16(p[8:]))
		if p[10] > 2 {
			return nil, 0, ErrMalformed
		}
		e.Entries = append(e.Entries, Entry{Addr: addr.String(), Entry: tinbeam.Entry{
			Switch: binary.BigEndian.Uint32(p), Zone: int(p[11]), ExchangeNumber: int(binary.BigEndian.Uint16(p[13:])),
			Mode:        [3]tinbeam.Mode{tinbeam.Ready, tinbeam.Draining, tinbeam.Gone}[p[10]],
			Weight:      float64(binary.BigEndian.Uint32(p[15:])) / 1000,
			OnlineSince: clock(int64(binary.BigEndian.Uint64(p[19:]))),
		}})
	}
	return e, 4 + size, nil
}

// clock is a Unix millisecond as the module's clock, which counts from the same moment.
func clock(ms int64) time.Duration {
	const most = int64(1) << 42 // some 139 years, inside a time.Duration
	return time.Duration(min(max(ms, 0), most)) * time.Millisecond
}

// ParseKnown reads the events of the configuration; zones are the names in the settings.
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
				return 0, nil, fmt.Errorf("known: event %d: %s: address %q", r.Seq, n.ID, n.Addr)
			}
			mode, ok := map[string]tinbeam.Mode{"active": tinbeam.Ready, "leaving": tinbeam.Draining,
				"left": tinbeam.Gone}[n.Lifecycle]
			if !ok {
				return 0, nil, fmt.Errorf("known: event %d: %s: state %q", r.Seq, n.ID, n.Lifecycle)
			}
			zone := 0
			for z, name := range zones {
				if name == n.Zone {
					zone = z
				}
			}
			e.Entries = append(e.Entries, Entry{Addr: n.Addr, Entry: tinbeam.Entry{Switch: id, Zone: zone,
				ExchangeNumber: n.Cell, Mode: mode, Weight: n.Weight, OnlineSince: clock(n.Started)}})
		}
		events = append(events, e)
	}
	return k.Seq, events, nil
}

// ParseID reads the written form of a far end's id.
func ParseID(s string) (uint32, error) {
	hex, ok := strings.CutPrefix(s, "s-")
	n, err := strconv.ParseUint(hex, 16, 32)
	if !ok || err != nil || len(hex) != 8 {
		return 0, fmt.Errorf("id %q is not s- and 8 hex digits", s)
	}
	return uint32(n), nil
}

// FormatID writes a far end's id.
func FormatID(id uint32) string { return fmt.Sprintf("s-%08x", id) }
