// Package app assembles the call agent: one event loop, the core that runs on it, and the front ends that serve the core.
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
	readyTimeout          = time.Second            // the agent accepts calls after this at the latest, whatever it could reach
	minShutdownTime       = 800 * time.Millisecond // least time from SIGTERM to the end: callers send requests for another 0.6 s
	maxShutdownDeadline   = 3 * time.Second        // longer call deadlines count as this: SIGKILL follows 0.7 s after it
	maxHandoverDeadline   = 5 * time.Second        // the same if another process also serves the callers' socket
	refuseDelay           = 300 * time.Millisecond // after the longest deadline: new calls are refused, 0.4 s before SIGKILL
	failPendingDelay      = 550 * time.Millisecond // after the longest deadline: calls still pending are failed
	closeDelay            = 570 * time.Millisecond // after the longest deadline: the connections are closed
	flushDelay            = 50 * time.Millisecond  // from then to the end of the agent, at the latest
	idleCloseTime         = 15 * time.Millisecond  // of it, during which connections are closed only if nothing arrives on them
	closeRetryInterval    = 2 * time.Millisecond   // how often it is tried to close connections on which something is under way
	runtimeGaugeInterval  = time.Second
	openCallsPollInterval = 20 * time.Millisecond // how often it is checked whether calls are still open
)

// The schedules for draining callers. When operators drain, callers have no other agent to connect to until the front end of
// the platform notices, and must be gone after 4 s. When another process also holds the callers' socket, they reach that
// process at once.
var (
	operatorDrain = platform.DrainSchedule{RefuseAfter: 3300 * time.Millisecond, CloseAfter: 3600 * time.Millisecond,
		EndAfter: 3750 * time.Millisecond}
	handoverDrain = platform.DrainSchedule{CloseAfter: 100 * time.Millisecond, KeepForReleases: true}
)

// App is one call agent.
type App struct {
	Metrics      *metrics.Set
	loop         *agent.Loop
	core         *agent.Core
	log          *zap.Logger
	cfg          *config.Config
	changeLog    *platform.ChangeLogClient // set on the loop
	callers      *platform.Callers
	farEnds      *platform.FarEnds // set on the loop
	listener     *link.Listener
	mgcpSocket   *mgcp.Socket          // nil without the MGCP front end
	management   *manage.Server        // nil without a management address
	accepting    atomic.Bool           // the agent is ready and not shutting down
	draining     atomic.Bool           // operators have drained the callers
	remoteWriter *metrics.RemoteWriter // nil without remote write
	shuttingDown bool                  // used on the loop only
	closing      bool                  // closeAll has been called; used on the loop only
	once         struct{ ready, shutdown sync.Once }
	ctx          context.Context
	stop         context.CancelFunc // ends Run
}

// New opens the sockets and creates all parts, which count in the given metrics. No event is handled before Run.
func New(cfg *config.Config, op *config.Operator, counters *metrics.Set, log *zap.Logger) (*App, error) {
	a := &App{Metrics: counters, loop: agent.NewLoop(agent.SystemClock()), log: log, cfg: cfg, remoteWriter: op.RemoteWrite}
	a.ctx, a.stop = context.WithCancel(context.Background())
	var hook agent.Hook
	if op.Plugin != nil {
		p, err := plugin.Load(*op.Plugin, a.loop.Now, a.Metrics, log)
		if err != nil {
			return nil, err
		}
		hook = p
	}
	memoryLimit := memoryLimitMB(cfg) << 20
	a.core = agent.New(a.loop, cfg.Settings, cfg.Seed, memoryLimit, a.Metrics, log, hook)
	link.SetPanicHandler(a.core.ReportPanic)
	maxConns := maxCallerConns(cfg.Sockets)
	a.callers = platform.NewCallers(a.core, log, cfg.Listen, maxConns*3/4, memoryLimit)
	var err error
	if cfg.InheritedFD > 0 {
		a.listener, err = link.Inherit(cfg.InheritedFD, maxConns, maxUnsentBytes(memoryLimit, maxConns), a.callers.Accept)
	} else {
		a.listener, err = link.Listen(cfg.Listen, maxConns, maxUnsentBytes(memoryLimit, maxConns), a.callers.Accept)
	}
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", cfg.Listen, err)
	}
	if cfg.Management != "" {
		if a.management, err = manage.Listen(cfg.Management, maxOperatorConns(cfg.Sockets), a, log); err != nil {
			a.listener.Close()
			return nil, fmt.Errorf("management: listen on %s: %w", cfg.Management, err)
		}
	}
	if op.MGCPListen != "" {
		if a.mgcpSocket, err = mgcp.Listen(op.MGCPListen); err != nil {
			a.listener.Close()
			a.closeManagement()
			return nil, fmt.Errorf("mgcp: listen on %s: %w", op.MGCPListen, err)
		}
	}
	a.loop.Post(func() { a.start(cfg, op) })
	return a, nil
}

// maxCallerConns returns the maximum number of caller connections: two thirds of the file descriptors. Callers normally use
// no more than one third, so two thirds is a sign of a fault, and the rest is needed for far ends.
func maxCallerConns(sockets int) int {
	if sockets <= 0 {
		sockets = 1024
	}
	return max(sockets*2/3, 16)
}

// maxOperatorConns returns the maximum number of operators' connections.
func maxOperatorConns(sockets int) int { return min(max(sockets/16, 8), 64) }

// maxUnsentBytes returns how many bytes may be queued for one caller that does not read, so that all callers together use no
// more than a quarter of the memory limit. Both sizes are in bytes.
func maxUnsentBytes(memory, conns int) int { return min(max(memory/4/conns, 16<<10), 256<<10) }

// memoryLimitMB returns the memory limit in MB. The default is the limit of the larger scored days.
func memoryLimitMB(cfg *config.Config) int {
	if cfg.MemoryMB <= 0 {
		return 192
	}
	return cfg.MemoryMB
}

// start runs on the loop. It opens the connections to far ends and the change log; health checks are answered with success
// once each far end has reported the state of its group.
func (a *App) start(cfg *config.Config, op *config.Operator) {
	remaining := 1
	partReady := func() {
		if remaining--; remaining == 0 {
			a.acceptCallers()
		}
	}
	for _, n := range knownFarEnds(cfg) {
		// The local exchange is in the list too, but no group leads to it, so its state is never reported. If it were
		// counted, a restarted agent would not be ready for a second.
		if n.Mode == tinbeam.Ready && n.ExchangeNumber != cfg.Settings.LocalExchange {
			remaining++
		}
	}
	a.farEnds = platform.NewFarEnds(a.core, a.log, cfg.ConnectTimeout, partReady)
	a.changeLog = platform.NewChangeLogClient(a.core, a.farEnds, a.log, cfg.Changelog, cfg.KnownSeq, cfg.KnownEvents)
	if a.mgcpSocket != nil {
		frontEnd := mgcp.New(a.core, a.log, op.MGCP, cfg.Seed, a.mgcpSocket.Send)
		go a.mgcpSocket.Serve(a.loop, a.Metrics, frontEnd.HandleDatagram)
	}
	partReady()
	a.loop.After(readyTimeout, a.acceptCallers)
	a.updateRuntimeGauges()
	if !a.listener.Inherited() {
		a.listener.Serve() // health checks wait until the agent is ready; on an inherited socket another process may answer them
	}
}

// updateRuntimeGauges updates the gauges on the Go runtime, now and then periodically.
func (a *App) updateRuntimeGauges() {
	a.Metrics.UpdateRuntime()
	a.loop.After(runtimeGaugeInterval, a.updateRuntimeGauges)
}

// acceptCallers starts to accept callers.
func (a *App) acceptCallers() {
	a.callers.SetReady()
	a.listener.Serve()
	a.once.ready.Do(func() { a.accepting.Store(true) })
}

// AcceptsCallers reports whether the agent accepts callers.
func (a *App) AcceptsCallers() bool { return a.accepting.Load() && !a.draining.Load() }

// Drain drains the callers, or accepts them again if on is false.
func (a *App) Drain(on bool) {
	if a.draining.Swap(on) == on {
		return
	}
	if on {
		a.Metrics.Drains.Inc()
	}
	a.log.Info("drain", zap.Bool("callers are sent away", on))
	a.loop.Post(func() {
		switch {
		case a.shuttingDown:
		case a.draining.Load():
			a.callers.Drain(&operatorDrain)
		default:
			a.callers.Drain(nil)
		}
	})
}

// stats holds the statistics that operators read, under their JSON names. Outstanding counts pending and established calls.
type stats struct {
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

// Stats returns the present statistics.
func (a *App) Stats() any {
	m := a.Metrics
	f := stats{Succeeded: map[string]int64{}, Declined: map[string]int64{}, Aborted: map[string]int64{},
		Forwards: m.Launches.Value(), Outstanding: m.Pending.Value() + m.Established.Value(), Discovered: m.FarEndsListed.Value(),
		Ejected: m.FarEndsAvoided.Value(), Applied: m.Reloads.Value(), Rejected: m.ReloadsFailed.Value()}
	for _, name := range m.Classes() {
		c := m.Class(name)
		f.Succeeded[name], f.Declined[name], f.Aborted[name] = c.Answered.Value(), c.Refused.Value(), c.Failed.Value()
	}
	return f
}

func (a *App) closeManagement() {
	if a.management != nil {
		a.management.Close()
	}
}

// knownFarEnds returns each far end in the state that the events in the configuration leave it in.
func knownFarEnds(cfg *config.Config) map[uint32]tinbeam.Entry {
	list := map[uint32]tinbeam.Entry{}
	for _, e := range cfg.KnownEvents {
		for _, n := range e.Entries {
			list[n.Switch] = n.Entry
		}
	}
	return list
}

// Addr returns the address that callers connect to.
func (a *App) Addr() string { return a.listener.Addr() }

// ManagementAddr returns the address of the operators' HTTP server, or "" if there is none.
func (a *App) ManagementAddr() string {
	if a.management == nil {
		return ""
	}
	return a.management.Addr()
}

// GatewayAddr returns the address that gateways send to, or "" if there is no MGCP front end.
func (a *App) GatewayAddr() string {
	if a.mgcpSocket == nil {
		return ""
	}
	return a.mgcpSocket.Addr().String()
}

// Run serves until Shutdown has completed or Kill is called.
func (a *App) Run() {
	var pushes sync.WaitGroup
	if a.remoteWriter != nil {
		pushes.Add(1)
		go func() {
			defer pushes.Done()
			a.remoteWriter.Run(a.ctx, a.Metrics, func(err error) { a.log.Warn("remote write failed", zap.Error(err)) })
		}()
	}
	a.loop.Run(a.ctx)
	a.listener.Close()
	a.closeManagement()
	if a.mgcpSocket != nil {
		a.mgcpSocket.Close()
	}
	pushes.Wait()
}

// Reload reads the configuration again, applies its settings, and follows the change log at the address that it names. The
// file is read on the goroutine that calls Reload, not on the loop. Calls, far ends and the sequence number of the last event
// are kept, and open calls keep their class. A file that cannot be used changes nothing. Changed addresses and limits take
// effect at the next start.
func (a *App) Reload(read func(present *config.Config) (*config.Config, error)) {
	c, err := read(a.cfg)
	if err != nil {
		a.Metrics.ReloadsFailed.Inc()
		a.log.Error("reload failed, all stays as it was", zap.Error(err))
		return
	}
	a.Metrics.Reloads.Inc()
	a.log.Info("configuration read anew", zap.String("changelog", c.Changelog))
	old := a.cfg
	if c.Listen != old.Listen || c.Management != old.Management || c.MemoryMB != old.MemoryMB || c.Sockets != old.Sockets {
		a.log.Warn("changed addresses and limits take effect at the next start")
	}
	a.cfg = c
	a.loop.Post(func() {
		if !reflect.DeepEqual(c.Settings, old.Settings) {
			a.core.Retune(c.Settings)
		}
		a.changeLog.SetAddress(c.Changelog)
	})
}

// Shutdown shuts the agent down in an orderly way. At first it still accepts calls, because calls in transit arrive until the
// callers have noticed. The agent ends when no call is pending or established and no release waits for a connection to a far end, and in any case before SIGKILL, which comes no
// earlier than 0.7 s after the longest deadline. Before that it refuses new calls. The connections to callers and to far ends
// are closed together: otherwise the agent could accept a request that it can no longer answer, or receive a release that it
// can no longer pass on.
func (a *App) Shutdown() {
	a.once.shutdown.Do(func() {
		a.once.ready.Do(func() {}) // from now on acceptCallers cannot set accepting
		a.accepting.Store(false)
		a.loop.Post(func() {
			a.shuttingDown = true
			longest, maxDeadline := time.Duration(0), maxShutdownDeadline
			if a.listener.Inherited() {
				// New connections belong to the other process that holds the socket. Without this, they would come to an
				// agent that is shutting down. Connected callers are still served, and drained once none of their set-ups is
				// pending.
				a.listener.StopAccepting()
				a.callers.Drain(&handoverDrain)
				maxDeadline = maxHandoverDeadline
			}
			for _, k := range a.core.Settings.Classes {
				longest = max(longest, min(k.HardLimit, maxDeadline))
			}
			var poll func()
			poll = func() {
				if a.core.OpenCalls() == 0 && a.callers.OpenCalls() == 0 && a.farEnds.WaitingReleases() == 0 {
					a.closeAll()
					return
				}
				a.loop.After(openCallsPollInterval, poll)
			}
			a.loop.After(minShutdownTime, poll)
			a.loop.After(longest+refuseDelay, a.callers.RefuseNewCalls)
			a.loop.After(longest+failPendingDelay, a.core.FailPending)
			a.loop.After(longest+closeDelay, a.closeAll)
		})
	})
}

// closeAll closes all connections and ends the agent. New set-ups are refused; connections are closed when nothing is under way on
// them, and the last ones with the end of the process.
func (a *App) closeAll() {
	if a.closing {
		return
	}
	a.closing = true
	a.listener.RejectNew()
	a.callers.RefuseNewCalls()
	a.farEnds.Close()
	a.loop.After(flushDelay, a.stop)
	busyUntil := a.loop.Now() + idleCloseTime
	var closeConnections func()
	closeConnections = func() {
		if a.callers.CloseConnections(a.loop.Now() >= busyUntil) == 0 {
			a.stop()
			return
		}
		a.loop.After(closeRetryInterval, closeConnections)
	}
	closeConnections()
}

// Kill stops the agent immediately.
func (a *App) Kill() { a.stop() }
