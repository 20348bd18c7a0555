// Package tinbeam decides which calls a signalling controller sets up, and over which route.
//
// This file holds the plain types that pass in and out of a Controller; every decision is in controller.go.
package tinbeam

import "time"

// Settings is what a controller is told when it starts. A zero value means the setting was absent;
// New documents what is done then.
type Settings struct {
	ReplicaIndex, Replicas int // own number among the controllers, and how many there are
	Zone                   int
	Classes                []Class
	ReportFields           []string // names of the values of a load report, in order
	ReportHow              string   // "inline", "on_probe" or "off"
	Discovery              string   // "pushed" or "on_request"
	SharedPools            bool     // agents' pools or central servers shared by all, in place of a network
	LocalExchange          int      // number of the own exchange; -1 with pools
	AllowedPools           [][]int  // pools by class; an empty list allows all
	TandemAdvice           bool     // calls carry a centre's advice
	ReleaseDelay           time.Duration
	ResendInterval         time.Duration // a set-up that waits is sent again after this; 0: never
	Probes                 bool
	PeerMessages           bool
	ParallelAttempts       bool
	MarksRedial            bool          // callers mark a redial
	MaxAttempts            int           // attempts for one call; 0: not told
	MaxRetryAfter          time.Duration // longest pause that a caller keeps; 0: pauses are not given
	Rules                  Rules
	ScoreWeights           ScoreWeights
	Penalties              Penalties
}

// Class is one class of call.
type Class struct {
	Name           string
	AnswerTarget   time.Duration // full worth if the call stands within this
	HardLimit      time.Duration
	Value          float64 // worth
	LateValueShare float64 // share of the worth past the aim
	Width          float64 // circuits on each group
	MeanHold       time.Duration
	RepeatPolicy   string // "free", "guarded" or "single_shot"
	RepeatScope    string // guarded: "all", "zone" or "cell"
	RepeatWindow   time.Duration
	Retired        bool // no longer in the settings: only calls taken before have it
}

// Rules holds the figures of the binding rules.
type Rules struct {
	AnswerSlack, DrainGrace           time.Duration
	WarmUp, OverloadWindow, AskWithin time.Duration
	WarmUpStart, OverloadMultiple     float64
}

// ScoreWeights holds the weights of the parts of the service figure.
type ScoreWeights struct{ Overall, WorstClass, WorstTenant, WorstWindow float64 }

// Penalties holds what is taken off the service figure.
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
	Switch               uint32
	Zone, ExchangeNumber int
	Mode                 Mode
	Weight               float64
	OnlineSince          time.Duration // clock time of the last start; 0: long ago
	NoTransit            bool          // the end of a way, as a gateway is: no call for another place goes through it
}

// ListKind tells what a Topology event holds.
type ListKind uint8

// The kinds of list.
const (
	ListDelta  ListKind = 0
	ListFull   ListKind = 1
	ListCached ListKind = 2
	ListFailed ListKind = 3
)

// Code tells how an attempt or a probe ended.
type Code uint16

// The endings.
const (
	OK            Code = 200
	Cancelled     Code = 499
	NotAttempted  Code = 410
	Failed        Code = 500
	ConnectFailed Code = 502
	Full          Code = 503
	TimedOut      Code = 504
	Reset         Code = 598
)

// The notes that come with an ending, in the lower four bits.
const (
	NoteNoCircuit      = 1
	NoteCrankback      = 2
	NoteProcessor      = 3
	NoteBusy           = 4
	NoteLinkLost       = 5  // the connection broke under it, which tells nothing of the exchange
	NoteOverloadBeyond = 16 // with NoteCrankback: the processor beyond the tandem was full
)

// The marks of an offered call.
const (
	FlagRedial   = 2
	FlagTransit  = 8
	FlagRepeated = 16
)

// Event is something that a controller is told: one of the types below.
type Event interface{ event() }

type (
	// Topology brings the list of exchanges or changes to it.
	Topology struct {
		Version uint64
		Kind    ListKind
		Entries []Entry
	}
	// Retune brings other settings. A class keeps its number as long as it stays as it is; one that is changed or dropped is
	// retired, and its number serves another only when no call has it.
	Retune struct{ Settings Settings }
	// Offer hands a call to the controller.
	Offer struct {
		Ref      uint32
		Class    int
		Number   uint64 // the number called; 0: none
		Width    float64
		TimeLeft time.Duration
		Dest     int
		Flags    uint8
		Via      int // advised tandem, or the exchange of origin of a call in transit; -1: none
	}
	// Outcome tells how an attempt ended.
	Outcome struct {
		Ref    uint32
		Try    int
		Final  bool // the call is concluded
		Note   uint32
		Took   time.Duration
		Switch uint32
		Code   Code
		Report []float32
	}
	// Flowing tells that a call stands.
	Flowing struct {
		Ref    uint32
		Try    int
		Switch uint32
		Took   time.Duration
	}
	// Sampled brings a load report.
	Sampled struct {
		Switch uint32
		Code   Code
		Took   time.Duration
		Report []float32
	}
	// Withdrawn tells that the caller has left.
	Withdrawn struct{ Ref uint32 }
	// TickDue tells that a timer is due.
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

// Action is something that a controller does: one of the types below.
type Action interface{ action() }

type (
	// Attempt sets a call up towards an exchange.
	Attempt struct {
		Ref     uint32
		Switch  uint32
		Timeout time.Duration // 0: until the caller gives up
	}
	// Decline refuses a call.
	Decline struct {
		Ref        uint32
		RetryAfter time.Duration
	}
	// GiveUp ends a call that failed.
	GiveUp struct{ Ref uint32 }
	// Withdraw calls an attempt off.
	Withdraw struct {
		Ref uint32
		Try int
	}
	// Schedule asks for a TickDue.
	Schedule struct {
		After  time.Duration
		Handle uint64
	}
	// AskLoad probes an exchange.
	AskLoad struct{ Switch uint32 }
	// Lookup asks once for the whole list.
	Lookup struct{}
	// StreamChanges asks for changes of the list from now on.
	StreamChanges struct{ Active bool }
	// Note leaves a line for the operators.
	Note struct{ Text string }
	// BailOut tells that the decisions have failed.
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
