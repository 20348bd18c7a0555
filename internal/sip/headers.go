package sip

import "strings"

// This file collects the header fields of a message. A peer may send thousands of short ones in one message, so only those that the agent
// reads or repeats are kept, each name once: what is kept of a message is never much longer than the message.

// A header field that may come several times stands for one with all values, separated by commas (RFC 3261, section 7.3.1). Of any
// other one the first counts.
var keptHeaders = []keptHeader{
	{name: "Via", compact: "v", list: true},
	{name: "From", compact: "f"},
	{name: "To", compact: "t"},
	{name: "Call-ID", compact: "i"},
	{name: "CSeq"},
	{name: "Content-Length", compact: "l"},
	{name: "Reason", list: true},
	{name: "Retry-After"},
	{name: "P-Kind"},
	{name: "P-Time-Left"},
	{name: "P-Second-Try"},
	{name: "P-Path"},
}

// keptHeader is a header field that is kept.
type keptHeader struct {
	name, compact string
	list          bool
}

func (k *keptHeader) matches(name string) bool {
	return len(name) == len(k.name) && strings.EqualFold(name, k.name) || len(name) == 1 && strings.EqualFold(name, k.compact)
}

// headerCollector collects the header fields of one message.
type headerCollector struct {
	headers []Header
	values  [][]byte // of headers, as far as they have several parts; nil: the header has its value
	index   int      // of the header that a folded line continues; -1: it is not kept
}

// add adds a header field.
func (c *headerCollector) add(name, value string) {
	c.index = -1
	for _, kept := range keptHeaders {
		if !kept.matches(name) {
			continue
		}
		i := c.find(kept.name)
		switch {
		case i < 0:
			if len(name) == len(kept.name) {
				kept.name = name // as the peer writes it
			}
			c.headers, c.values = append(c.headers, Header{kept.name, value}), append(c.values, nil)
			c.index = len(c.headers) - 1
		case kept.list:
			c.extend(i, ", ", value)
			c.index = i
		}
		return
	}
}

// fold continues the last header field.
func (c *headerCollector) fold(value string) {
	if c.index >= 0 {
		c.extend(c.index, " ", value)
	}
}

func (c *headerCollector) find(name string) int {
	for i, h := range c.headers {
		if strings.EqualFold(h.Name, name) {
			return i
		}
	}
	return -1
}

// extend adds to the value of a header, which is put together at the end.
func (c *headerCollector) extend(i int, separator, value string) {
	if c.values[i] == nil {
		c.values[i] = []byte(c.headers[i].Value)
	}
	if value == "" {
		return
	}
	if len(c.values[i]) > 0 {
		c.values[i] = append(c.values[i], separator...)
	}
	c.values[i] = append(c.values[i], value...)
}

// result returns the headers.
func (c *headerCollector) result() []Header {
	for i, value := range c.values {
		if value != nil {
			c.headers[i].Value = string(value)
		}
	}
	return c.headers
}
