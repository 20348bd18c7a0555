// Package tinbeam is the decision module of a call agent: it decides which calls are set up, when, and over which
// route.
//
// This file holds the plain types that pass into and out of a Controller; every decision is in controller.go.
package tinbeam

import "time"

// Settings configures a controller. A zero value means that the setting is absent; New documents what is done then.
type Settings struct {
	ReplicaIndex, Replicas int // replica index among the controllers, and how many there are
	Zone                   int
	Classes                []Class
	ReportFields           []string      // names of the values of a load report, in order
	ReportHow              string        // "inline", "on_probe" or "off"
	Discovery              string        // how the exchange list is obtained: "pushed" or "on_request"
	SharedPools            bool          // destinations are agents' pools or central servers shared by all, not exchanges
	LocalExchange          int           // exchange number of the local exchange; -1 with shared pools
	AllowedPools           [][]int       // pools by class; an empty list allows all
	TandemAdvice           bool          // calls carry a tandem that a control centre advises, see Offer.Via
	ReleaseDelay           time.Duration // least time from a failed attempt to the next one, so that the first is released
	ResendInterval         time.Duration // a set-up that waits is sent again after this; 0: never
	Probes                 bool          // load probes are permitted
	PeerMessages           bool          // messages between controllers are permitted
	ParallelAttempts       bool          // several attempts of one call at a time are permitted
	MarksRedial            bool          // callers flag a redial
	MaxAttempts            int           // attempts for one call; 0: not set
	MaxRetryAfter          time.Duration // longest Retry-After that callers honour; 0: none is sent
	Rules                  Rules
	ScoreWeights           ScoreWeights
	Penalties              Penalties
}

// Class is one class of call.
type Class struct {
	Name           string
	AnswerTarget   time.Duration // a call established within this time has its full value
	HardLimit      time.Duration // latest time to establish a call; the TimeLeft of a call that states none
	Value          float64       // of one call, for the service score
	LateValueShare float64       // share of the value that is left after the answer target
	Width          float64       // circuits taken on each group of the route
	MeanHold       time.Duration // mean holding time
	RepeatPolicy   string        // whether an attempt that may have taken effect is repeated: "free", "guarded" or "single_shot"
	RepeatScope    string        // guarded: "all", "zone" or "cell"
	RepeatWindow   time.Duration // guarded
	Retired        bool          // no longer in the settings: only calls taken before belong to it
}

// Rules holds the parameters of the binding rules.
type Rules struct {
	// AnswerSlack and DrainGrace are the tolerances of the rules on final answers and on draining exchanges.
	AnswerSlack, DrainGrace time.Duration
	// WarmUp is how long an exchange is cold after its start; OverloadWindow is the time over which its load counts.
	// AskWithin is not used by the decisions.
	WarmUp, OverloadWindow, AskWithin time.Duration
	// WarmUpStart is the share of the capacity that a cold exchange has at its start; it grows linearly during WarmUp.
	// OverloadMultiple is the load, as a multiple of the present capacity, at which a cold exchange breaks down.
	WarmUpStart, OverloadMultiple float64
}

// ScoreWeights holds the weights of the parts of the service score.
type ScoreWeights struct{ Overall, WorstClass, WorstTenant, WorstWindow float64 }

// Penalties holds what is subtracted from the service score.
type Penalties struct{ Probe, LateFailure, Waste, Tandem float64 }

// Mode is the state of an exchange in a list.
type Mode uint8

// The states of an exchange.
const (
	Gone     Mode = 0
	Ready    Mode = 1
	Draining Mode = 2
)

// Entry is one exchange in a list.
type Entry struct {
	Switch               uint32 // identifies the machine that serves the exchange number
	Zone, ExchangeNumber int
	Mode                 Mode
	Weight               float64       // relative size
	OnlineSince          time.Duration // clock time of the last start; 0: long ago
	NoTransit            bool          // cannot be a tandem: a gateway, which takes calls for its own exchange number only
}

// ListKind is the kind of the list in a Topology event.
type ListKind uint8

// The kinds of list.
const (
	ListDelta  ListKind = 0 // changes only
	ListFull   ListKind = 1 // the whole list
	ListCached ListKind = 2 // the whole list as it was known before the start
	ListFailed ListKind = 3 // the list could not be obtained
)

// Code is the result of an attempt or a load probe.
type Code uint16

// The results.
const (
	OK            Code = 200
	Cancelled     Code = 499
	NotAttempted  Code = 410 // the attempt ended before the exchange handled it
	Failed        Code = 500
	ConnectFailed Code = 502
	Full          Code = 503 // no capacity: see the note
	TimedOut      Code = 504
	Reset         Code = 598
)

// The notes that qualify a result: a number in the lower four bits, and bits above it.
const (
	NoteNoCircuit      = 1  // no free circuit on the direct group
	NoteCrankback      = 2  // a tandem returned the call, since it could not route it further
	NoteProcessor      = 3  // the processor is overloaded or, with NotAttempted, the local one is down
	NoteBusy           = 4  // the called line is busy
	NoteLinkLost       = 5  // the connection broke during the attempt, which says nothing of the exchange
	NoteOverloadBeyond = 16 // added to NoteCrankback: the processor beyond the tandem was full
)

// The flags of an offered call.
const (
	FlagRedial   = 2  // the caller redials after a failed call
	FlagTransit  = 8  // the call comes from another exchange, which uses this one as a tandem
	FlagRepeated = 16 // the call was offered before; not used by the decisions
)

// Event is something that is reported to a controller: one of the types below.
type Event interface{ event() }

type (
	// Topology brings the list of exchanges or changes to it.
	Topology struct {
		Version uint64
		Kind    ListKind
		Entries []Entry
	}
	// Retune brings changed settings. A class keeps its index as long as it is unchanged. A class that is changed or dropped
	// is retired, and another class gets its index only when no call belongs to the retired one.
	Retune struct{ Settings Settings }
	// Offer hands a call to the controller.
	Offer struct {
		Ref      uint32        // identifies the call in later events and actions
		Class    int           // index in Settings.Classes
		Number   uint64        // the called number; 0: none
		Width    float64       // circuits taken on each group of the route; 0: as the class says
		TimeLeft time.Duration // until the caller gives up
		Dest     int           // exchange number of the destination
		Flags    uint8
		Via      int // advised tandem, or the exchange of origin of a call in transit; -1: none
	}
	// Outcome reports how an attempt ended, or that an established call ended.
	Outcome struct {
		Ref    uint32
		Try    int  // index of the attempt, from 0
		Final  bool // the call is over and needs no final answer
		Note   uint32
		Took   time.Duration // from the start of the attempt to its end
		Switch uint32
		Code   Code
		Report []float32
	}
	// Flowing reports that a call is established.
	Flowing struct {
		Ref    uint32
		Try    int // index of the attempt, from 0
		Switch uint32
		Took   time.Duration // from the start of the attempt to the answer
	}
	// Sampled brings a load report.
	Sampled struct {
		Switch uint32
		Code   Code
		Took   time.Duration // of the load probe; 0: the report was not asked for
		Report []float32
	}
	// Withdrawn reports that the caller has cancelled the call.
	Withdrawn struct{ Ref uint32 }
	// TickDue reports that the timer of a Schedule action has expired.
	TickDue struct{ Handle uint64 }
	// Datagram brings a message from another controller.
	Datagram struct {
		Sender  int
		Payload []byte
	}
)

func (Topology) event()  {}
func (Retune) event()    {}
func (Offer) event()     {}
func (Outcome) event()   {}
func (Flowing) event()   {}
func (Sampled) event()   {}
func (Withdrawn) event() {}
func (TickDue) event()   {}
func (Datagram) event()  {}

// Action is something that a controller wants done: one of the types below.
type Action interface{ action() }

type (
	// Attempt sends the set-up of a call to an exchange.
	Attempt struct {
		Ref     uint32
		Switch  uint32
		Timeout time.Duration // 0: until the caller gives up
	}
	// Decline refuses a call.
	Decline struct {
		Ref        uint32
		RetryAfter time.Duration // how long the caller should wait before it calls again
	}
	// GiveUp ends a call that failed.
	GiveUp struct{ Ref uint32 }
	// Withdraw cancels an attempt.
	Withdraw struct {
		Ref uint32
		Try int
	}
	// Schedule starts a timer, which ends in a TickDue event.
	Schedule struct {
		After  time.Duration
		Handle uint64
	}
	// AskLoad sends a load probe to an exchange.
	AskLoad struct{ Switch uint32 }
	// Lookup asks once for the whole list of exchanges.
	Lookup struct{}
	// StreamChanges asks for changes of the list from now on.
	StreamChanges struct{ Active bool }
	// Note leaves a line for the operators.
	Note struct{ Text string }
	// BailOut reports that the controller itself has failed.
	BailOut struct{ Text string }
)

func (Attempt) action()       {}
func (Decline) action()       {}
func (GiveUp) action()        {}
func (Withdraw) action()      {}
func (Schedule) action()      {}
func (AskLoad) action()       {}
func (Lookup) action()        {}
func (StreamChanges) action() {}
func (Note) action()          {}
func (BailOut) action()       {}
