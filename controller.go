// The types of settings, events, actions and outcomes are in interface.go; every decision is in this file.
//
// The ordinary path is Turner and Key's banked counter (gap) and direct-first routing with a remembered
// tandem (admit, tandem). Everything else guards the binding rules or answers a kind of failure.

package tinbeam

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Figures of the paper, the design page, and ours.
const (
	gain       = 1                      // m: what a counter gains each interval
	bankMost   = 40                     // N: what it may bank
	localMost  = 4                      // set-ups granted in one interval at most (the paper's local counter)
	defaultGap = 500 * time.Millisecond // T where no rate has been seen, and the pace of its changes: beat
	grow       = 1.12                   // T's growth each pace of pressure; a fifth fewer set-ups
	shrink     = 0.75                   // T's shrinking each pace without
	look       = 20 * time.Millisecond  // how often held calls and waits are looked at
	memory     = 10 * time.Second       // time constant of observed rates: a call's length, see span
)

// gap is the banked counter of one stream. A closed gap grants everything.
type gap struct {
	open        bool
	every       time.Duration // T
	base        time.Duration // T when it opened: the spacing of set-ups before
	floor       time.Duration // T may not fall below this while a processor warms up; 0: it is warm
	next        time.Duration // start of the next interval
	bank, local int
	judged      time.Duration // when T last changed
	pressed     time.Duration // the last sign of pressure
}

// roll brings the counter up to now.
func (g *gap) roll(now time.Duration) {
	if !g.open || now < g.next {
		return
	}
	n, most := int64((now-g.next)/g.every)+1, bankMost
	if g.floor > 0 {
		// Danger: a counter banked in a quiet spell spends a cold processor's whole budget at once.
		most = gain
	}
	g.bank, g.local = min(g.bank+int(min(n*gain, bankMost)), most), 0
	g.next += time.Duration(n) * g.every
}

func (g *gap) allows(now time.Duration) bool {
	g.roll(now)
	return !g.open || g.bank > 0 && g.local < localMost
}

func (g *gap) spend() {
	if g.open {
		g.bank--
		g.local++
	}
}

// set opens the gap, or gives an open one another T. A gap opens with one gain in its counter and at a
// random phase, so that controllers that see the same trouble do not send in step.
func (g *gap) set(now, every time.Duration, rng *rand.Rand) {
	every = max(every, g.floor, time.Millisecond)
	if !g.open {
		g.open, g.bank, g.local = true, gain, 0
		g.next = now + time.Duration(rng.Float64()*float64(every))
	} else if every < g.every {
		g.next = now + time.Duration(float64(g.next-now)*float64(every)/float64(g.every))
	}
	g.every, g.judged = every, now
}

// pace is how often T may change: a thin stream gives no news in less than its own interval.
func (g *gap) pace(beat time.Duration) time.Duration {
	if !g.open {
		return beat
	}
	return max(beat, g.every)
}

// rate observes how often something happens, over about a span.
type rate struct {
	sum     float64
	at, was time.Duration // last update, first observation; 0: none
}

func (r *rate) add(now, span time.Duration, x float64) {
	if r.was == 0 {
		r.was = now
	}
	r.sum, r.at = r.sum*math.Exp(-float64(now-r.at)/float64(span))+x, now
}

// perS is the rate, corrected for a short history.
func (r *rate) perS(now, span time.Duration) float64 {
	seen := span.Seconds() * (1 - math.Exp(-float64(now-r.was+span/10)/float64(span)))
	return r.sum * math.Exp(-float64(now-r.at)/float64(span)) / seen
}

// exchange is what is known of one far exchange, or pool; also of the own one.
type exchange struct {
	name            string // in notes
	place           int
	zone            *exchange // what is known of its district as a whole; the own one never falls silent
	id              uint32
	ready, leaf     bool          // leaf: the end of a way, no tandem
	since           time.Duration // clock time of its last start; 0: long ago
	free, size      float64       // circuits of the own group to it, none: size 0; not told: size -1
	gap             gap
	sent            rate                  // set-ups sent to its processor
	wait            float64               // smoothed time to an answer of direct set-ups, seconds
	least           float64               // of that, what is work: the smallest seen, below what is pressure
	heard, answered time.Duration         // its last answer of any kind; last renewal of wait
	bad             int                   // set-ups that failed there since it last answered
	silent          bool                  // set-ups go unanswered
	out             []*call               // attempts out towards it, oldest first
	told            time.Duration         // time of the last report of its processor
	reduce, lag     float64               // reported: share to hold back, wait in seconds
	via             int                   // remembered tandem for this destination; -1: none
	viaUntil        time.Duration         // and how long it is remembered
	blocked         map[int]time.Duration // tandems that turned calls for it back: not again before then
	reached         map[int]bool          // tandems known to have a group to it: advised, or a call stood
	probeAt         time.Duration
	probing, used   bool // a probe is out; a set-up went there since the last one
	claimed         int  // the pass in which a wide call waited for its free circuits
}

// sample is the time that a set-up took, answered in any way or timed out.
type sample struct {
	x    *exchange
	at   time.Duration
	took float64
}

// call is one call that the controller owes a final answer, or that stands.
type call struct {
	Offer
	at, deadline                    time.Duration
	until                           time.Duration // held no longer than this
	notBefore                       time.Duration // release wait
	tries, most                     int           // attempts so far, and allowed
	out, stands, direct, mayHaveRun bool
	erred                           bool      // an exchange answered with an error, other than all lines busy
	to                              *exchange // where the attempt that is out went
	sentAt                          time.Duration
	tried                           map[int]bool // tandems tried
	rank                            float64
}

// number is what is known of a number found busy, or not served.
type number struct {
	gap    gap
	busy   int
	last   time.Duration // found busy
	redial time.Duration // until then a call to it is a redial
}

// Controller decides for one exchange.
type Controller struct {
	set             Settings
	rng             *rand.Rand
	now             time.Duration
	places          []*exchange // by number; nil: never listed
	ids             map[uint32]int
	own             *exchange // the own exchange's processor
	zones           map[int]*exchange
	calls           map[uint32]*call
	held            []*call
	numbers         map[uint64]*number
	stood           rate
	best            float64   // the most direct calls a second that have stood
	offered, served []float64 // first tries by class
	ticking         bool
	pass            int           // through the held calls
	ended           []sample      // the last set-ups that ended, whichever way they went
	ownWait         float64       // what of the time to an answer is wait at the own processor, seconds
	round           [3]float64    // the share of set-ups over tandems that stood lately, by kind: see wayTo
	target          float64       // the wait that is pressure, seconds
	others          float64       // how long news of a tandem count, in paces or spans
	beat, span      time.Duration // T and the time constant of rates: see New
	acts            []Action
}

// New starts a controller without any knowledge. Absent or senseless settings: no classes is one without
// an aim (sent at once or refused); absent waits are zero, no cold time is no warm-up; WarmUpStart outside
// (0, 1] is a tenth; MaxAttempts below 1 is 1; a class not called free is not repeated once it may have run.
func New(s Settings, seed uint64) *Controller {
	if len(s.Classes) == 0 {
		s.Classes = []Class{{}}
	}
	c := &Controller{rng: rand.New(rand.NewPCG(seed, 0x5707e)), ids: map[uint32]int{},
		own: &exchange{name: "own exchange", place: s.LocalExchange, via: -1, free: math.Inf(1),
			reached: map[int]bool{}, blocked: map[int]time.Duration{}},
		zones: map[int]*exchange{}, calls: map[uint32]*call{}, numbers: map[uint64]*number{},
		round: [3]float64{1, 1, 1}, pass: 1}
	c.apply(s)
	c.own.least = c.target
	return c
}

// apply takes settings, at the start and later. What has been learnt of exchanges and numbers stays.
func (c *Controller) apply(s Settings) {
	s.Classes = slices.Clone(s.Classes)
	s.MaxAttempts, s.Replicas = max(s.MaxAttempts, 1), max(s.Replicas, 2)
	if !(s.Rules.WarmUpStart > 0 && s.Rules.WarmUpStart <= 1) {
		s.Rules.WarmUpStart = 0.1
	}
	aim, span, was := math.Inf(1), time.Duration(0), c.set.Classes // the tightest aim, the longest hold
	for i := range s.Classes {
		k := &s.Classes[i]
		k.Width, k.Value = positive(k.Width, 1), positive(k.Value, 1)
		k.MeanHold = time.Duration(positive(float64(k.MeanHold), float64(memory)))
		if k.AnswerTarget > 0 && !k.Retired {
			aim = min(aim, k.AnswerTarget.Seconds())
		}
		if !k.Retired {
			span = max(span, min(k.MeanHold, memory))
		}
		if i >= len(was) {
			c.offered, c.served = append(c.offered, 1), append(c.served, 1)
		} else if was[i].Name != k.Name { // its place is another's now
			c.offered[i], c.served[i] = 1, 1
		}
	}
	c.set = s
	if math.IsInf(aim, 1) {
		aim = 1
	}
	// A set-up waits at two processors and is answered through both, so each may take a third of the
	// tightest aim; and none may wait long enough for the set-up to be sent again.
	c.target = aim / 2
	if s.ResendInterval > 0 {
		c.target = min(c.target, s.ResendInterval.Seconds()/2)
	}
	c.others = min(max(2*float64(s.Replicas-2), 1), 8)
	// Danger: where aims are a fraction of a second and calls last about one, a T that changes each half
	// second opens when the jam has passed and lifts long after it. T follows the aim and the rates the
	// calls' length, up to the figures above.
	c.beat, c.span = min(defaultGap, time.Duration(aim*float64(time.Second)/2.4)), span
	for _, k := range c.calls {
		k.most = min(k.most, s.MaxAttempts) // an open call's are never more than either told
	}
}

// positive is v, or d where v makes no sense.
func positive(v, d float64) float64 {
	if v > 0 && !math.IsInf(v, 1) {
		return v
	}
	return d
}

// Handle takes one event and appends what is to be done.
func (c *Controller) Handle(now time.Duration, ev Event, out []Action) []Action {
	c.now, c.acts = now, out
	switch e := ev.(type) {
	case Topology:
		c.topology(e)
	case Offer:
		c.offer(e)
	case Flowing:
		c.flowing(e)
	case Outcome:
		c.outcome(e)
	case Retune:
		c.apply(e.Settings)
	case Sampled:
		if x := c.byID(e.Switch); x != nil {
			if e.Took > 0 || e.Code != OK {
				x.probing = false
			}
			if e.Code == OK {
				c.report(x, e.Report)
			}
		}
	case Withdrawn:
		c.drop(c.calls[e.Ref])
	case TickDue:
		if e.Handle == 2 {
			c.act(StreamChanges{Active: true})
		} else {
			c.tick()
		}
	}
	c.pump()
	if !c.ticking {
		c.ticking = true
		c.act(Schedule{After: look, Handle: 1})
	}
	out, c.acts = c.acts, nil
	return out
}

func (c *Controller) act(a Action) { c.acts = append(c.acts, a) }

func (c *Controller) note(format string, args ...any) {
	c.act(Note{Text: fmt.Sprintf(format, args...)})
}

// at is the exchange of a place, or nil.
func (c *Controller) at(place int) *exchange {
	if place < 0 || place >= len(c.places) {
		return nil
	}
	return c.places[place]
}

func (c *Controller) byID(id uint32) *exchange {
	if p, ok := c.ids[id]; ok && c.places[p].id == id {
		return c.places[p]
	}
	return nil
}

// topology takes the list. A place follows its latest ready machine; a machine that drains or is gone gets
// nothing from now on, which keeps the rule on drains with its whole grace to spare.
func (c *Controller) topology(t Topology) {
	if asks := c.set.Discovery == "on_request"; asks && t.Kind == ListFailed {
		c.act(Schedule{After: time.Second + time.Duration(c.rng.Int64N(int64(time.Second))), Handle: 2})
	} else if asks && t.Kind == ListCached {
		c.act(StreamChanges{Active: true})
	}
	if t.Kind == ListFailed {
		return
	}
	listed := map[uint32]bool{}
	for _, n := range t.Entries {
		if n.ExchangeNumber < 0 {
			continue
		}
		c.places = append(c.places, make([]*exchange, max(n.ExchangeNumber+1-len(c.places), 0))...)
		x := c.places[n.ExchangeNumber]
		if x == nil {
			x = &exchange{name: fmt.Sprint("exchange ", n.ExchangeNumber), place: n.ExchangeNumber,
				size: -1, via: -1, least: c.target, blocked: map[int]time.Duration{}, reached: map[int]bool{}}
			if n.ExchangeNumber == c.set.LocalExchange {
				x = c.own
			}
			if c.zones[n.Zone] == nil {
				c.zones[n.Zone] = &exchange{name: fmt.Sprint("district ", n.Zone), place: -1}
			}
			c.places[n.ExchangeNumber], x.zone = x, c.zones[n.Zone]
		}
		c.ids[n.Switch] = n.ExchangeNumber
		listed[n.Switch] = true
		switch {
		case n.Mode != Ready:
			if x.id == n.Switch {
				x.ready = false
			}
		case x.id == n.Switch && x.ready && n.OnlineSince == x.since:
		case x.id != n.Switch && x.ready && n.OnlineSince < x.since:
		default:
			if x.id != n.Switch { // another machine: it inherits nothing of what was learnt of the last
				delete(c.ids, x.id)
				x.id, x.out, x.gap, x.bad, x.wait, x.answered = n.Switch, nil, gap{}, 0, 0, 0
			}
			was := x.since
			x.ready, x.since, x.silent, x.least, x.leaf = true, n.OnlineSince, false, c.target, n.NoTransit
			if x.since != was && x.since > 0 && c.now-x.since < c.set.Rules.WarmUp {
				c.warm(x)
			}
		}
		if n.Mode == Gone && x.id != n.Switch {
			delete(c.ids, n.Switch)
		}
	}
	if t.Kind != ListDelta {
		for _, x := range c.places {
			if x != nil && !listed[x.id] {
				x.ready = false
			}
		}
	}
}

// warm paces a processor that has just started. Danger: all controllers together push it over, and it
// stays down. Its capacity is not told; what an exchange takes warm is at least what stands there now, so
// this controller's share of it is its own standing rate over the far exchanges (one call a second where less
// has stood). As many come in as go out: with the root of the breaking multiple of that, times the present
// part of the capacity, from all others and as much from the own exchange, the sum stays under at any size.
func (c *Controller) warm(x *exchange) {
	age := c.now - x.since
	if age >= c.set.Rules.WarmUp {
		if x.gap.floor > 0 {
			x.gap.floor = 0
			c.note("%s: warm-up ends", x.name)
		}
		return
	}
	part := c.set.Rules.WarmUpStart +
		(1-c.set.Rules.WarmUpStart)*max(age.Seconds(), 0)/c.set.Rules.WarmUp.Seconds()
	share := max(c.best, 1) * math.Sqrt(max(c.set.Rules.OverloadMultiple, 1))
	if x != c.own {
		share /= float64(c.set.Replicas - 1)
	}
	began := x.gap.floor == 0
	x.gap.floor = time.Duration(float64(time.Second) / (share * part))
	if began || x.gap.every < x.gap.floor || c.now-x.gap.pressed >= c.beat && !x.silent {
		x.gap.set(c.now, x.gap.floor, c.rng)
	}
	if began {
		x.gap.bank = 0
		c.note("%s: warm-up begins", x.name)
	}
}

// offer takes a call.
func (c *Controller) offer(o Offer) {
	o.Class = min(max(o.Class, 0), len(c.set.Classes)-1)
	o.Width = positive(o.Width, c.set.Classes[o.Class].Width)
	if o.Flags&FlagTransit == 0 && !c.set.MarksRedial && o.Number != 0 {
		// Callers here do not mark a redial; a number that was just refused and is called again tells one.
		if n := c.numbers[o.Number]; n != nil && c.now < n.redial {
			o.Flags |= FlagRedial
		}
	}
	k := &call{Offer: o, at: c.now, deadline: c.now + max(o.TimeLeft, 0), most: c.set.MaxAttempts,
		tried: map[int]bool{}}
	c.calls[o.Ref] = k
	d := c.at(o.Dest)
	if o.Flags&FlagTransit == 0 && d != nil && c.at(o.Via) != nil {
		d.reached[o.Via] = true
	}
	if o.Flags&(FlagTransit|FlagRedial) == 0 {
		c.offered[o.Class] = c.offered[o.Class]*0.998 + 1
		c.served[o.Class] *= 0.998
	}
	k.until = min(k.deadline-2*look, c.now+c.set.Classes[o.Class].AnswerTarget)
	if d != nil {
		// Held to the end of the aim, it would stand too late for its worth: leave room for the answer.
		margin := min(d.wait, c.set.Classes[o.Class].AnswerTarget.Seconds()/2)
		k.until = max(k.until-time.Duration(margin*float64(time.Second)), c.now)
	}
	if d == nil || !d.ready || d == c.own && o.Flags&FlagTransit != 0 ||
		!c.numberOf(o.Number).gap.allows(c.now) {
		c.finish(k) // refused at source; a number repeatedly busy is not waited for
		return
	}
	if o.Flags&(FlagTransit|FlagRedial) != 0 {
		// In transit it holds circuits of the group it came over; a redial is past its aim, and its set-up
		// would take room from calls in time. On at once, or back at once.
		if d.gap.open && o.Flags&FlagTransit == 0 || !c.admit(k) {
			c.finish(k)
		}
		return
	}
	c.held = append(c.held, k)
}

// finish gives the final answer of a call that has no attempt out.
func (c *Controller) finish(k *call) {
	if c.spent(k) {
		c.act(GiveUp{Ref: k.Ref})
	} else {
		// Danger: callers turned away together dial again together. Spread them.
		c.act(Decline{Ref: k.Ref,
			RetryAfter: time.Duration((0.5 + c.rng.Float64()/2) * float64(c.set.MaxRetryAfter))})
	}
	c.drop(k)
}

// spent tells that the call may have run and must neither be sent again nor refused.
func (c *Controller) spent(k *call) bool {
	return k.mayHaveRun && c.class(k).RepeatPolicy != "free"
}

func (c *Controller) class(k *call) *Class { return &c.set.Classes[k.Class] }

// drop forgets a call.
func (c *Controller) drop(k *call) {
	if k == nil {
		return
	}
	if !k.stands && !c.set.MarksRedial && k.Flags&FlagTransit == 0 {
		n := c.numberOf(k.Number)
		c.numbers[k.Number], n.redial = n, k.at+c.class(k).HardLimit
	}
	c.returned(k)
	delete(c.calls, k.Ref)
	if i := slices.Index(c.held, k); i >= 0 {
		c.held = slices.Delete(c.held, i, i+1)
	}
}

// returned takes an attempt off its exchange.
func (c *Controller) returned(k *call) {
	if k.to != nil {
		if i := slices.Index(k.to.out, k); i >= 0 {
			k.to.out = slices.Delete(k.to.out, i, i+1)
		}
		k.to = nil
	}
}

// pump serves held calls, the worthiest first.
func (c *Controller) pump() {
	worst, all, total := -1, 0.0, 0.0
	for i := range c.offered {
		if c.set.Classes[i].Retired {
			continue
		}
		all += c.offered[i]
		total += c.offered[i] * c.set.Classes[i].Value
		if worst < 0 || c.served[i]*c.offered[worst] < c.served[worst]*c.offered[i] {
			worst = i
		}
	}
	c.pass++
	wc := min(max(c.set.ScoreWeights.WorstClass, 0), 1)
	for _, k := range c.held {
		cl := c.class(k)
		worth := (1 - wc) * cl.Value * all / total
		if k.Class == worst {
			worth += wc * all / c.offered[worst]
		}
		k.rank = worth / c.span.Seconds()
		if d := c.at(k.Dest); d.free < c.reserve(d)+k.Width {
			k.rank = worth / (k.Width * cl.MeanHold.Seconds())
		}
	}
	slices.SortStableFunc(c.held, func(a, b *call) int { return cmp.Compare(b.rank, a.rank) })
	c.held = slices.DeleteFunc(c.held, c.admit)
	for _, k := range slices.Clone(c.held) {
		if c.over(k) {
			c.finish(k)
		}
	}
}

// over tells that no circuit or grant can come for a held call in time: its caller is told to come back.
func (c *Controller) over(k *call) bool {
	d := c.at(k.Dest)
	return c.now >= k.until || !d.ready || c.spent(k) || !d.zone.gap.allows(c.now) || d.size == 0 &&
		max(c.rounds(k, 0), c.rounds(k, 1), c.rounds(k, 2)) <= 0
}

// rounds is how many tries a call has left over tandems of a kind. Danger: where these mostly turn back, each
// takes three processors from calls that go direct. By the square of the share: where a third stands, one.
func (c *Controller) rounds(k *call, kind int) float64 {
	return c.round[kind]*c.round[kind]*float64(k.most) - 0.5 - float64(len(k.tried))
}

// reserve is how many circuits of a group are kept for direct calls: about one standard deviation of a
// busy group's use, halved and rounded, since a tandem call that gets through costs two groups.
func (c *Controller) reserve(x *exchange) float64 { return math.Round(math.Sqrt(max(x.size, 0)) / 2) }

// admit is the one path on which set-ups are sent: it sends the call if a rule, a gap or the circuits do
// not forbid it now, and tells whether it did.
func (c *Controller) admit(k *call) bool {
	d := c.at(k.Dest)
	switch {
	case d == nil || !d.ready || k.out || k.stands:
		return false
	case c.now < k.notBefore || c.now >= k.deadline || k.tries >= k.most:
		return false // the release is awaited; nothing goes out past the deadline
	case c.spent(k), !c.own.gap.allows(c.now), !c.numberOf(k.Number).gap.allows(c.now):
		return false
	}
	transit := k.Flags&FlagTransit != 0
	need := k.Width
	if transit {
		need += c.reserve(d)
	}
	if k.last() {
		if t := c.tandem(k, d); t != nil {
			c.send(k, d, t)
			return true
		}
	}
	if d != c.own && (d.free >= need || d.size < 0) {
		// A district that does not answer has trial calls of its own, to any exchange that is not cold.
		if d.claimed == c.pass || !d.zone.gap.allows(c.now) ||
			(!d.zone.silent || d.gap.floor > 0) && !d.gap.allows(c.now) {
			return false
		}
		c.send(k, d, d)
		return true
	}
	if transit {
		return false
	}
	if t := c.tandem(k, d); t != nil {
		c.send(k, d, t)
		return true
	}
	if d.free > 0 && d.gap.allows(c.now) {
		d.claimed = c.pass // it waits for circuits that a narrower, lesser call would take
	}
	return false
}

// last tells that a call has met errors and has one try left. Danger: an exchange that answers errors to most
// set-ups gets all tries of a call within a tenth of a second. The last one goes over a tandem, which has
// tries of its own, and also over one that turned others back. May harm: two groups are used.
func (k *call) last() bool { return k.erred && k.tries == k.most-1 && k.Flags&FlagTransit == 0 }

// tandem is the way round for a call whose direct group is full: the remembered tandem while it works, else
// the advised one, else one known to reach the destination, else any: where many pairs have no group, most
// of the others do not reach it either. Both processors must grant it; a pressed or cold one is no tandem.
func (c *Controller) tandem(k *call, d *exchange) *exchange {
	if d.zone.silent || !d.gap.allows(c.now) || c.numberOf(k.Number).gap.open || d.size != 0 &&
		(c.own.gap.open || !k.last() && c.now < k.at+c.class(k).AnswerTarget/2) { // a circuit may come free
		return nil
	}
	var pick [3]*exchange
	var n [3]int
	for p, t := range c.places {
		kind := wayTo(k, d, p)
		if c.rounds(k, kind) <= 0 || c.ownWait > c.most(c.own.least)*c.round[kind] || t == nil || t == d ||
			t == c.own || !t.ready || t.leaf || t.silent || t.zone.silent || t.gap.open ||
			k.tried[p] || !k.last() && c.now < d.blocked[p] ||
			t.free < k.Width+c.reserve(t) || !c.allowed(k, p) {
			continue
		}
		if p == d.via && c.now < d.viaUntil {
			return t
		}
		if n[kind]++; c.rng.IntN(n[kind]) == 0 {
			pick[kind] = t
		}
	}
	return cmp.Or(pick[2], pick[1], pick[0])
}

// wayTo is the kind of a tandem: 2 advised for this call, 1 known to reach the destination, 0 any other.
func wayTo(k *call, d *exchange, place int) int {
	switch {
	case place == k.Via:
		return 2
	case d != nil && d.reached[place]:
		return 1
	}
	return 0
}

func (c *Controller) allowed(k *call, place int) bool {
	return !c.set.SharedPools || k.Class >= len(c.set.AllowedPools) ||
		len(c.set.AllowedPools[k.Class]) == 0 || slices.Contains(c.set.AllowedPools[k.Class], place)
}

// send starts the attempt and spends from every stream that it loads.
func (c *Controller) send(k *call, d, t *exchange) {
	k.out, k.to, k.direct, k.sentAt = true, t, t == d, c.now
	k.tries++
	t.out = append(t.out, k)
	t.free -= k.Width
	t.sent.add(c.now, c.span, 1)
	t.gap.spend()
	t.zone.gap.spend()
	t.used, d.used = true, true
	c.own.sent.add(c.now, c.span, 1)
	c.own.gap.spend()
	c.numberOf(k.Number).gap.spend()
	if t != d {
		if d != c.own {
			d.gap.spend()
			d.sent.add(c.now, c.span, 1)
		}
		d.via, d.viaUntil = t.place, c.now+4*c.beat
		k.tried[t.place] = true
	}
	// Danger: a jammed processor works through set-ups whose time has passed; one given up in time leaves its
	// queue, or at least is not repeated, and the call may go another way.
	wait := k.at + c.class(k).AnswerTarget - c.now
	if wait <= 0 {
		wait = c.class(k).AnswerTarget
	}
	c.act(Attempt{Ref: k.Ref, Switch: t.id, Timeout: wait})
}

// flowing: the call stands.
func (c *Controller) flowing(e Flowing) {
	k := c.calls[e.Ref]
	if k == nil || k.to == nil {
		return // unknown, or told twice
	}
	k.stands = true
	c.hear(c.own)
	c.hear(k.to)
	c.passed(k.to, e.Took)
	if k.direct {
		x, took := k.to, e.Took.Seconds()
		if c.now-x.answered > 2*c.beat {
			x.wait = took
		}
		x.wait += (took - x.wait) / 4
		x.answered, x.least = c.now, min(x.least, x.wait)
		c.stood.add(c.now, c.span, 1)
		c.best = max(c.best, c.stood.perS(c.now, c.span))
	} else {
		d := c.at(k.Dest)
		i := wayTo(k, d, k.to.place)
		c.round[i] += (1 - c.round[i]) / 16
		d.reached[k.to.place] = true
	}
	if k.Flags&(FlagTransit|FlagRedial) == 0 && c.now-k.at <= c.class(k).AnswerTarget {
		c.served[k.Class]++
	}
	c.returned(k)
	n := c.numberOf(k.Number)
	n.gap.every, n.busy = max(time.Duration(float64(n.gap.every)*shrink), c.beat), 0
}

// passed notes a set-up that ended. All pass the own processor, so its part is at most the shortest of the
// last few to two exchanges at least. Danger: with the own processor jammed few are answered, and a wait
// read from answers alone is none at the worst moment: the own gap lifts, and those called are taken for
// jammed or dead. May harm: where the last few all met trouble elsewhere, it is taken for the own.
func (c *Controller) passed(x *exchange, took time.Duration) {
	c.ended = append(c.ended, sample{x, c.now, took.Seconds()})
	c.ownPart()
}

func (c *Controller) ownPart() {
	fresh := max(2*c.beat, localMost*c.spacing(c.own))
	c.ended = slices.DeleteFunc(c.ended, func(s sample) bool { return c.now-s.at >= fresh })
	part, two := math.Inf(1), false
	for _, s := range c.ended {
		part, two = min(part, s.took), two || s.x != c.ended[0].x
	}
	c.ownWait = 0
	if two {
		c.own.least = min(c.own.least, part)
		c.ownWait = part - c.own.least
	}
}

// most is the wait that is pressure where some of the time is work: the limit less that, half of it at least.
// Danger: at a small exchange's slow processor work itself takes longer than the limit; its streams would
// be gapped for good. May harm: one slowed for long is held to its better days.
func (c *Controller) most(work float64) float64 { return max(c.target-max(work, 0), c.target/2) }

// slow tells that a set-up waited long at the far exchange: more than its work and what the own one takes.
func (c *Controller) slow(x *exchange, took float64) bool {
	return took-c.ownWait-x.least > c.most(x.least-c.own.least)
}

// UnresponsiveCount is how many listed exchanges get trial calls only, since they do not answer.
func (c *Controller) UnresponsiveCount() int {
	n := 0
	for _, x := range c.places {
		if x != nil && x != c.own && x.ready && (x.silent || x.zone.silent) {
			n++
		}
	}
	return n
}

// hear notes that an exchange has answered.
func (c *Controller) hear(x *exchange) {
	x.heard, x.bad = c.now, 0
	if x.silent {
		x.silent = false
		c.note("%s: recovered, answers again", x.name)
		x.gap.bank = gain
		x.gap.set(c.now, max(x.gap.base, c.beat), c.rng)
	}
	if z := x.zone; z != nil {
		was := z.silent
		c.hear(z)
		for _, y := range c.places {
			if was && y != nil && y.zone == z && y.silent {
				c.hear(y)
			}
		}
		z.gap.open = false
	}
}

// outcome: an attempt has ended.
func (c *Controller) outcome(e Outcome) {
	x := c.byID(e.Switch)
	if x != nil {
		c.report(x, e.Report)
	}
	k := c.calls[e.Ref]
	if k == nil {
		return
	}
	note := e.Note & 15
	direct, sentAt, took := k.direct, k.sentAt, c.now-k.sentAt
	if x != nil && !k.stands &&
		(e.Code == Full || note == NoteBusy || e.Code == TimedOut && took.Seconds() > c.target) {
		c.passed(x, took)
	}
	c.returned(k)
	k.out = false
	switch e.Code {
	case Full:
		if x != nil {
			c.hear(x)
			if note == NoteProcessor {
				c.press(x, true)
				c.failed()
			} else if d := c.at(k.Dest); note == NoteCrankback && d != nil && d != c.own {
				d.blocked[x.place] = c.now + time.Duration(c.others*float64(c.beat))
				c.round[wayTo(k, d, x.place)] *= 15. / 16
				if d.via == x.place {
					d.via = -1
				}
				if e.Note&NoteOverloadBeyond != 0 {
					c.press(d, true)
				}
			}
		}
	case Failed, TimedOut, Reset, Cancelled, ConnectFailed:
		k.mayHaveRun = k.mayHaveRun || e.Code != ConnectFailed
		if e.Code != Failed && e.Code != ConnectFailed {
			k.notBefore = c.now + c.set.ReleaseDelay
		}
		switch {
		case note == NoteBusy && e.Code == Failed:
			if x != nil {
				c.hear(x)
			}
			if k.Number != 0 {
				c.busy(k.Number)
			}
			k.until = c.now // the lines stay taken: no other route helps
		case note == NoteLinkLost: // the next set-up, on another connection, tells how the exchange is
		case e.Code == Failed:
			// Danger: an error is an answer, and some calls get nothing else wherever they go. Taken for
			// silence, a few of them shut a sound exchange out, and it comes back gapped.
			k.erred = true
			if x != nil {
				c.hear(x)
			}
		case x != nil && e.Code != Cancelled && !k.stands && x.heard < sentAt:
			// Danger: a crashed processor resets every set-up at once, and a call sent again and again
			// burns its tries there. One may be chance, or a lost answer, which must not shut the stream; the
			// second without an answer between is not. A hurried caller's time-out never means silence.
			late, z := took >= c.class(k).AnswerTarget, x.zone
			sure := e.Code != TimedOut || late && c.ownWait <= c.target // else: the own processor, or haste
			if late {
				c.failed()
			}
			// Danger: of many thin streams to a district cut off each would need two failures of its own,
			// and its trial calls are no fewer than it sends. They share the evidence, trials and return.
			// Covers what takes a district down, or several of its exchanges at once. May harm: one well
			// exchange of it that was not called meanwhile waits for the trials, two a second.
			if sure && c.at(k.Dest).zone == z && z.heard < sentAt && z != c.own.zone {
				if z.bad++; z.bad >= localMost && x.bad < z.bad-1 {
					c.hush(z)
				}
			}
			if x.bad++; x.bad > 1 && sure {
				c.hush(x)
			} else if e.Code == TimedOut && c.slow(x, took.Seconds()) {
				c.press(x, false)
			}
		}
	case NotAttempted:
		if x != nil && direct && note == NoteNoCircuit {
			x.free = min(x.free, k.Width-1)
		}
		if note == NoteProcessor {
			c.hush(c.own) // Danger: with the own processor down, calls burn their tries at once
		}
	}
	switch {
	case e.Final:
		c.drop(k)
	case k.Flags&FlagTransit != 0 && e.Code == Failed && note != NoteBusy && c.admit(k): // a tandem retries
	case e.Code == OK || k.stands || k.Flags&FlagTransit != 0 || k.tries >= k.most ||
		max(c.now, k.notBefore) >= k.until:
		c.finish(k)
	default:
		c.held = append(c.held, k)
	}
}

// failed counts set-ups that met a full processor or no answer since the last that stood. Danger: with the
// own processor jammed nothing sent can stand, wherever it goes, and every set-up prolongs the jam.
func (c *Controller) failed() {
	if c.own.bad++; c.own.bad > 2*localMost {
		c.hush(c.own)
	}
}

// busy: all lines of a number are taken. Found so repeatedly, it is a stream with a gap of its own.
func (c *Controller) busy(num uint64) {
	n := c.numberOf(num)
	c.numbers[num], n.last = n, c.now
	if n.busy++; n.busy < 2 {
		return
	}
	every := 2 * c.beat
	if n.gap.open {
		every = min(time.Duration(float64(n.gap.every)*1.5), c.span)
	} else {
		c.note("gap opened on a number found busy")
	}
	n.gap.set(c.now, every, c.rng)
	n.gap.bank = 0
}

// numberOf is what is known of a number; of most, nothing.
func (c *Controller) numberOf(num uint64) *number {
	if n := c.numbers[num]; n != nil {
		return n
	}
	return &number{}
}

// report takes a load report.
func (c *Controller) report(x *exchange, r []float32) {
	for i, name := range c.set.ReportFields[:min(len(r), len(c.set.ReportFields))] {
		v := float64(r[i])
		switch {
		case !(v >= 0) || math.IsInf(v, 0):
		case name == "idle" && x != c.own:
			x.free = v
		case name == "circuits" && x != c.own:
			x.size = v
		case name == "reduce":
			x.reduce, x.told = v, c.now
		case name == "mean_ms":
			x.lag, x.told = v/1000, c.now
		}
	}
}

// spacing is the present interval between set-ups towards an exchange.
func (c *Controller) spacing(x *exchange) time.Duration {
	if r := x.sent.perS(c.now, c.span); r > 0 {
		return min(max(time.Duration(float64(time.Second)/r), c.beat/50), c.span)
	}
	return c.beat
}

// press: a sign of pressure at a processor opens its gap, and stretches it while it lasts.
func (c *Controller) press(x *exchange, full bool) {
	if x.silent {
		return
	}
	most := max(2*x.gap.base, c.beat)
	if full {
		// It has jammed: the wait is far past any aim, and what it turns away costs it work too.
		most, x.gap.bank = 4*most, 0
	}
	every := min(time.Duration(float64(x.gap.every)*grow), most)
	if !x.gap.open {
		every = c.spacing(x)
		c.note("%s: gap opened, T %v", x.name, every.Round(time.Millisecond))
	}
	c.stretch(x, every)
}

// stretch gives a gap another T, at most once a pace.
func (c *Controller) stretch(x *exchange, every time.Duration) {
	g := &x.gap
	g.pressed = c.now
	if !g.open {
		g.base = c.spacing(x)
	}
	if !g.open || c.now-g.judged >= g.pace(c.beat) {
		g.set(c.now, every, c.rng)
	}
}

// hush: set-ups go unanswered. Danger: a hung processor sends no refusals, so a counter would keep
// granting. Down to single trial calls with an empty bank, until something is answered.
func (c *Controller) hush(x *exchange) {
	if !x.silent {
		x.silent, x.gap.judged = true, c.now-x.gap.pace(c.beat) // at once
		c.note("%s: suspected, does not answer", x.name)
	}
	every := min(max(2*x.gap.every, 2*c.beat), 4*c.beat)
	if x != c.own && x.zone == nil {
		every = c.beat // a district: its trials are few among its exchanges
	}
	c.stretch(x, every)
	x.gap.bank = 0
}

// sense looks at one exchange's signs of pressure and lets its gap follow them.
func (c *Controller) sense(x *exchange) {
	g := &x.gap
	if g.floor > 0 {
		c.warm(x)
	}
	if x.silent {
		g.bank = min(g.bank, gain) // nor does it bank while others hold its trial calls back
		return
	}
	fresh := 2 * g.pace(c.beat)
	slow := x == c.own && c.ownWait > c.most(x.least) || c.now-x.answered < fresh && c.slow(x, x.wait) ||
		len(x.out) > 0 && x.out[0].direct && c.slow(x, (c.now-x.out[0].sentAt).Seconds())
	if slow || c.now-x.told < 2*fresh && (x.reduce > 0.3 || x.lag > c.target) {
		c.press(x, false)
		return
	}
	if g.open && c.now-g.pressed >= g.pace(c.beat) && c.now-g.judged >= g.pace(c.beat) {
		g.set(c.now, time.Duration(float64(g.every)*shrink), c.rng)
		if g.floor == 0 && g.every <= c.spacing(x)/2 {
			g.open = false
			c.note("%s: gap lifted", x.name)
		}
	}
}

// tick looks after what only time changes.
func (c *Controller) tick() {
	c.ticking = false
	again := c.span.Seconds() * c.others // to be tried again some time
	for i := range c.round {
		c.round[i] += (1 - c.round[i]) * look.Seconds() / again
	}
	c.ownPart()
	for _, x := range c.places {
		if x == nil {
			continue
		}
		c.sense(x)
		if c.set.Probes && c.set.ReportHow == "on_probe" && x.ready && x.gap.floor == 0 &&
			c.now >= x.probeAt && !x.probing && (x.used || x.gap.open) {
			// Danger: probes to all from all grow with the square of the fleet and load every processor. One
			// gets no more than twice the local limit a second from all, however many they are.
			x.probing, x.used = true, false
			pace := max(float64(c.set.Replicas-1)/(2*localMost), 1) * (0.8 + 0.4*c.rng.Float64())
			x.probeAt = c.now + time.Duration(pace*float64(time.Second))
			c.act(AskLoad{Switch: x.id})
		}
	}
	for num, n := range c.numbers {
		if c.now-n.last > 3*c.span && c.now >= n.redial {
			delete(c.numbers, num)
		}
	}
}
