// Every decision on calls is in this file; the types of settings, events, actions and outcomes are in
// interface.go.
//
// Normal operation uses two mechanisms: call gapping with Turner and Key's banked counter (type gap), and
// direct-first routing with a remembered tandem (admit, chooseTandem). Everything else handles a kind of
// failure or enforces a binding rule: each call gets one final answer within the caller's time, has one
// attempt at a time and is not sent again before the release delay is over; an exchange that drains or has
// left gets no set-ups, and one that has just started gets fewer than would overload it.

package tinbeam

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the gap and of the timers. The single letters are the names in Turner and Key's paper; T is
// the interval of a gap, which changes at most once per adjust interval.
const (
	gainPerInterval   = 1                      // m: grants added to the counter in each interval
	maxBank           = 40                     // N: most grants that the counter can bank
	maxLocal          = 4                      // most grants in one interval (the paper's local counter)
	maxAdjustInterval = 500 * time.Millisecond // upper bound of Controller.adjustInterval
	growFactor        = 1.12                   // change of T under overload: a tenth fewer set-ups
	shrinkFactor      = 0.75                   // change of T without overload
	tickInterval      = 20 * time.Millisecond  // how often held calls and timeouts are examined
	maxAveragingTime  = 10 * time.Second       // upper bound of averagingTime; default holding time

	// With more held calls than this they are not served at every event, but after a pause of so much
	// for each.
	maxHeldServedAtOnce = 500
	servePause          = time.Microsecond
)

// gap limits one stream of set-ups (call gapping) with a banked counter. An inactive gap grants everything.
type gap struct {
	active         bool
	interval       time.Duration // T in the paper
	intervalBefore time.Duration // time between set-ups before the gap became active
	minInterval    time.Duration // lower bound of interval while a processor warms up; 0: it is warm
	nextStart      time.Duration // start of the next interval
	bank, local    int           // grants banked; grants spent in this interval
	adjustedAt     time.Duration // last change of interval
	overloadedAt   time.Duration // last sign of overload
}

// advance brings the counter up to now.
func (g *gap) advance(now time.Duration) {
	if !g.active || now < g.nextStart {
		return
	}
	intervals, limit := int64((now-g.nextStart)/g.interval)+1, maxBank
	if g.minInterval > 0 {
		// Grants banked while few calls came would spend a cold processor's whole budget at once.
		limit = gainPerInterval
	}
	g.bank, g.local = min(g.bank+int(min(intervals*gainPerInterval, maxBank)), limit), 0
	g.nextStart += time.Duration(intervals) * g.interval
}

func (g *gap) allows(now time.Duration) bool {
	g.advance(now)
	return !g.active || g.bank > 0 && g.local < maxLocal
}

func (g *gap) spend() {
	if g.active {
		g.bank--
		g.local++
	}
}

// setInterval activates the gap, or changes the interval of an active one. A gap starts with one interval's
// gain in its counter and at a random phase, so that controllers that see the same overload do not send at
// the same moments.
func (g *gap) setInterval(now, interval time.Duration, rng *rand.Rand) {
	interval = max(interval, g.minInterval, time.Millisecond)
	if !g.active {
		g.active, g.bank, g.local = true, gainPerInterval, 0
		g.nextStart = now + time.Duration(rng.Float64()*float64(interval))
	} else if interval < g.interval {
		g.nextStart = now + time.Duration(float64(g.nextStart-now)*float64(interval)/float64(g.interval))
	}
	g.interval, g.adjustedAt = interval, now
}

// minAdjustInterval returns the least time between two changes of the interval: a stream of few calls gives
// no new information in less than its own interval.
func (g *gap) minAdjustInterval(adjustInterval time.Duration) time.Duration {
	if !g.active {
		return adjustInterval
	}
	return max(adjustInterval, g.interval)
}

// rate measures how often something happens, averaged with exponential decay.
type rate struct {
	sum                float64
	updatedAt, firstAt time.Duration // last update, first observation; 0: none
}

func (r *rate) add(now, averagingTime time.Duration, amount float64) {
	if r.firstAt == 0 {
		r.firstAt = now
	}
	r.sum, r.updatedAt = r.sum*math.Exp(-float64(now-r.updatedAt)/float64(averagingTime))+amount, now
}

// perSecond returns the rate, corrected for a history that is shorter than the averaging time.
func (r *rate) perSecond(now, averagingTime time.Duration) float64 {
	observedSeconds := averagingTime.Seconds() *
		(1 - math.Exp(-float64(now-r.firstAt+averagingTime/10)/float64(averagingTime)))
	return r.sum * math.Exp(-float64(now-r.updatedAt)/float64(averagingTime)) / observedSeconds
}

// node holds what is known about one far exchange or pool, about the local exchange, or about a whole zone.
type node struct {
	name                    string        // in notes to the operators
	number                  int           // exchange number; -1: a zone
	zone                    *node         // its zone; the local zone never counts as unresponsive
	switchID                uint32        // the machine that serves this exchange number
	ready, noTransit        bool          // noTransit: cannot be a tandem
	onlineSince             time.Duration // clock time of its last start; 0: long ago
	freeCircuits, groupSize float64       // of the direct group; groupSize 0: no group, -1: not reported
	gap                     gap
	setUpRate               rate          // set-ups sent to its processor
	answerSeconds           float64       // smoothed time from a direct set-up to its answer
	workSeconds             float64       // part of it that is work: the least seen, at most maxWait
	answeredAt, measuredAt  time.Duration // last answer of any kind; last update of answerSeconds
	failures                int           // failed set-ups since its last answer
	unresponsive            bool          // set-ups get no answer: only trial calls are sent
	pending                 []*call       // calls with an attempt pending there, oldest first
	reportedAt              time.Duration // last load report of its processor
	// From the report: the share of the set-ups to hold back, and the wait at its processor.
	reportedReduction, reportedWaitSeconds float64
	lastTandem                             int           // tandem last used for this destination; -1: none
	lastTandemUntil                        time.Duration // when lastTandem is forgotten
	// Tandems that returned a call for this destination (crankback), and until when they are not used for it.
	avoidTandemUntil map[int]time.Duration
	// Tandems that have a group to this destination: they were advised, or a call was established over them.
	reachableVia map[int]bool
	nextProbeAt  time.Duration
	// usedSinceProbe: a set-up was sent there since the last load probe.
	probePending, usedSinceProbe bool
	claimedInPass                int // the pass of serveHeld in which a wide call claimed the free circuits
}

// sample is the time from a set-up to its end: an answer of any kind, a refusal or a timeout.
type sample struct {
	exchange *node
	at       time.Duration
	seconds  float64
}

// call is one call that is established or pending (waiting for its final answer).
type call struct {
	Offer
	offeredAt, deadline time.Duration
	holdUntil           time.Duration // latest time to hold the call back
	notBefore           time.Duration // end of the release delay
	// The attempts sent so far, and how many are allowed.
	attempts, allowed int
	// mayHaveTakenEffect: an attempt failed in a way that leaves open whether the far end acted on it.
	attemptPending, established, direct, mayHaveTakenEffect bool

	erred        bool          // an exchange answered with an error other than busy
	nextHop      *node         // where the pending attempt went
	sentAt       time.Duration // when the last attempt was sent
	triedTandems map[int]bool
	priority     float64 // see serveHeld
}

// numberState holds what is known about a called number that was busy, or to which a call failed.
type numberState struct {
	gap         gap
	busyCount   int           // times found busy since a call to it was established
	busyAt      time.Duration // last found busy
	redialUntil time.Duration // a call to it before this time counts as a redial
}

// Controller takes the decisions for one exchange.
type Controller struct {
	settings       Settings
	rng            *rand.Rand
	now            time.Duration
	exchanges      []*node        // by exchange number; nil: never listed
	numberBySwitch map[uint32]int // exchange numbers by switch
	local          *node          // the local exchange's processor
	zones          map[int]*node
	calls          map[uint32]*call
	held           []*call
	numbers        map[uint64]*numberState

	establishedRate    rate    // direct calls established
	maxEstablishedRate float64 // the highest value of establishedRate, per second
	// Decaying counts of calls that are neither in transit nor redials: all, and those established in time.
	offeredByClass, servedByClass []float64
	tickScheduled                 bool
	pass                          int           // number of the pass of serveHeld
	servedAt                      time.Duration // time of the last pass
	recentSetUps                  []sample      // the last set-ups that ended
	localWaitSeconds              float64       // estimated wait at the local processor during a set-up
	tandemSuccess                 [3]float64    // smoothed share of successful set-ups, by tandemKind
	maxWait                       float64       // seconds: a longer wait at one processor means overload
	// How long the results of tandems count, as a multiple of adjustInterval or averagingTime.
	tandemMemory float64
	// The time between changes of a gap's interval, and the time constant of rates; see applySettings.
	adjustInterval, averagingTime time.Duration
	actions                       []Action
}

// New returns a controller that knows no exchange yet. Settings that are absent or out of range are replaced:
// without classes there is one, without an answer target (its calls are sent at once or refused); absent
// delays are zero, and without a warm-up time there is no warm-up; WarmUpStart outside (0, 1] becomes a
// tenth; MaxAttempts below 1 becomes 1. A call is repeated after an attempt that may have taken effect only
// if the repeat policy of its class is "free".
func New(s Settings, seed uint64) *Controller {
	if len(s.Classes) == 0 {
		s.Classes = []Class{{}}
	}
	c := &Controller{rng: rand.New(rand.NewPCG(seed, 0x5707e)), numberBySwitch: map[uint32]int{},
		local: &node{name: "own exchange", number: s.LocalExchange, lastTandem: -1,
			freeCircuits: math.Inf(1), reachableVia: map[int]bool{},
			avoidTandemUntil: map[int]time.Duration{}},
		zones: map[int]*node{}, calls: map[uint32]*call{}, numbers: map[uint64]*numberState{},
		tandemSuccess: [3]float64{1, 1, 1}, pass: 1}
	c.applySettings(s)
	c.local.workSeconds = c.maxWait
	return c
}

// applySettings applies settings, at the start and when they change. What was learnt about exchanges and
// numbers is kept.
func (c *Controller) applySettings(s Settings) {
	s.Classes = slices.Clone(s.Classes)
	s.MaxAttempts, s.Replicas = max(s.MaxAttempts, 1), max(s.Replicas, 2)
	if !(s.Rules.WarmUpStart > 0 && s.Rules.WarmUpStart <= 1) {
		s.Rules.WarmUpStart = 0.1
	}
	// The tightest answer target in seconds, and the longest holding time.
	answerTarget, averagingTime, oldClasses := math.Inf(1), time.Duration(0), c.settings.Classes
	for i := range s.Classes {
		class := &s.Classes[i]
		class.Width, class.Value = positiveOr(class.Width, 1), positiveOr(class.Value, 1)
		class.MeanHold = time.Duration(positiveOr(float64(class.MeanHold), float64(maxAveragingTime)))
		if class.AnswerTarget > 0 && !class.Retired {
			answerTarget = min(answerTarget, class.AnswerTarget.Seconds())
		}
		if !class.Retired {
			averagingTime = max(averagingTime, min(class.MeanHold, maxAveragingTime))
		}
		if i >= len(oldClasses) {
			c.offeredByClass, c.servedByClass = append(c.offeredByClass, 1), append(c.servedByClass, 1)
		} else if oldClasses[i].Name != class.Name { // another class has this index now
			c.offeredByClass[i], c.servedByClass[i] = 1, 1
		}
	}
	c.settings = s
	if math.IsInf(answerTarget, 1) {
		answerTarget = 1
	}
	// A set-up waits at two processors and its answer passes both again, so the wait at one of them is
	// limited to half of the tightest answer target; and to half of the resend interval, so that a set-up
	// that waits is not sent again.
	c.maxWait = answerTarget / 2
	if s.ResendInterval > 0 {
		c.maxWait = min(c.maxWait, s.ResendInterval.Seconds()/2)
	}
	c.tandemMemory = min(max(2*float64(s.Replicas-2), 1), 8)
	// Where answer targets are a fraction of a second and calls last about one second, a T that changes each
	// half second would start gapping when the overload has passed and keep on long after it. So the interval
	// between changes of T follows the answer target, and the averaging time of rates follows the holding
	// time of calls, up to maxAdjustInterval and maxAveragingTime.
	c.adjustInterval, c.averagingTime =
		min(maxAdjustInterval, time.Duration(answerTarget*float64(time.Second)/2.4)), averagingTime
	for _, call := range c.calls {
		call.allowed = min(call.allowed, s.MaxAttempts) // open calls keep the smaller of both limits
	}
}

// positiveOr returns the value, or the fallback for a value that is not positive and finite.
func positiveOr(value, fallback float64) float64 {
	if value > 0 && !math.IsInf(value, 1) {
		return value
	}
	return fallback
}

// Handle processes one event and appends the actions that follow from it.
func (c *Controller) Handle(now time.Duration, event Event, out []Action) []Action {
	c.now, c.actions = now, out
	switch e := event.(type) {
	case Topology:
		c.handleTopology(e)
	case Offer:
		c.handleOffer(e)
	case Flowing:
		c.handleFlowing(e)
	case Outcome:
		c.handleOutcome(e)
	case Retune:
		c.applySettings(e.Settings)
	case Sampled:
		if exchange := c.exchangeBySwitch(e.Switch); exchange != nil {
			if e.Took > 0 || e.Code != OK {
				exchange.probePending = false
			}
			if e.Code == OK {
				c.handleReport(exchange, e.Report)
			}
		}
	case Withdrawn:
		c.forget(c.calls[e.Ref])
	case TickDue:
		if e.Handle == 2 { // repeats the list request, see handleTopology
			c.addAction(StreamChanges{Active: true})
		} else {
			c.tick()
		}
	}
	if _, tick := event.(TickDue); tick || c.mayServeHeld() {
		c.serveHeld()
	}
	if !c.tickScheduled {
		c.tickScheduled = true
		c.addAction(Schedule{After: tickInterval, Handle: 1})
	}
	out, c.actions = c.actions, nil
	return out
}

// TakeActions returns the actions decided so far and forgets them. After a panic in Handle they have not been
// returned.
func (c *Controller) TakeActions() []Action {
	taken := c.actions
	c.actions = nil
	return taken
}

func (c *Controller) addAction(action Action) { c.actions = append(c.actions, action) }

// note leaves a line for the operators.
func (c *Controller) note(format string, args ...any) {
	c.addAction(Note{Text: fmt.Sprintf(format, args...)})
}

// exchangeByNumber returns the exchange with this number, or nil.
func (c *Controller) exchangeByNumber(number int) *node {
	if number < 0 || number >= len(c.exchanges) {
		return nil
	}
	return c.exchanges[number]
}

func (c *Controller) exchangeBySwitch(switchID uint32) *node {
	if number, ok := c.numberBySwitch[switchID]; ok && c.exchanges[number].switchID == switchID {
		return c.exchanges[number]
	}
	return nil
}

// handleTopology applies a list of exchanges or changes to it. An exchange number is served by its ready
// machine that started last. A machine that drains or has left gets no set-ups from now on: the grace time
// that the rule on drains allows is not used.
func (c *Controller) handleTopology(t Topology) {
	if onRequest := c.settings.Discovery == "on_request"; onRequest && t.Kind == ListFailed {
		c.addAction(Schedule{After: time.Second + time.Duration(c.rng.Int64N(int64(time.Second))), Handle: 2})
	} else if onRequest && t.Kind == ListCached {
		c.addAction(StreamChanges{Active: true})
	}
	if t.Kind == ListFailed {
		return
	}
	listed := map[uint32]bool{}
	for _, entry := range t.Entries {
		if entry.ExchangeNumber < 0 {
			continue
		}
		c.exchanges = append(c.exchanges,
			make([]*node, max(entry.ExchangeNumber+1-len(c.exchanges), 0))...)
		exchange := c.exchanges[entry.ExchangeNumber]
		if exchange == nil {
			exchange = &node{name: fmt.Sprint("exchange ", entry.ExchangeNumber),
				number: entry.ExchangeNumber, groupSize: -1, lastTandem: -1, workSeconds: c.maxWait,
				avoidTandemUntil: map[int]time.Duration{}, reachableVia: map[int]bool{}}
			if entry.ExchangeNumber == c.settings.LocalExchange {
				exchange = c.local
			}
			if c.zones[entry.Zone] == nil {
				c.zones[entry.Zone] = &node{name: fmt.Sprint("district ", entry.Zone), number: -1}
			}
			c.exchanges[entry.ExchangeNumber], exchange.zone = exchange, c.zones[entry.Zone]
		}
		c.numberBySwitch[entry.Switch] = entry.ExchangeNumber
		listed[entry.Switch] = true
		switch {
		case entry.Mode != Ready:
			if exchange.switchID == entry.Switch {
				exchange.ready = false
			}
		case exchange.switchID == entry.Switch && exchange.ready && entry.OnlineSince == exchange.onlineSince:
		case exchange.switchID != entry.Switch && exchange.ready && entry.OnlineSince < exchange.onlineSince:
		default:
			if exchange.switchID != entry.Switch { // what was learnt about the last one does not hold
				delete(c.numberBySwitch, exchange.switchID)
				exchange.switchID, exchange.pending, exchange.gap, exchange.failures, exchange.answerSeconds,
					exchange.measuredAt = entry.Switch, nil, gap{}, 0, 0, 0
			}
			oldStart := exchange.onlineSince
			exchange.ready, exchange.onlineSince, exchange.unresponsive, exchange.workSeconds,
				exchange.noTransit = true, entry.OnlineSince, false, c.maxWait, entry.NoTransit
			if exchange.onlineSince != oldStart && exchange.onlineSince > 0 &&
				c.now-exchange.onlineSince < c.settings.Rules.WarmUp {
				c.updateWarmUp(exchange)
			}
		}
		if entry.Mode == Gone && exchange.switchID != entry.Switch {
			delete(c.numberBySwitch, entry.Switch)
		}
	}
	if t.Kind != ListDelta {
		for _, exchange := range c.exchanges {
			if exchange != nil && !listed[exchange.switchID] {
				exchange.ready = false
			}
		}
	}
}

// updateWarmUp limits the set-ups to a processor that started a short time ago. Without the limit, all
// controllers together overload it, and it stays down. Its capacity is not reported, but a warm exchange
// carries at least the calls that are established there now. A controller takes its own highest rate of
// established direct calls, at least one a second, as the estimate, since an exchange receives about as many
// calls as it sends. All other controllers together may send the started exchange that rate times the present
// share of its capacity times the square root of the overload multiple, so each divides this by their number.
// The exchange limits its own set-ups to the same sum. So the total stays below the overload for any number
// of controllers.
func (c *Controller) updateWarmUp(exchange *node) {
	age := c.now - exchange.onlineSince
	if age >= c.settings.Rules.WarmUp {
		if exchange.gap.minInterval > 0 {
			exchange.gap.minInterval = 0
			c.note("%s: warm-up ends", exchange.name)
		}
		return
	}
	capacityShare := c.settings.Rules.WarmUpStart +
		(1-c.settings.Rules.WarmUpStart)*max(age.Seconds(), 0)/c.settings.Rules.WarmUp.Seconds()
	perSecond := max(c.maxEstablishedRate, 1) * math.Sqrt(max(c.settings.Rules.OverloadMultiple, 1))
	if exchange != c.local {
		perSecond /= float64(c.settings.Replicas - 1)
	}
	begins := exchange.gap.minInterval == 0
	exchange.gap.minInterval = time.Duration(float64(time.Second) / (perSecond * capacityShare))
	if begins || exchange.gap.interval < exchange.gap.minInterval ||
		c.now-exchange.gap.overloadedAt >= c.adjustInterval && !exchange.unresponsive {
		exchange.gap.setInterval(c.now, exchange.gap.minInterval, c.rng)
	}
	if begins {
		exchange.gap.bank = 0
		c.note("%s: warm-up begins", exchange.name)
	}
}

// handleOffer handles a new call: it is refused, sent or held.
func (c *Controller) handleOffer(offer Offer) {
	offer.Class = min(max(offer.Class, 0), len(c.settings.Classes)-1)
	offer.Width = positiveOr(offer.Width, c.settings.Classes[offer.Class].Width)
	if offer.Flags&FlagTransit == 0 && !c.settings.MarksRedial && offer.Number != 0 {
		// These callers do not flag redials. A call to a number to which one has just failed counts as one.
		if number := c.numbers[offer.Number]; number != nil && c.now < number.redialUntil {
			offer.Flags |= FlagRedial
		}
	}
	call := &call{Offer: offer, offeredAt: c.now, deadline: c.now + max(offer.TimeLeft, 0),
		allowed: c.settings.MaxAttempts, triedTandems: map[int]bool{}}
	c.calls[offer.Ref] = call
	dest := c.exchangeByNumber(offer.Dest)
	if offer.Flags&FlagTransit == 0 && dest != nil && c.exchangeByNumber(offer.Via) != nil {
		dest.reachableVia[offer.Via] = true
	}
	if offer.Flags&(FlagTransit|FlagRedial) == 0 {
		c.offeredByClass[offer.Class] = c.offeredByClass[offer.Class]*0.998 + 1
		c.servedByClass[offer.Class] *= 0.998
	}
	call.holdUntil = min(call.deadline-2*tickInterval, c.now+c.settings.Classes[offer.Class].AnswerTarget)
	if dest != nil {
		// A call held to the end of its answer target would be established too late for its full value.
		margin := min(dest.answerSeconds, c.settings.Classes[offer.Class].AnswerTarget.Seconds()/2)
		call.holdUntil = max(call.holdUntil-time.Duration(margin*float64(time.Second)), c.now)
	}
	if dest == nil || !dest.ready || dest == c.local && offer.Flags&FlagTransit != 0 ||
		!c.stateOfNumber(offer.Number).gap.allows(c.now) {
		c.finish(call) // refused at once; a call to a number that is often busy is not held
		return
	}
	if offer.Flags&(FlagTransit|FlagRedial) != 0 {
		// These are sent at once or refused at once. A held call in transit would keep circuits of the group
		// that it came over; a redial is past its answer target, and would take capacity from calls in time.
		// A redial is therefore also refused while the gap of its destination is active.
		if dest.gap.active && offer.Flags&FlagTransit == 0 || !c.admit(call) {
			c.finish(call)
		}
		return
	}
	c.held = append(c.held, call)
}

// finish gives the final answer to a call that failed or is refused. It has no attempt pending.
func (c *Controller) finish(call *call) {
	if c.mustNotRepeat(call) {
		c.addAction(GiveUp{Ref: call.Ref})
	} else {
		// Callers that are refused at the same time would redial at the same time, so RetryAfter is random.
		c.addAction(Decline{Ref: call.Ref,
			RetryAfter: time.Duration((0.5 + c.rng.Float64()/2) * float64(c.settings.MaxRetryAfter))})
	}
	c.forget(call)
}

// mustNotRepeat reports whether the call may have taken effect and must neither be sent again nor refused.
func (c *Controller) mustNotRepeat(call *call) bool {
	return call.mayHaveTakenEffect && c.class(call).RepeatPolicy != "free"
}

func (c *Controller) class(call *call) *Class { return &c.settings.Classes[call.Class] }

// forget deletes the state of a call. Where callers do not flag redials, the number of a call that was not
// established is kept, so that a redial is recognised.
func (c *Controller) forget(call *call) {
	if call == nil {
		return
	}
	if !call.established && !c.settings.MarksRedial && call.Flags&FlagTransit == 0 {
		number := c.stateOfNumber(call.Number)
		c.numbers[call.Number], number.redialUntil = number, call.offeredAt+c.class(call).HardLimit
	}
	c.clearAttempt(call)
	delete(c.calls, call.Ref)
	if i := slices.Index(c.held, call); i >= 0 {
		c.held = slices.Delete(c.held, i, i+1)
	}
}

// clearAttempt removes the call's attempt from the pending ones of its next hop.
func (c *Controller) clearAttempt(call *call) {
	if call.nextHop != nil {
		if i := slices.Index(call.nextHop.pending, call); i >= 0 {
			call.nextHop.pending = slices.Delete(call.nextHop.pending, i, i+1)
		}
		call.nextHop = nil
	}
}

// mayServeHeld reports whether held calls may be served at any event. A pass goes through all of them, so in
// a crowd, which brings more events too, there is a pause between passes that grows with their number:
// otherwise the passes would take all the time, and every answer would be late.
func (c *Controller) mayServeHeld() bool {
	n := len(c.held)
	return n <= maxHeldServedAtOnce || c.now-c.servedAt >= time.Duration(n)*servePause
}

// serveHeld sends held calls in the order of their priority and ends those that cannot succeed any more. The
// priority is the value of a call for the service score, which is higher for the class that is served worst.
// Where circuits of the direct group are scarce, it is the value per circuit and second of holding time.
func (c *Controller) serveHeld() {
	worstClass, offered, offeredValue := -1, 0.0, 0.0
	for i := range c.offeredByClass {
		if c.settings.Classes[i].Retired {
			continue
		}
		offered += c.offeredByClass[i]
		offeredValue += c.offeredByClass[i] * c.settings.Classes[i].Value
		if worstClass < 0 || c.servedByClass[i]*c.offeredByClass[worstClass] <
			c.servedByClass[worstClass]*c.offeredByClass[i] {
			worstClass = i
		}
	}
	c.pass++
	c.servedAt = c.now
	worstClassWeight := min(max(c.settings.ScoreWeights.WorstClass, 0), 1)
	for _, call := range c.held {
		class := c.class(call)
		value := (1 - worstClassWeight) * class.Value * offered / offeredValue
		if call.Class == worstClass {
			value += worstClassWeight * offered / c.offeredByClass[worstClass]
		}
		call.priority = value / c.averagingTime.Seconds()
		if dest := c.exchangeByNumber(call.Dest); dest.freeCircuits < c.reserved(dest)+call.Width {
			call.priority = value / (call.Width * class.MeanHold.Seconds())
		}
	}
	slices.SortStableFunc(c.held, func(a, b *call) int { return cmp.Compare(b.priority, a.priority) })
	c.admitHeld()
	for _, call := range slices.Clone(c.held) {
		if c.hopeless(call) {
			c.finish(call)
		}
	}
}

// admitHeld sends the held calls that may be sent, and goes on holding the others. If the decision on a call
// panics, that call is not held any longer, and its deadline ends it; all others are kept.
func (c *Controller) admitHeld() {
	calls, kept, decided := c.held, make([]*call, 0, len(c.held)), 0
	defer func() { c.held = append(kept, calls[decided:]...) }()
	for decided < len(calls) {
		call := calls[decided]
		decided++
		if !c.admit(call) {
			kept = append(kept, call)
		}
	}
}

// hopeless reports whether no circuit and no grant of a gap can come in time for a held call. Its caller is
// refused and may call again.
func (c *Controller) hopeless(call *call) bool {
	dest := c.exchangeByNumber(call.Dest)
	return c.now >= call.holdUntil || !dest.ready || c.mustNotRepeat(call) || !dest.zone.gap.allows(c.now) ||
		dest.groupSize == 0 && max(c.tandemAttemptsLeft(call, 0), c.tandemAttemptsLeft(call, 1),
			c.tandemAttemptsLeft(call, 2)) <= 0
}

// tandemAttemptsLeft returns how many attempts over tandems of a kind a call has left. Where most of these
// tandems return the call, each attempt takes the work of three processors from calls that go direct. So the
// number falls with the square of the share that succeeds: where two in five succeed, one attempt of four is
// left.
func (c *Controller) tandemAttemptsLeft(call *call, kind int) float64 {
	return c.tandemSuccess[kind]*c.tandemSuccess[kind]*float64(call.allowed) - 0.5 -
		float64(len(call.triedTandems))
}

// reserved is the trunk reservation: how many circuits of a group are kept for direct calls. It is half of
// one standard deviation of a busy group's use, rounded, since a call over a tandem takes circuits of two
// groups when it is established.
func (c *Controller) reserved(n *node) float64 { return math.Round(math.Sqrt(max(n.groupSize, 0)) / 2) }

// admit is the only way in which set-ups are sent. It sends the call unless a rule, a gap or a lack of
// circuits forbids that now, and reports whether it did.
func (c *Controller) admit(call *call) bool {
	dest := c.exchangeByNumber(call.Dest)
	switch {
	case dest == nil || !dest.ready || call.attemptPending || call.established:
		return false
	case c.now < call.notBefore || c.now >= call.deadline || call.attempts >= call.allowed:
		return false // the release delay is not over, or it is too late, or no attempt is left
	case c.mustNotRepeat(call), !c.local.gap.allows(c.now), !c.stateOfNumber(call.Number).gap.allows(c.now):
		return false
	}
	transit := call.Flags&FlagTransit != 0
	circuits := call.Width
	if transit {
		circuits += c.reserved(dest)
	}
	if call.isLast() {
		if tandem := c.chooseTandem(call, dest); tandem != nil {
			c.send(call, dest, tandem)
			return true
		}
	}
	if dest != c.local && (dest.freeCircuits >= circuits || dest.groupSize < 0) {
		// An unresponsive zone has trial calls of its own, which may go to any exchange that is not cold.
		if dest.claimedInPass == c.pass || !dest.zone.gap.allows(c.now) ||
			(!dest.zone.unresponsive || dest.gap.minInterval > 0) && !dest.gap.allows(c.now) {
			return false
		}
		c.send(call, dest, dest)
		return true
	}
	if transit {
		return false
	}
	if tandem := c.chooseTandem(call, dest); tandem != nil {
		c.send(call, dest, tandem)
		return true
	}
	if dest.freeCircuits > 0 && dest.gap.allows(c.now) {
		dest.claimedInPass = c.pass // narrower calls of lower priority must not take the free circuits
	}
	return false
}

// isLast reports whether a call was answered with errors and has one attempt left. An exchange that answers
// most set-ups with errors uses up all attempts of a call within a tenth of a second. So the last attempt
// goes over a tandem, which makes attempts of its own; tandems that returned other calls are not excluded.
// Trade-off: such a call takes circuits of two groups.
func (k *call) isLast() bool { return k.erred && k.attempts == k.allowed-1 && k.Flags&FlagTransit == 0 }

// chooseTandem returns a tandem for a call whose direct group is full, or nil: the remembered tandem while it
// works, else the advised one, else one that is known to reach the destination, else any. Known ones come
// first since where many pairs of exchanges have no group, most other tandems have none to the destination
// either. The gaps of the destination and of the tandem must both grant it; an exchange that is overloaded,
// unresponsive or warming up is not used as a tandem.
func (c *Controller) chooseTandem(call *call, dest *node) *node {
	if dest.zone.unresponsive || !dest.gap.allows(c.now) || c.stateOfNumber(call.Number).gap.active ||
		// A circuit of the direct group may become free.
		dest.groupSize != 0 && (c.local.gap.active ||
			!call.isLast() && c.now < call.offeredAt+c.class(call).AnswerTarget/2) {
		return nil
	}
	// One tandem of each kind is drawn, each candidate with the same probability.
	var drawn [3]*node
	var candidates [3]int
	for number, tandem := range c.exchanges {
		kind := tandemKind(call, dest, number)
		if c.tandemAttemptsLeft(call, kind) <= 0 ||
			c.localWaitSeconds > c.waitLimit(c.local.workSeconds)*c.tandemSuccess[kind] ||
			tandem == nil || tandem == dest || tandem == c.local || !tandem.ready || tandem.noTransit ||
			tandem.unresponsive || tandem.zone.unresponsive || tandem.gap.active ||
			call.triedTandems[number] || !call.isLast() && c.now < dest.avoidTandemUntil[number] ||
			tandem.freeCircuits < call.Width+c.reserved(tandem) || !c.poolAllowed(call, number) {
			continue
		}
		if number == dest.lastTandem && c.now < dest.lastTandemUntil {
			return tandem
		}
		if candidates[kind]++; c.rng.IntN(candidates[kind]) == 0 {
			drawn[kind] = tandem
		}
	}
	return cmp.Or(drawn[2], drawn[1], drawn[0])
}

// tandemKind returns 2 for a tandem that was advised for this call, 1 for one that is known to reach the
// destination, and 0 for any other.
func tandemKind(call *call, dest *node, number int) int {
	switch {
	case number == call.Via:
		return 2
	case dest != nil && dest.reachableVia[number]:
		return 1
	}
	return 0
}

func (c *Controller) poolAllowed(call *call, number int) bool {
	return !c.settings.SharedPools || call.Class >= len(c.settings.AllowedPools) ||
		len(c.settings.AllowedPools[call.Class]) == 0 ||
		slices.Contains(c.settings.AllowedPools[call.Class], number)
}

// send starts an attempt towards nextHop, which is the destination or a tandem, and takes a grant from every
// gap whose stream the set-up loads.
func (c *Controller) send(call *call, dest, nextHop *node) {
	call.attemptPending, call.nextHop, call.direct, call.sentAt = true, nextHop, nextHop == dest, c.now
	call.attempts++
	nextHop.pending = append(nextHop.pending, call)
	nextHop.freeCircuits -= call.Width
	nextHop.setUpRate.add(c.now, c.averagingTime, 1)
	nextHop.gap.spend()
	nextHop.zone.gap.spend()
	nextHop.usedSinceProbe, dest.usedSinceProbe = true, true
	c.local.setUpRate.add(c.now, c.averagingTime, 1)
	c.local.gap.spend()
	c.stateOfNumber(call.Number).gap.spend()
	if nextHop != dest {
		if dest != c.local {
			dest.gap.spend()
			dest.setUpRate.add(c.now, c.averagingTime, 1)
		}
		dest.lastTandem, dest.lastTandemUntil = nextHop.number, c.now+4*c.adjustInterval
		call.triedTandems[nextHop.number] = true
	}
	// An overloaded processor also works through set-ups whose time has passed. One that is withdrawn at its
	// answer target leaves the processor's queue, or at least is not sent again, and the call may take
	// another route.
	timeout := call.offeredAt + c.class(call).AnswerTarget - c.now
	if timeout <= 0 {
		timeout = c.class(call).AnswerTarget
	}
	c.addAction(Attempt{Ref: call.Ref, Switch: nextHop.switchID, Timeout: timeout})
}

// handleFlowing handles the report that a call is established.
func (c *Controller) handleFlowing(event Flowing) {
	call := c.calls[event.Ref]
	if call == nil || call.nextHop == nil {
		return // unknown, or reported twice
	}
	call.established = true
	c.markAnswered(c.local)
	c.markAnswered(call.nextHop)
	c.recordSetUp(call.nextHop, event.Took)
	if call.direct {
		exchange, seconds := call.nextHop, event.Took.Seconds()
		if c.now-exchange.measuredAt > 2*c.adjustInterval {
			exchange.answerSeconds = seconds
		}
		exchange.answerSeconds += (seconds - exchange.answerSeconds) / 4
		exchange.measuredAt, exchange.workSeconds = c.now, min(exchange.workSeconds, exchange.answerSeconds)
		c.establishedRate.add(c.now, c.averagingTime, 1)
		c.maxEstablishedRate = max(c.maxEstablishedRate, c.establishedRate.perSecond(c.now, c.averagingTime))
	} else {
		dest := c.exchangeByNumber(call.Dest)
		kind := tandemKind(call, dest, call.nextHop.number)
		c.tandemSuccess[kind] += (1 - c.tandemSuccess[kind]) / 16
		dest.reachableVia[call.nextHop.number] = true
	}
	if call.Flags&(FlagTransit|FlagRedial) == 0 && c.now-call.offeredAt <= c.class(call).AnswerTarget {
		c.servedByClass[call.Class]++
	}
	c.clearAttempt(call)
	number := c.stateOfNumber(call.Number)
	number.gap.interval, number.busyCount =
		max(time.Duration(float64(number.gap.interval)*shrinkFactor), c.adjustInterval), 0
}

// recordSetUp notes how long a set-up took that was answered, refused or timed out, and updates the wait at
// the local processor. All set-ups pass the local processor, so the time spent there is at most the shortest
// of the last few, if these went to two exchanges at least. Refusals and timeouts count too: when the local
// processor is overloaded few set-ups are answered, and a wait measured from answers alone would be zero when
// it is longest. The local gap would then be lifted, and the called exchanges would be taken for overloaded
// or unresponsive. Trade-off: if the last few set-ups were all delayed elsewhere, the delay is taken for the
// local processor's.
func (c *Controller) recordSetUp(exchange *node, took time.Duration) {
	c.recentSetUps = append(c.recentSetUps, sample{exchange, c.now, took.Seconds()})
	c.updateLocalWait()
}

// updateLocalWait drops old samples and estimates the wait at the local processor from the others.
func (c *Controller) updateLocalWait() {
	maxAge := max(2*c.adjustInterval, maxLocal*c.setUpInterval(c.local))
	c.recentSetUps = slices.DeleteFunc(c.recentSetUps, func(s sample) bool { return c.now-s.at >= maxAge })
	shortest, twoExchanges := math.Inf(1), false
	for _, s := range c.recentSetUps {
		shortest, twoExchanges = min(shortest, s.seconds),
			twoExchanges || s.exchange != c.recentSetUps[0].exchange
	}
	c.localWaitSeconds = 0
	if twoExchanges {
		c.local.workSeconds = min(c.local.workSeconds, shortest)
		c.localWaitSeconds = shortest - c.local.workSeconds
	}
}

// waitLimit returns the wait in seconds that means overload where part of the time to an answer is work:
// maxWait less that work, but at least half of maxWait. At a small exchange's slow processor the work alone
// takes longer than maxWait, and its streams would be gapped permanently. Trade-off: a processor that is
// slowed down for a long time is measured against the speed that it had before.
func (c *Controller) waitLimit(work float64) float64 { return max(c.maxWait-max(work, 0), c.maxWait/2) }

// slow reports whether a set-up waited long at the far exchange: without the work there and without the wait
// at the local processor.
func (c *Controller) slow(exchange *node, seconds float64) bool {
	return seconds-c.localWaitSeconds-exchange.workSeconds >
		c.waitLimit(exchange.workSeconds-c.local.workSeconds)
}

// UnresponsiveCount returns how many listed exchanges get only trial calls, since they do not answer.
func (c *Controller) UnresponsiveCount() int {
	count := 0
	for _, exchange := range c.exchanges {
		if exchange != nil && exchange != c.local && exchange.ready &&
			(exchange.unresponsive || exchange.zone.unresponsive) {
			count++
		}
	}
	return count
}

// markAnswered notes that an exchange has answered, and with it its zone. If the zone was unresponsive, all
// its exchanges count as responsive again.
func (c *Controller) markAnswered(exchange *node) {
	exchange.answeredAt, exchange.failures = c.now, 0
	if exchange.unresponsive {
		exchange.unresponsive = false
		c.note("%s: recovered, answers again", exchange.name)
		exchange.gap.bank = gainPerInterval
		exchange.gap.setInterval(c.now, max(exchange.gap.intervalBefore, c.adjustInterval), c.rng)
	}
	if zone := exchange.zone; zone != nil {
		zoneRecovers := zone.unresponsive
		c.markAnswered(zone)
		for _, other := range c.exchanges {
			if zoneRecovers && other != nil && other.zone == zone && other.unresponsive {
				c.markAnswered(other)
			}
		}
		zone.gap.active = false
	}
}

// handleOutcome handles the end of an attempt or of an established call.
func (c *Controller) handleOutcome(event Outcome) {
	exchange := c.exchangeBySwitch(event.Switch)
	if exchange != nil {
		c.handleReport(exchange, event.Report)
	}
	call := c.calls[event.Ref]
	if call == nil {
		return
	}
	note := event.Note & 15
	direct, sentAt, took := call.direct, call.sentAt, c.now-call.sentAt
	if exchange != nil && !call.established &&
		(event.Code == Full || note == NoteBusy ||
			event.Code == TimedOut && took.Seconds() > c.maxWait) {
		c.recordSetUp(exchange, took)
	}
	c.clearAttempt(call)
	call.attemptPending = false
	switch event.Code {
	case Full:
		if exchange != nil {
			c.markAnswered(exchange)
			if note == NoteProcessor {
				c.markOverloaded(exchange, true)
				c.countLocalFailure()
			} else if dest := c.exchangeByNumber(call.Dest); note == NoteCrankback && dest != nil &&
				dest != c.local {
				dest.avoidTandemUntil[exchange.number] =
					c.now + time.Duration(c.tandemMemory*float64(c.adjustInterval))
				c.tandemSuccess[tandemKind(call, dest, exchange.number)] *= 15. / 16
				if dest.lastTandem == exchange.number {
					dest.lastTandem = -1
				}
				if event.Note&NoteOverloadBeyond != 0 {
					c.markOverloaded(dest, true)
				}
			}
		}
	case Failed, TimedOut, Reset, Cancelled, ConnectFailed:
		call.mayHaveTakenEffect = call.mayHaveTakenEffect || event.Code != ConnectFailed
		if event.Code != Failed && event.Code != ConnectFailed {
			call.notBefore = c.now + c.settings.ReleaseDelay
		}
		switch {
		case note == NoteBusy && event.Code == Failed:
			if exchange != nil {
				c.markAnswered(exchange)
			}
			if call.Number != 0 {
				c.markBusy(call.Number)
			}
			call.holdUntil = c.now // the called line stays busy: no other route helps
		case note == NoteLinkLost: // says nothing of the exchange; the next set-up uses another connection
		case event.Code == Failed:
			// An error is an answer, and some calls get errors at every exchange. If errors counted as
			// missing answers, a few such calls would block a healthy exchange, and after its recovery its
			// gap would still be active.
			call.erred = true
			if exchange != nil {
				c.markAnswered(exchange)
			}
		case exchange != nil && event.Code != Cancelled && !call.established && exchange.answeredAt < sentAt:
			// A crashed processor resets every set-up at once, and a call that is sent again and again uses
			// up its attempts there. One failure may be chance or a lost answer and must not block the
			// stream; a second without an answer in between does. A timeout before the answer target is due
			// to a caller with little time left and never counts as a missing answer.
			late, zone := took >= c.class(call).AnswerTarget, exchange.zone
			// A late timeout may also come from an overloaded local processor.
			sure := event.Code != TimedOut || late && c.localWaitSeconds <= c.maxWait
			if late {
				c.countLocalFailure()
			}
			// In a zone that is cut off, each of many streams with few calls would need two failures of its
			// own, and its trial calls would be as many as its calls. So the exchanges of a zone share the
			// failures, the trial calls and the recovery. This covers a failure of the whole zone and of
			// several of its exchanges at once. Trade-off: a working exchange of the zone that was not called
			// meanwhile waits for the trial calls, two a second.
			if sure && c.exchangeByNumber(call.Dest).zone == zone && zone.answeredAt < sentAt &&
				zone != c.local.zone {
				if zone.failures++; zone.failures >= maxLocal && exchange.failures < zone.failures-1 {
					c.markUnresponsive(zone)
				}
			}
			if exchange.failures++; exchange.failures > 1 && sure {
				c.markUnresponsive(exchange)
			} else if event.Code == TimedOut && c.slow(exchange, took.Seconds()) {
				c.markOverloaded(exchange, false)
			}
		}
	case NotAttempted:
		if exchange != nil && direct && note == NoteNoCircuit {
			exchange.freeCircuits = min(exchange.freeCircuits, call.Width-1)
		}
		if note == NoteProcessor {
			// While the local processor is down, calls would use up all their attempts at once.
			c.markUnresponsive(c.local)
		}
	}
	switch {
	case event.Final:
		c.forget(call)
	case call.Flags&FlagTransit != 0 && event.Code == Failed && note != NoteBusy &&
		c.admit(call): // as a tandem, this exchange makes further attempts at once
	case event.Code == OK || call.established || call.Flags&FlagTransit != 0 ||
		call.attempts >= call.allowed || max(c.now, call.notBefore) >= call.holdUntil:
		c.finish(call)
	default:
		c.held = append(c.held, call)
	}
}

// countLocalFailure counts the set-ups since the last established call that met a full processor or got no
// answer. When the local processor is overloaded, no call can be established on any route, and every set-up
// prolongs the overload.
func (c *Controller) countLocalFailure() {
	if c.local.failures++; c.local.failures > 2*maxLocal {
		c.markUnresponsive(c.local)
	}
}

// markBusy notes that a called number is busy. If it is found busy repeatedly, it gets a gap of its own.
func (c *Controller) markBusy(calledNumber uint64) {
	number := c.stateOfNumber(calledNumber)
	c.numbers[calledNumber], number.busyAt = number, c.now
	if number.busyCount++; number.busyCount < 2 {
		return
	}
	interval := 2 * c.adjustInterval
	if number.gap.active {
		interval = min(time.Duration(float64(number.gap.interval)*1.5), c.averagingTime)
	} else {
		c.note("gap opened on a number found busy")
	}
	number.gap.setInterval(c.now, interval, c.rng)
	number.gap.bank = 0
}

// stateOfNumber returns what is known about a called number; for most that is an empty state, not stored.
func (c *Controller) stateOfNumber(calledNumber uint64) *numberState {
	if number := c.numbers[calledNumber]; number != nil {
		return number
	}
	return &numberState{}
}

// handleReport applies a load report. Values that are negative or not finite are skipped.
func (c *Controller) handleReport(exchange *node, report []float32) {
	for i, name := range c.settings.ReportFields[:min(len(report), len(c.settings.ReportFields))] {
		value := float64(report[i])
		switch {
		case !(value >= 0) || math.IsInf(value, 0):
		case name == "idle" && exchange != c.local:
			exchange.freeCircuits = value
		case name == "circuits" && exchange != c.local:
			exchange.groupSize = value
		case name == "reduce":
			exchange.reportedReduction, exchange.reportedAt = value, c.now
		case name == "mean_ms":
			exchange.reportedWaitSeconds, exchange.reportedAt = value/1000, c.now
		}
	}
}

// setUpInterval returns the present mean time between set-ups to an exchange; adjustInterval without any.
func (c *Controller) setUpInterval(exchange *node) time.Duration {
	if perSecond := exchange.setUpRate.perSecond(c.now, c.averagingTime); perSecond > 0 {
		return min(max(time.Duration(float64(time.Second)/perSecond), c.adjustInterval/50), c.averagingTime)
	}
	return c.adjustInterval
}

// markOverloaded handles a sign of overload at a processor: it activates its gap, and lengthens the
// interval while the overload lasts. full: the processor refused a set-up.
func (c *Controller) markOverloaded(exchange *node, full bool) {
	if exchange.unresponsive {
		return
	}
	maxInterval := max(2*exchange.gap.intervalBefore, c.adjustInterval)
	if full {
		// Its wait is far longer than any answer target, and the set-ups that it refuses cost it work too.
		maxInterval, exchange.gap.bank = 4*maxInterval, 0
	}
	interval := min(time.Duration(float64(exchange.gap.interval)*growFactor), maxInterval)
	if !exchange.gap.active {
		interval = c.setUpInterval(exchange)
		c.note("%s: gap opened, T %v", exchange.name, interval.Round(time.Millisecond))
	}
	c.adjustGap(exchange, interval)
}

// adjustGap activates a gap, or changes its interval unless that was changed a short time ago.
func (c *Controller) adjustGap(exchange *node, interval time.Duration) {
	gap := &exchange.gap
	gap.overloadedAt = c.now
	if !gap.active {
		gap.intervalBefore = c.setUpInterval(exchange)
	}
	if !gap.active || c.now-gap.adjustedAt >= gap.minAdjustInterval(c.adjustInterval) {
		gap.setInterval(c.now, interval, c.rng)
	}
}

// markUnresponsive limits an exchange or zone that does not answer to single trial calls, with an empty bank,
// until something is answered. A hung processor sends no refusals, so the counter alone would keep granting.
func (c *Controller) markUnresponsive(exchange *node) {
	if !exchange.unresponsive {
		// The time of the last change is set back so that adjustGap changes the interval now.
		exchange.unresponsive, exchange.gap.adjustedAt =
			true, c.now-exchange.gap.minAdjustInterval(c.adjustInterval)
		c.note("%s: suspected, does not answer", exchange.name)
	}
	interval := min(max(2*exchange.gap.interval, 2*c.adjustInterval), 4*c.adjustInterval)
	if exchange != c.local && exchange.zone == nil {
		interval = c.adjustInterval // a zone: all its exchanges share these few trial calls
	}
	c.adjustGap(exchange, interval)
	exchange.gap.bank = 0
}

// checkOverload examines one exchange for signs of overload and adjusts its gap.
func (c *Controller) checkOverload(exchange *node) {
	gap := &exchange.gap
	if gap.minInterval > 0 {
		c.updateWarmUp(exchange)
	}
	if exchange.unresponsive {
		gap.bank = min(gap.bank, gainPerInterval) // trial calls that another gap holds back must not add up
		return
	}
	maxAge := 2 * gap.minAdjustInterval(c.adjustInterval)
	slow := exchange == c.local && c.localWaitSeconds > c.waitLimit(exchange.workSeconds) ||
		c.now-exchange.measuredAt < maxAge && c.slow(exchange, exchange.answerSeconds) ||
		len(exchange.pending) > 0 && exchange.pending[0].direct &&
			c.slow(exchange, (c.now-exchange.pending[0].sentAt).Seconds())
	if slow || c.now-exchange.reportedAt < 2*maxAge &&
		(exchange.reportedReduction > 0.3 || exchange.reportedWaitSeconds > c.maxWait) {
		c.markOverloaded(exchange, false)
		return
	}
	if gap.active && c.now-gap.overloadedAt >= gap.minAdjustInterval(c.adjustInterval) &&
		c.now-gap.adjustedAt >= gap.minAdjustInterval(c.adjustInterval) {
		gap.setInterval(c.now, time.Duration(float64(gap.interval)*shrinkFactor), c.rng)
		if gap.minInterval == 0 && gap.interval <= c.setUpInterval(exchange)/2 {
			gap.active = false
			c.note("%s: gap lifted", exchange.name)
		}
	}
}

// tick does the periodic work: it adjusts gaps, sends load probes and forgets what has expired.
func (c *Controller) tick() {
	c.tickScheduled = false
	// The success shares return to 1, so that tandems that returned calls are tried again after some time.
	recoverySeconds := c.averagingTime.Seconds() * c.tandemMemory
	for kind := range c.tandemSuccess {
		c.tandemSuccess[kind] += (1 - c.tandemSuccess[kind]) * tickInterval.Seconds() / recoverySeconds
	}
	c.updateLocalWait()
	for _, exchange := range c.exchanges {
		if exchange == nil {
			continue
		}
		c.checkOverload(exchange)
		if c.settings.Probes && c.settings.ReportHow == "on_probe" && exchange.ready &&
			exchange.gap.minInterval == 0 && c.now >= exchange.nextProbeAt && !exchange.probePending &&
			(exchange.usedSinceProbe || exchange.gap.active) {
			// If every controller probed every exchange, the probes would grow with the square of the number
			// of exchanges and load every processor. So one exchange gets at most twice maxLocal probes a
			// second from all controllers, however many there are.
			exchange.probePending, exchange.usedSinceProbe = true, false
			seconds := max(float64(c.settings.Replicas-1)/(2*maxLocal), 1) * (0.8 + 0.4*c.rng.Float64())
			exchange.nextProbeAt = c.now + time.Duration(seconds*float64(time.Second))
			c.addAction(AskLoad{Switch: exchange.switchID})
		}
	}
	for calledNumber, number := range c.numbers {
		if c.now-number.busyAt > 3*c.averagingTime && c.now >= number.redialUntil {
			delete(c.numbers, calledNumber)
		}
	}
}
