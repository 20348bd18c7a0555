package faultrig

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Plan is all that a run is going to do, drawn from a seed.
type Plan struct {
	Seed       uint64
	Duration   time.Duration // of the traffic
	Agents     int
	FarEnds    int
	MemoryMB   int
	Sockets    int
	Traffic    traffic
	BadClients int
	Steps      []Step
}

// StepKind names what a step does.
type StepKind string

// The kinds of step.
const (
	StepLinkFault   StepKind = "link fault"
	StepResetLinks  StepKind = "reset links"
	StepHang        StepKind = "hang"
	StepDie         StepKind = "die"
	StepReplace     StepKind = "replace"
	StepErrors      StepKind = "errors"
	StepFlood       StepKind = "flood"
	StepDrain       StepKind = "drain"
	StepSilentWatch StepKind = "discovery silent"
	StepNoDiscovery StepKind = "discovery down"
	// frames of the change log come in pieces, or spoilt
	StepSlowDiscovery StepKind = "discovery slow"
	StepBadDiscovery  StepKind = "discovery spoilt"

	StepReload  StepKind = "reload"
	StepRestart StepKind = "restart"
	StepCrowd   StepKind = "crowd"

	// callers send nothing for a while, so that far ends have nothing to say
	StepQuiet StepKind = "quiet"
	// all connections to a far end are lost under a set-up; the far end notices later
	StepLoseLinks StepKind = "lose links"
	// one connection to a far end falls silent in both directions, and the far end takes it for open
	StepSilenceLink StepKind = "silence link"
	// the machine of a far end is lost without a sign, and comes back with another process, of which the list tells late
	StepVanish StepKind = "vanish"
)

// Step is one trouble of a run.
type Step struct {
	At       time.Duration
	Kind     StepKind
	Site     int           // index of the agent that is concerned, or everySite
	FarEnd   int           // index of the far end that is concerned
	Lasts    time.Duration // until it is lifted
	Fault    linkFault     // of a link fault
	Repeated int           // how often, for reloads; how often more, for restarts; callers of a crowd; 1 if the connections are reset, for vanish

	Accepting bool // a far end with lost connections accepts others before it notices the loss
}

func (s Step) String() string {
	return fmt.Sprintf("%v %s agent %d far end %d for %v %+v x%d", s.At, s.Kind, s.Site, s.FarEnd, s.Lasts, s.Fault, s.Repeated)
}

// everySite is the Site of a step that concerns all agents.
const everySite = -1

// killAfterTerm is the page's earliest time from SIGTERM to SIGKILL: the longest deadline and 0.7 s.
const killAfterTerm = 3700 * time.Millisecond

// warmUp is the time before the first trouble.
const warmUp = 1500 * time.Millisecond

// draw helps to draw a plan.
type draw struct{ *rand.Rand }

func (d draw) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.Int64N(int64(high-low)+1))
}

// NewPlan draws the plan of a run. The same seed gives the same plan.
func NewPlan(seed uint64) Plan {
	d := draw{rand.New(rand.NewPCG(seed, 0x51ed))}
	plan := Plan{Seed: seed, Duration: d.between(9*time.Second, 13*time.Second), Agents: 2, FarEnds: 3 + d.IntN(3),
		MemoryMB: []int{48, 64, 192}[d.IntN(3)], Sockets: []int{256, 512, 1024}[d.IntN(3)], BadClients: d.IntN(4),
		Traffic: traffic{Callers: 6 + d.IntN(10), Interval: d.between(100*time.Millisecond, 400*time.Millisecond),
			ShareGivenUp: 0.08 * d.Float64(), ShareDropped: 0.03 * d.Float64(), ShareSplit: 0.3 * d.Float64(),
			ShareCopied: 0.1 * d.Float64(), ShareRetried: d.Float64(), ShareTransit: 0.1, ShareLate: 0.5 * d.Float64(),
			SlowestWrite: []time.Duration{80, 800, 4000}[d.IntN(3)] * time.Millisecond, ShareHangups: 0.2, BodySize: 300}}
	plan.Traffic.Destinations = plan.FarEnds
	plan.addLinkFaults(d)
	plan.addFarEndFaults(d)
	plan.addDiscoveryFaults(d)
	plan.addSignals(d)
	plan.addQuietTime(d)
	plan.addLostLinks(d)
	if d.Float64() < 0.3 {
		plan.add(d, Step{Kind: StepCrowd, Site: d.IntN(plan.Agents), Repeated: []int{30, 50, 150}[d.IntN(3)],
			Lasts: d.between(time.Second, 3*time.Second)})
	}
	plan.addLateNotices(d)
	plan.addFullHang(d)
	plan.addSilentLinks(d)
	plan.addVanished(d)
	slices.SortStableFunc(plan.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// add adds a step. Without a time it gets one between the warm-up and the end of the traffic.
func (p *Plan) add(d draw, s Step) {
	if s.At == 0 {
		s.At = d.between(warmUp, p.Duration-time.Second)
	}
	p.Steps = append(p.Steps, s)
}

func (p *Plan) addLinkFaults(d draw) {
	ms := time.Millisecond
	faults := []func() linkFault{
		func() linkFault { return linkFault{OpenLate: d.between(50*ms, 1000*ms)} },
		func() linkFault { return linkFault{CloseEarly: true} },
		func() linkFault { return linkFault{Silent: true} },
		func() linkFault { return linkFault{ResetStarted: d.between(ms, 40*ms)} },
		func() linkFault {
			return linkFault{ResetStarted: d.between(ms, 40*ms), OpenLate: d.between(200*ms, 500*ms)}
		},
		func() linkFault { return linkFault{Split: d.between(ms, 60*ms)} },
		func() linkFault { return linkFault{Doubled: d.between(ms, 40*ms)} },
		func() linkFault { return linkFault{Spoilt: 0.1 + 0.4*d.Float64()} },
		func() linkFault { return linkFault{Delayed: d.between(10*ms, 400*ms)} },
		func() linkFault { return linkFault{SlowRead: d.between(2*ms, 40*ms)} },
		func() linkFault {
			return linkFault{Spoilt: 0.2, Doubled: 20 * ms, OpenLate: 300 * ms}
		},
	}
	for range 3 + d.IntN(6) {
		p.add(d, Step{Kind: StepLinkFault, Site: everySite, FarEnd: d.IntN(p.FarEnds), Lasts: d.between(300*ms, 2500*ms), Fault: faults[d.IntN(len(faults))]()})
	}
	for range d.IntN(6) {
		p.add(d, Step{Kind: StepResetLinks, Site: everySite, FarEnd: d.IntN(p.FarEnds)})
	}
}

// addQuietTime adds a time without set-ups, which is longer than a far end may be silent, and makes the run longer by it.
func (p *Plan) addQuietTime(d draw) {
	if d.Float64() < 0.5 {
		return
	}
	quiet := Step{At: d.between(warmUp, p.Duration/2), Kind: StepQuiet, Site: everySite, Lasts: d.between(4*time.Second, 8*time.Second)}
	p.Duration += quiet.Lasts
	p.add(d, quiet)
}

// addLostLinks adds losses of all connections to a far end under a set-up, whose answer may be lost.
func (p *Plan) addLostLinks(d draw) {
	for range d.IntN(4) {
		p.add(d, Step{Kind: StepLoseLinks, Site: everySite, FarEnd: d.IntN(p.FarEnds), Lasts: d.between(10*time.Millisecond, 1500*time.Millisecond)})
	}
	if d.Float64() < 0.3 {
		p.add(d, Step{Kind: StepLinkFault, Site: everySite, FarEnd: d.IntN(p.FarEnds), Lasts: d.between(time.Second, 4*time.Second),
			Fault: linkFault{MaxConns: 1 + d.IntN(2)}})
	}
}

// addLateNotices adds losses of all connections to a far end that accepts others before it notices, and goes on sending on the lost ones.
func (p *Plan) addLateNotices(d draw) {
	for range d.IntN(3) {
		p.add(d, Step{Kind: StepLoseLinks, Site: everySite, FarEnd: d.IntN(p.FarEnds), Lasts: d.between(10*time.Millisecond, 4*time.Second),
			Accepting: true})
	}
}

// addFullHang adds a far end that hangs for longer than it may be silent while it holds all the connections that it accepts.
func (p *Plan) addFullHang(d draw) {
	if d.Float64() < 0.7 {
		return
	}
	hang := Step{At: d.between(warmUp, p.Duration/2), Kind: StepHang, Site: everySite, FarEnd: d.IntN(p.FarEnds),
		Lasts: d.between(5*time.Second, 9*time.Second)}
	p.add(d, hang)
	p.add(d, Step{At: hang.At, Kind: StepLinkFault, Site: everySite, FarEnd: hang.FarEnd, Lasts: hang.Lasts,
		Fault: linkFault{MaxConns: 2}})
}

// addSilentLinks adds connections that fall silent, and makes the run longer by the time in which the calls on them have to be released.
func (p *Plan) addSilentLinks(d draw) {
	if d.Float64() < 0.6 {
		return
	}
	for range 1 + d.IntN(2) {
		p.add(d, Step{At: d.between(warmUp, p.Duration-time.Second), Kind: StepSilenceLink, Site: everySite, FarEnd: d.IntN(p.FarEnds),
			Lasts: d.between(5*time.Second, 20*time.Second)})
	}
	p.Duration += lostCallReleaseTime
}

// addVanished adds a far end that vanishes for a while, and makes the run longer by the time in which its calls have to be released.
func (p *Plan) addVanished(d draw) {
	if d.Float64() < 0.6 {
		return
	}
	p.add(d, Step{Kind: StepVanish, Site: everySite, FarEnd: d.IntN(p.FarEnds), Lasts: d.between(100*time.Millisecond, 4900*time.Millisecond),
		Repeated: d.IntN(2)})
	p.Duration += lostCallReleaseTime
}

func (p *Plan) addFarEndFaults(d draw) {
	kinds := []StepKind{StepHang, StepDie, StepErrors, StepDrain, StepDrain, StepFlood, StepReplace, StepReplace}
	for range 1 + d.IntN(4) {
		p.add(d, Step{Kind: kinds[d.IntN(len(kinds))], Site: everySite, FarEnd: d.IntN(p.FarEnds), Lasts: d.between(400*time.Millisecond, 3*time.Second)})
	}
}

// addDiscoveryFaults adds an outage of discovery with a drain close to its end, and new configurations.
func (p *Plan) addDiscoveryFaults(d draw) {
	agent := d.IntN(p.Agents)
	kinds := []StepKind{StepSilentWatch, StepNoDiscovery, StepSlowDiscovery, StepBadDiscovery}
	if kind := d.IntN(6); kind < len(kinds) {
		outage := Step{At: d.between(warmUp, p.Duration/2), Kind: kinds[kind], Site: agent,
			Lasts: d.between(500*time.Millisecond, 4*time.Second)}
		if outage.Kind == StepSlowDiscovery { // a change has to come through all the same
			outage.Lasts = d.between(7*time.Second, 10*time.Second)
			p.add(d, Step{At: outage.At + d.between(0, time.Second), Kind: StepDrain, Site: everySite, FarEnd: d.IntN(p.FarEnds), Lasts: 12 * time.Second})
		}
		p.add(d, outage)
		p.add(d, Step{At: outage.At + outage.Lasts - d.between(0, 400*time.Millisecond), Kind: StepDrain, Site: everySite, FarEnd: d.IntN(p.FarEnds),
			Lasts: d.between(500*time.Millisecond, 2*time.Second)})
	}
	for range d.IntN(3) {
		p.add(d, Step{Kind: StepReload, Site: d.IntN(p.Agents), Repeated: 1 + d.IntN(8)})
	}
}

// addSignals adds shutdowns one after another, some while far ends hang, and some right behind new configurations.
func (p *Plan) addSignals(d draw) {
	if d.Float64() < 0.25 {
		return
	}
	at := d.between(warmUp, 3*time.Second)
	if d.Float64() < 0.5 {
		p.add(d, Step{At: at - 300*time.Millisecond, Kind: StepHang, Site: everySite, FarEnd: d.IntN(p.FarEnds), Lasts: 5 * time.Second})
	}
	for agent := range p.Agents {
		if d.Float64() < 0.3 {
			p.add(d, Step{At: at, Kind: StepReload, Site: agent, Repeated: 12})
		}
		p.add(d, Step{At: at, Kind: StepRestart, Site: agent, Repeated: max(d.IntN(5)-2, 0), Lasts: 1500 * time.Millisecond})
		at += d.between(300*time.Millisecond, 4500*time.Millisecond)
	}
}
