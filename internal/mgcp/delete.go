package mgcp

import "time"

// This file deletes connections at gateways, until the gateway has done it or cannot.

// deleteRetryInterval is the time from the refusal of a DLCX to the next one.
const deleteRetryInterval = 500 * time.Millisecond

// deleteCommand is a DLCX that is to be carried out.
type deleteCommand struct {
	gateway *gateway
	base    func() *Message         // returns the command without anything that is not needed to delete
	extend  func(*Message) *Message // adds a notification request; nil: there is none
	done    func(response *Message) // called once, with nil if the gateway has not carried it out in time; may be nil

	startedAt time.Duration
	refused   bool
}

// delete sends a DLCX until the gateway has carried it out. A transient error proves only that this command was not; the next one is
// without the notification request, which may be what the gateway refuses.
func (f *FrontEnd) delete(d *deleteCommand) {
	d.startedAt = f.core.Now()
	command := d.base()
	if d.extend != nil {
		command = d.extend(command)
	}
	f.sendDelete(d, command)
}

func (f *FrontEnd) sendDelete(d *deleteCommand, command *Message) {
	f.tx.request(d.gateway.addr, command, func(response *Message) {
		switch {
		case response == nil || !response.transientError():
			f.finishDelete(d, response)
		case f.core.Now()-d.startedAt >= maxTransactionTime:
			f.finishDelete(d, nil)
		default:
			d.refused = true
			f.core.Metrics.MGCPDeletesRefused.Inc()
			f.core.After(deleteRetryInterval, func() { f.sendDelete(d, d.base()) })
		}
	})
}

// deleteOf returns the source of commands that delete a connection of a call; connID is "" if it is not known.
func (l *line) deleteOf(callID, connID string) func() *Message {
	return func() *Message {
		m := (&Message{Verb: "DLCX", Endpoint: l.name}).AddParam("C", callID)
		if connID != "" {
			m.AddParam("I", connID)
		}
		return m
	}
}

// finishDelete ends a DLCX. A notification request that was left out of it follows alone.
func (f *FrontEnd) finishDelete(d *deleteCommand, response *Message) {
	if d.refused && d.extend != nil {
		f.tx.request(d.gateway.addr, d.extend(&Message{Verb: "RQNT", Endpoint: d.base().Endpoint}), nil)
	}
	if d.done != nil {
		d.done(response)
	}
}

// transientError reports whether a response says that a command was not carried out but may be later (RFC 3435, section 2.4).
func (m *Message) transientError() bool { return m.Code >= 400 && m.Code < 500 }
