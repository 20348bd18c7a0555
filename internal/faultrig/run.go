// Package faultrig plays short, dense trials against the built program: real processes on the loopback interface, stand-ins for
// far ends, callers and the change log, proxies that inject faults, and signals, all drawn from a seed. Check then judges the
// records of all parties by the rules of the protocol.
package faultrig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tinbeam/internal/sip"
)

const (
	drainTime    = 4 * time.Second // from the end of the traffic until all calls should have been released
	readyTimeout = 10 * time.Second
	// after SIGTERM, the front still opens connections for a time between these
	minNewConnections = 200 * time.Millisecond
	maxNewConnections = 400 * time.Millisecond
	drainToGone       = 800 * time.Millisecond // from draining to gone in the list
	reloadPause       = 2 * time.Millisecond   // between the new configurations of a series
	lateListTime      = 7 * time.Second        // within this the list tells of a change
	drainGrace        = 250 * time.Millisecond // as in settingsJSON
	firstSequence     = 40
	firstFarEnd       = 0xfa000001
	nextGeneration    = 0x10000 // from the ID of a far end to that of its replacement
	shareOfWholeLists = 0.2     // of the events of the change log
	// of the configurations in a series, those that are cut short; the last one never is
	shareOfBadConfigs = 0.1
	setUpsOfACrowd    = 25 * time.Millisecond
	crowdBodySize     = 14 << 10
	frontTestPeriod   = 50 * time.Millisecond
)

// Result is the outcome of a run.
type Result struct {
	Plan       Plan
	Violations []Violation
	Calls      int // set-ups that were taken
	Answered   int // of them, those answered with success
	Directory  string
}

// trial is a run under way.
type trial struct {
	plan     Plan
	recorder *Recorder
	sites    []*site
	steps    sync.WaitGroup
}

// site is one agent with all parties around it: far ends, proxies, callers, and the servers of its change log.
type site struct {
	recorder  *Recorder
	process   *process
	crowd     *crowd
	farEnds   []*farEnd
	proxies   []*proxy
	log       *changeLog
	listMu    sync.Mutex
	list      []listing
	servers   [2]*discovery
	outage    sync.Mutex   // held while discovery is broken
	server    atomic.Int32 // index of the server that the configuration names
	restartMu sync.Mutex
}

// Run plays the plan against the program at the path and writes configurations, logs and records below dir.
func Run(plan Plan, binary, dir string) (*Result, error) {
	dir = filepath.Join(dir, fmt.Sprintf("seed-%d", plan.Seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	t := &trial{plan: plan, recorder: NewRecorder()}
	defer t.stop()
	if err := t.startParties(binary, dir); err != nil {
		return nil, err
	}
	t.play()
	t.shutDown()
	events := t.recorder.Events()
	result := &Result{Plan: plan, Directory: dir,
		Violations: Check(events, Limits{MemoryBytes: int64(plan.MemoryMB) << 20, Descriptors: plan.Sockets, DrainGrace: drainGrace})}
	for _, e := range events {
		if e.Kind == RequestTaken {
			result.Calls++
		} else if e.Kind == FinalAnswer && e.Value == statusOK {
			result.Answered++
		}
	}
	return result, writeEvents(filepath.Join(dir, "records.jsonl"), events)
}

// startParties starts all sites, and waits until their agents are ready.
func (t *trial) startParties(binary, dir string) error {
	for i := range t.plan.Agents {
		a, err := t.newSite(i, binary, dir)
		if a != nil {
			t.sites = append(t.sites, a)
		}
		if err == nil {
			err = a.startAgent()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// newSite returns the site with the given index, whose agent has not been started.
func (t *trial) newSite(index int, binary, dir string) (*site, error) {
	name := fmt.Sprintf("n%d", index)
	seed := t.plan.Seed + uint64(index)<<32
	a := &site{recorder: t.recorder, log: newChangeLog(firstSequence, t.recorder)}
	for i := range t.plan.FarEnds {
		if err := a.addFarEnd(uint32(firstFarEnd+index<<8+i), i+1, seed+uint64(i)); err != nil {
			return nil, err
		}
	}
	for j := range a.servers {
		d, err := newDiscovery(name, a.log, seed+uint64(j))
		if err != nil {
			return nil, err
		}
		a.servers[j] = d
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	a.process = &process{name: name, binary: binary, dir: dir, recorder: t.recorder, config: agentConfig{Name: name, Listen: listen,
		Seed: fmt.Sprintf("%016x", seed), Limits: limits{Cores: 1, MemoryMB: t.plan.MemoryMB, Sockets: t.plan.Sockets},
		Settings: []byte(settingsJSON)}}
	a.crowd = newCrowd(name, listen, t.plan.Traffic, seed, t.recorder)
	return a, nil
}

// addFarEnd starts a far end with a proxy before it, and lists it.
func (a *site) addFarEnd(id uint32, exchange int, seed uint64) error {
	f, err := newFarEnd(fmt.Sprintf("s-%08x", id), seed, a.recorder)
	if err != nil {
		return err
	}
	p, err := newProxy(f, seed, a.recorder)
	if err != nil {
		return err
	}
	a.farEnds, a.proxies = append(a.farEnds, f), append(a.proxies, p)
	a.list = append(a.list, listing{ID: id, Addr: netip.MustParseAddrPort(p.addr()), Exchange: exchange, State: stateReady})
	return nil
}

// freeAddress returns an address that nothing listens on at present.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", newLoopbackAddress())
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// startAgent starts an agent's process, and lets callers in once it has passed a test.
func (a *site) startAgent() error {
	if err := a.startProcess(); err != nil {
		return err
	}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(frontTestPeriod) {
		if passesTest(a.process.config.Listen) {
			a.crowd.setAcceptsNew(true)
			return nil
		}
	}
	return fmt.Errorf("%s was not ready after %v", a.process.name, readyTimeout)
}

// startProcess starts an agent's process with the present list.
func (a *site) startProcess() error {
	a.listMu.Lock()
	seq := a.log.present()
	a.process.config.Known = knownList(seq, a.list)
	a.listMu.Unlock()
	a.process.config.Changelog = a.servers[a.server.Load()].addr()
	if err := a.process.start(); err != nil {
		return err
	}
	a.recorder.Add(Event{Kind: ListDelivered, Agent: a.process.name, Value: int64(seq)})
	return nil
}

// passesTest sends a test to an agent, as the front does, and reports whether it passes.
func passesTest(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := c.Write(newRequest("OPTIONS", "0123456789abcdef").Append(nil)); err != nil {
		return false
	}
	buf := make([]byte, 1024)
	n, _ := c.Read(buf)
	m, _, err := sip.Parse(buf[:n])
	return err == nil && m != nil && m.Status == statusOK
}

// play plays the traffic and the steps of the plan.
func (t *trial) play() {
	var callers sync.WaitGroup
	start := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	for i, a := range t.sites {
		callers.Add(1)
		go func() {
			defer callers.Done()
			a.crowd.run()
		}()
		for j := range t.plan.BadClients {
			callers.Add(1)
			go func() {
				defer callers.Done()
				rng := rand.New(rand.NewPCG(t.plan.Seed, uint64(i*10+j)))
				badClient(a.process.config.Listen, rng, func() bool { return ctx.Err() != nil })
			}()
		}
	}
	for _, s := range t.plan.Steps {
		time.Sleep(time.Until(start.Add(s.At)))
		t.recorder.Add(Event{Kind: FaultInjected, Note: s.String()})
		for i, a := range t.sites {
			if s.Site == everySite || s.Site == i {
				t.steps.Add(1)
				go func() {
					defer t.steps.Done()
					a.do(s, t.plan)
				}()
			}
		}
	}
	time.Sleep(time.Until(start.Add(t.plan.Duration)))
	t.steps.Wait()
	cancel()
	for _, a := range t.sites {
		a.crowd.stop()
	}
	t.recorder.Add(Event{At: t.recorder.Now() + drainTime, Kind: CallersLeave})
	callers.Wait()
}

// do plays one step until it is lifted.
func (a *site) do(s Step, plan Plan) {
	switch s.Kind {
	case StepLinkFault:
		a.proxies[s.FarEnd].setFault(s.Fault)
		time.Sleep(s.Lasts)
		a.proxies[s.FarEnd].setFault(linkFault{})
	case StepResetLinks:
		a.proxies[s.FarEnd].resetAll()
	case StepHang:
		a.farEnds[s.FarEnd].hang(s.Lasts)
	case StepErrors:
		a.farEnds[s.FarEnd].failFor(s.Lasts)
	case StepFlood:
		a.farEnds[s.FarEnd].flood(s.Lasts)
	case StepDie:
		a.replaceProcess(s.FarEnd, s.Lasts/4)
	case StepReplace:
		a.replaceFarEnd(s.FarEnd)
	case StepDrain:
		a.drain(s.FarEnd, s.Lasts)
	case StepSilentWatch:
		a.breakDiscovery(discoverySilent, s.Lasts)
	case StepNoDiscovery:
		a.breakDiscovery(discoveryDown, s.Lasts)
	case StepSlowDiscovery:
		a.breakDiscovery(discoverySlow, s.Lasts)
	case StepBadDiscovery:
		a.breakDiscovery(discoverySpoilt, s.Lasts)
	case StepReload:
		a.reload(s.Repeated)
	case StepRestart:
		a.restart(s.Repeated, s.Lasts)
	case StepQuiet:
		a.crowd.pause(s.Lasts)
	case StepLoseLinks:
		a.proxies[s.FarEnd].loseUnderSetUp(s.Lasts, s.Accepting)
	case StepSilenceLink:
		a.proxies[s.FarEnd].silenceOne(s.Lasts)
	case StepVanish:
		a.vanish(s.FarEnd, s.Lasts, s.Repeated > 0)
	case StepCrowd:
		a.playCrowd(plan, s.Repeated, s.Lasts)
	}
}

// note records a failure of the rig itself.
func (a *site) note(err error) {
	if err != nil {
		a.recorder.Add(Event{Kind: FaultInjected, Note: "the rig failed: " + err.Error()})
	}
}

// setState changes the state of a far end in the list. It reports false if the far end is in none of the states from.
func (a *site) setState(i int, from []string, state string) bool {
	a.listMu.Lock()
	defer a.listMu.Unlock()
	l := &a.list[i]
	if !slices.Contains(from, l.State) {
		return false
	}
	l.State = state
	if state == stateReady {
		l.StartedAtMs = time.Now().UnixMilli()
	}
	if a.crowd.chance(shareOfWholeLists) {
		a.log.add(*l, a.list...)
	} else {
		a.log.add(*l)
	}
	return true
}

// drain takes a far end out of the list in two steps, and brings it back as a new process.
func (a *site) drain(i int, lasts time.Duration) {
	if !a.setState(i, []string{stateReady}, stateDraining) {
		return
	}
	time.Sleep(max(lasts/2, drainToGone))
	a.setState(i, []string{stateDraining}, stateGone)
	time.Sleep(lasts / 2)
	a.proxies[i].stop()
	a.farEnds[i].die()
	if a.listenAgain(i) {
		a.setState(i, []string{stateGone}, stateReady)
	}
}

// replaceFarEnd kills a far end's process, and lists another one at the same address at once.
func (a *site) replaceFarEnd(i int) {
	a.listMu.Lock()
	defer a.listMu.Unlock()
	l := &a.list[i]
	if l.State != stateReady {
		return
	}
	a.proxies[i].stop()
	a.farEnds[i].die()
	gone := *l
	gone.State = stateGone
	l.ID += nextGeneration
	l.StartedAtMs = time.Now().UnixMilli()
	a.farEnds[i].setName(l.name())
	if a.listenAgain(i) {
		a.log.add(gone)
		a.log.add(*l)
	}
}

// replaceProcess kills a far end's process, and starts another after a while.
func (a *site) replaceProcess(i int, after time.Duration) {
	a.proxies[i].stop()
	a.farEnds[i].die()
	time.Sleep(after)
	if a.listenAgain(i) {
		a.setState(i, []string{stateReady}, stateReady)
	}
}

// vanish loses the machine of a far end for a while: nothing passes, and no connection comes up. It comes back with a process that knows
// nothing of before, which the list tells when it has to.
func (a *site) vanish(i int, lasts time.Duration, reset bool) {
	old := a.proxies[i].vanish()
	a.farEnds[i].lose()
	time.Sleep(lasts)
	a.proxies[i].setFault(linkFault{})
	startedAt := time.Now().UnixMilli()
	if reset {
		for _, l := range old {
			l.reset()
		}
	}
	time.Sleep(lateListTime)
	a.listMu.Lock()
	defer a.listMu.Unlock()
	if l := &a.list[i]; l.State == stateReady && l.StartedAtMs < startedAt {
		l.StartedAtMs = startedAt
		a.log.add(*l)
	}
}

func (a *site) listenAgain(i int) bool {
	err := a.proxies[i].listen()
	a.note(err)
	return err == nil
}

func (a *site) breakDiscovery(mode discoveryMode, lasts time.Duration) {
	a.outage.Lock()
	defer a.outage.Unlock() // no new configuration moves discovery meanwhile
	server := a.servers[a.server.Load()]
	if err := server.setMode(mode); err != nil {
		a.note(err)
		return
	}
	time.Sleep(lasts)
	a.note(server.setMode(discoveryServes))
}

// reload brings new configurations in quick succession, each of which moves discovery to the other server.
func (a *site) reload(times int) {
	a.restartMu.Lock()
	defer a.restartMu.Unlock()
	for i := range times {
		a.process.config.Settings = a.drawSettings()
		if a.outage.TryLock() {
			a.server.Store(1 - a.server.Load())
			a.process.config.Changelog = a.servers[a.server.Load()].addr()
			a.outage.Unlock()
		}
		if i < times-1 && a.crowd.chance(shareOfBadConfigs) {
			a.note(a.process.writeBadConfig())
		} else {
			a.note(a.process.writeConfig())
		}
		a.process.signal(syscall.SIGHUP, signalReload)
		time.Sleep(reloadPause)
	}
}

// drawSettings returns settings of a new configuration: the first ones, or with other limits, or with the classes in another order.
func (a *site) drawSettings() []byte {
	variants := []*strings.Replacer{
		strings.NewReplacer(),
		strings.NewReplacer(`"mostTries": 4`, `"mostTries": 2`),
		strings.NewReplacer(`"order-status"`, `"cancel-all"`, `"cancel-all"`, `"order-status"`),
		strings.NewReplacer(`"hardLimit": 2.0`, `"hardLimit": 1.5`, `"aim": 0.8`, `"aim": 0.6`),
	}
	i := random(a.crowd, func(r *rand.Rand) int { return r.IntN(len(variants)) })
	return []byte(variants[i].Replace(settingsJSON))
}

// restart shuts the agent down and starts it again. Callers go on using their connections until the process is killed, at the
// earliest time that the protocol allows. The new process may be told to shut down again, several times, each at most the given
// time after its start, whether it is ready or not.
func (a *site) restart(again int, within time.Duration) {
	a.restartMu.Lock()
	defer a.restartMu.Unlock()
	a.endProcess()
	for range again {
		a.note(a.startProcess())
		time.Sleep(random(a.crowd, func(r *rand.Rand) time.Duration { return time.Duration(r.Int64N(int64(within) + 1)) }))
		a.endProcess()
	}
	if err := a.startAgent(); err != nil {
		a.recorder.Add(Event{Kind: ProcessEnded, Agent: a.process.name, Value: 1, Note: err.Error()})
	}
}

// endProcess sends SIGTERM, and SIGKILL if the process has not ended by the earliest time that the protocol allows.
func (a *site) endProcess() {
	a.process.signal(syscall.SIGTERM, signalTerminate)
	terminated := time.Now()
	time.Sleep(random(a.crowd, func(r *rand.Rand) time.Duration {
		return minNewConnections + time.Duration(r.Int64N(int64(maxNewConnections-minNewConnections)))
	}))
	a.crowd.setAcceptsNew(false)
	if !a.process.waitEnded(time.Until(terminated.Add(killAfterTerm))) {
		a.process.signal(syscall.SIGKILL, signalKill)
		a.process.waitEnded(time.Second)
	}
}

// playCrowd plays many more callers with large set-ups for a while.
func (a *site) playCrowd(plan Plan, callers int, lasts time.Duration) {
	t := plan.Traffic
	t.Callers, t.Interval, t.BodySize = min(callers, plan.Sockets/6), setUpsOfACrowd, crowdBodySize
	more := newCrowd(a.process.name, a.process.config.Listen, t, plan.Seed^0xc0ffee, a.recorder)
	more.setAcceptsNew(true)
	time.AfterFunc(lasts, more.stop)
	more.run()
}

// shutDown ends all agents in an orderly way.
func (t *trial) shutDown() {
	for _, a := range t.sites {
		a.process.signal(syscall.SIGTERM, signalTerminate)
	}
	for _, a := range t.sites {
		if !a.process.waitEnded(killAfterTerm) {
			a.process.signal(syscall.SIGKILL, signalKill)
			a.process.waitEnded(time.Second)
		}
	}
}

// stop ends all parties.
func (t *trial) stop() {
	for _, a := range t.sites {
		a.process.signal(syscall.SIGKILL, signalKill)
		for _, d := range a.servers {
			d.close()
		}
		for i, p := range a.proxies {
			p.setFault(linkFault{})
			p.stop()
			a.farEnds[i].die()
			_ = a.farEnds[i].listener.Close()
		}
	}
}

// Report describes the result of a run: a line for each rule broken, with the records of the first violation of each.
func (r *Result) Report() string {
	var out strings.Builder
	fmt.Fprintf(&out, "seed %d: %d calls, %d answered, %d violations, records in %s\n",
		r.Plan.Seed, r.Calls, r.Answered, len(r.Violations), r.Directory)
	shown := map[Rule]bool{}
	for _, v := range r.Violations {
		fmt.Fprintf(&out, "  %s: call %s: %s\n", v.Rule, v.Call, v.Text)
		if shown[v.Rule] {
			continue
		}
		shown[v.Rule] = true
		for _, e := range v.Records {
			fmt.Fprintf(&out, "    %8.3f %-16s agent=%s far=%s conn=%d value=%d deadline=%.3f %q\n",
				e.At.Seconds(), e.Kind, e.Agent, e.FarEnd, e.Connection, e.Value, e.Deadline.Seconds(), e.Note)
		}
	}
	return out.String()
}
