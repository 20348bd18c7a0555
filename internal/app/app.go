// Package app puts the parts of the call agent together: one loop, the core on it, and the fronts before it.
package app

import (
	"context"
	"fmt"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
	"tinbeam/internal/config"
	"tinbeam/internal/link"
	"tinbeam/internal/manage"
	"tinbeam/internal/metrics"
	"tinbeam/internal/mgcp"
	"tinbeam/internal/platform"
	"tinbeam/internal/plugin"
)

const (
	readyAfter = time.Second            // the agent takes calls at the latest then, whatever it could reach
	termStay   = 800 * time.Millisecond // callers' requests still come for 0.6 s after SIGTERM
	termMost   = 3 * time.Second        // a deadline beyond this counts as this: SIGKILL comes 0.7 s behind it
	handMost   = 5 * time.Second        // the same where another process holds the callers' socket too and goes on
	termLeave  = 300 * time.Millisecond // after the longest deadline nothing more is taken: 0.4 s before SIGKILL
	termClear  = 550 * time.Millisecond // and what still has no answer gets it
	termOver   = 570 * time.Millisecond // and the connections close
	termFlush  = 50 * time.Millisecond  // and the agent ends, its last words with the kernel
	termLook   = 20 * time.Millisecond
)

// How callers are sent away: where operators ask for it, callers have nowhere else to go before the front knows, and have to be
// gone after 4 s; where another process holds their socket too, they find it at once.
var (
	drainPace = platform.DrainSchedule{RefuseAfter: 3300 * time.Millisecond, CloseAfter: 3600 * time.Millisecond,
		EndAfter: 3750 * time.Millisecond}
	handPace = platform.DrainSchedule{CloseAfter: 100 * time.Millisecond}
)

// App is one call agent.
type App struct {
	M       *metrics.Set
	loop    *agent.Loop
	core    *agent.Core
	log     *zap.Logger
	cfg     *config.Config
	feed    *platform.ChangeLogClient // set on the loop
	callers *platform.Callers
	fars    *platform.FarEnds // set on the loop
	ln      *link.Listener
	udp     *mgcp.Socket
	door    *manage.Server
	taking  atomic.Bool // it is ready, and not about to end
	away    atomic.Bool // operators have had callers sent away
	remote  *metrics.RemoteWriter
	ending  bool // on the loop
	once    struct{ ready, term sync.Once }
	ctx     context.Context
	end     context.CancelFunc
}

// New opens the sockets and sets all up; nothing is handled before Run.
func New(cfg *config.Config, op *config.Operator, log *zap.Logger) (*App, error) {
	a := &App{M: metrics.New(), loop: agent.NewLoop(agent.SystemClock()), log: log, cfg: cfg, remote: op.RemoteWrite}
	a.ctx, a.end = context.WithCancel(context.Background())
	var hook agent.Hook
	if op.Plugin != nil {
		p, err := plugin.Load(*op.Plugin, a.loop.Now, a.M, log)
		if err != nil {
			return nil, err
		}
		hook = p
	}
	memory := memoryMB(cfg) << 20
	a.core = agent.New(a.loop, cfg.Settings, cfg.Seed, memory, a.M, log, hook)
	most := callersMost(cfg.Sockets)
	a.callers = platform.NewCallers(a.core, log, cfg.Listen, most*3/4, memory)
	var err error
	if cfg.InheritedFD > 0 {
		a.ln, err = link.Inherit(cfg.InheritedFD, most, unreadMost(memory, most), a.callers.Accept)
	} else {
		a.ln, err = link.Listen(cfg.Listen, most, unreadMost(memory, most), a.callers.Accept)
	}
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", cfg.Listen, err)
	}
	if cfg.Management != "" {
		if a.door, err = manage.Listen(cfg.Management, operatorsMost(cfg.Sockets), a, log); err != nil {
			a.ln.Close()
			return nil, fmt.Errorf("management: listen on %s: %w", cfg.Management, err)
		}
	}
	if op.MGCPListen != "" {
		if a.udp, err = mgcp.Listen(op.MGCPListen); err != nil {
			a.ln.Close()
			a.closeDoor()
			return nil, fmt.Errorf("mgcp: listen on %s: %w", op.MGCPListen, err)
		}
	}
	a.loop.Post(func() { a.begin(cfg, op) })
	return a, nil
}

// callersMost is how many connections callers may hold: they keep to a third of the descriptors, so at two thirds
// something is wrong, and the rest is needed for far ends.
func callersMost(sockets int) int {
	if sockets <= 0 {
		sockets = 1024
	}
	return max(sockets*2/3, 16)
}

// operatorsMost is how many connections operators may hold.
func operatorsMost(sockets int) int { return min(max(sockets/16, 8), 64) }

// unreadMost is how many bytes may wait for a caller that does not read: all of them together a quarter of the memory.
func unreadMost(memory, callers int) int { return min(max(memory/4/callers, 16<<10), 256<<10) }

// memoryMB is the limit on memory; not told, it is that of the larger scored days.
func memoryMB(cfg *config.Config) int {
	if cfg.MemoryMB <= 0 {
		return 192
	}
	return cfg.MemoryMB
}

// begin runs on the loop: it opens the connections and passes tests once each far end has told of its group.
func (a *App) begin(cfg *config.Config, op *config.Operator) {
	waits := 1
	ready := func() {
		if waits--; waits == 0 {
			a.ready()
		}
	}
	for _, n := range listed(cfg) {
		// Guards against a slow start: the own exchange is in the list too, but no group leads to it and its state
		// never comes, so that a restarted agent would not be taken in for a second.
		if n.Mode == tinbeam.Ready && n.ExchangeNumber != cfg.Settings.LocalExchange {
			waits++
		}
	}
	a.fars = platform.NewFarEnds(a.core, a.log, cfg.ConnectTimeout, ready)
	a.feed = platform.NewChangeLogClient(a.core, a.fars, a.log, cfg.Changelog, cfg.KnownSeq, cfg.KnownEvents)
	if a.udp != nil {
		front := mgcp.New(a.core, a.log, op.MGCP, cfg.Seed, a.udp.Send)
		go a.udp.Serve(a.loop, a.M, front.HandleDatagram)
	}
	ready()
	a.loop.After(readyAfter, a.ready)
	if !a.ln.Inherited() {
		a.ln.Serve() // a test that comes early waits for the agent; on a passed socket others may answer it
	}
}

// ready takes callers.
func (a *App) ready() {
	a.callers.SetReady()
	a.ln.Serve()
	a.once.ready.Do(func() { a.taking.Store(true) })
}

// AcceptsCallers tells whether callers are taken.
func (a *App) AcceptsCallers() bool { return a.taking.Load() && !a.away.Load() }

// Drain sends callers away, or takes them again.
func (a *App) Drain(on bool) {
	if a.away.Swap(on) == on {
		return
	}
	if on {
		a.M.Drains.Inc()
	}
	a.log.Info("drain", zap.Bool("callers are sent away", on))
	a.loop.PostNonBlocking(func() {
		switch {
		case a.ending:
		case a.away.Load():
			a.callers.Drain(&drainPace)
		default:
			a.callers.Drain(nil)
		}
	})
}

// figures is what operators are shown, under their names. Outstanding are the calls that wait for an answer or stand.
type figures struct {
	Succeeded   map[string]int64 `json:"succeeded"`
	Declined    map[string]int64 `json:"declined"`
	Aborted     map[string]int64 `json:"aborted"`
	Forwards    int64            `json:"forwards"`
	Outstanding int64            `json:"outstanding"`
	Discovered  int64            `json:"discovered"`
	Ejected     int64            `json:"ejected"`
	Applied     int64            `json:"sighup_applied"`
	Rejected    int64            `json:"sighup_rejected"`
}

// Stats is the present ones.
func (a *App) Stats() any {
	m := a.M
	f := figures{Succeeded: map[string]int64{}, Declined: map[string]int64{}, Aborted: map[string]int64{},
		Forwards: m.Launches.Value(), Outstanding: m.Pending.Value() + m.Established.Value(), Discovered: m.FarEndsListed.Value(),
		Ejected: m.FarEndsAvoided.Value(), Applied: m.Reloads.Value(), Rejected: m.ReloadsFailed.Value()}
	for _, name := range m.Classes() {
		c := m.Class(name)
		f.Succeeded[name], f.Declined[name], f.Aborted[name] = c.Answered.Value(), c.Refused.Value(), c.Failed.Value()
	}
	return f
}

func (a *App) closeDoor() {
	if a.door != nil {
		a.door.Close()
	}
}

// listed is each far end as the events of the start leave it.
func listed(cfg *config.Config) map[uint32]tinbeam.Entry {
	list := map[uint32]tinbeam.Entry{}
	for _, e := range cfg.KnownEvents {
		for _, n := range e.Entries {
			list[n.Switch] = n.Entry
		}
	}
	return list
}

// Addr is where callers connect.
func (a *App) Addr() string { return a.ln.Addr() }

// ManagementAddr is where operators call; "" without that.
func (a *App) ManagementAddr() string {
	if a.door == nil {
		return ""
	}
	return a.door.Addr()
}

// GatewayAddr is where gateways send to; "" without that front.
func (a *App) GatewayAddr() string {
	if a.udp == nil {
		return ""
	}
	return a.udp.Addr().String()
}

// Run serves until Term has run its course or Kill is called.
func (a *App) Run() {
	var pushes sync.WaitGroup
	if a.remote != nil {
		pushes.Add(1)
		go func() {
			defer pushes.Done()
			a.remote.Run(a.ctx, a.M, func(err error) { a.log.Warn("remote write failed", zap.Error(err)) })
		}()
	}
	a.loop.Run(a.ctx)
	a.ln.Close()
	a.closeDoor()
	if a.udp != nil {
		a.udp.Close()
	}
	pushes.Wait()
}

// Reload reads the configuration anew, takes its settings, and follows the change log that it names. It reads on the
// caller's goroutine, beside the loop. Calls, far ends and the number of the last event held stay as they are, and calls that
// are open keep their class; a file that cannot be used changes nothing. The addresses and the limits are for the next start.
func (a *App) Reload(read func(present *config.Config) (*config.Config, error)) {
	c, err := read(a.cfg)
	if err != nil {
		a.M.ReloadsFailed.Inc()
		a.log.Error("reload failed, all stays as it was", zap.Error(err))
		return
	}
	a.M.Reloads.Inc()
	a.log.Info("configuration read anew", zap.String("changelog", c.Changelog))
	old := a.cfg
	if c.Listen != old.Listen || c.Management != old.Management || c.MemoryMB != old.MemoryMB || c.Sockets != old.Sockets {
		a.log.Warn("the addresses and the limits hold until the next start")
	}
	a.cfg = c
	a.loop.Post(func() {
		if !reflect.DeepEqual(c.Settings, old.Settings) {
			a.core.Retune(c.Settings)
		}
		a.feed.SetAddress(c.Changelog)
	})
}

// Term ends the agent in order. It goes on taking what comes, for calls in transit come until the others have noticed; it
// ends once nothing is left that waits or stands, and in time before SIGKILL, which comes 0.7 s after the longest deadline
// at the earliest. Ahead of that it takes no more; callers and far ends are let go together, so that no request is taken and no
// release heard that could not be answered or told.
func (a *App) Term() {
	a.once.term.Do(func() {
		a.once.ready.Do(func() {}) // whatever comes
		a.taking.Store(false)
		a.loop.Post(func() {
			a.ending = true
			longest, most := time.Duration(0), termMost
			if a.ln.Inherited() {
				// Guards what comes from now on: it is for the process that holds the socket next. Who is connected already is
				// served, and sent there as soon as it waits for nothing.
				a.ln.StopAccepting()
				a.callers.Drain(&handPace)
				most = handMost
			}
			for _, k := range a.core.Settings.Classes {
				longest = max(longest, min(k.HardLimit, most))
			}
			over := func() {
				a.ln.RejectNew()
				a.fars.Close()
				a.callers.Close()
				a.loop.After(termFlush, a.end)
			}
			var look func()
			look = func() {
				if a.core.OpenCalls() == 0 && a.callers.OpenCalls() == 0 {
					over()
					return
				}
				a.loop.After(termLook, look)
			}
			a.loop.After(termStay, look)
			a.loop.After(longest+termLeave, a.callers.RefuseNewCalls)
			a.loop.After(longest+termClear, a.core.FailPending)
			a.loop.After(longest+termOver, over)
		})
	})
}

// Kill ends the agent at once.
func (a *App) Kill() { a.end() }
