// Package app puts the parts of the call agent together: one loop, the core on it, and the fronts before it.
package app

import (
	"context"
	"fmt"
	"reflect"
	"sync"
	"time"

	"go.uber.org/zap"

	"tinbeam"
	"tinbeam/internal/agent"
	"tinbeam/internal/config"
	"tinbeam/internal/link"
	"tinbeam/internal/metrics"
	"tinbeam/internal/mgcp"
	"tinbeam/internal/platform"
	"tinbeam/internal/plugin"
)

const (
	readyAfter = time.Second            // the agent takes calls at the latest then, whatever it could reach
	termStay   = 800 * time.Millisecond // what still comes after SIGTERM comes within 0.6 s; it is taken and answered
	termLast   = 600 * time.Millisecond // from SIGTERM until the last request comes
	termMost   = 3 * time.Second        // what still has no answer so long after that gets one: SIGKILL comes 0.1 s later
)

// App is one call agent.
type App struct {
	M      *metrics.Set
	loop   *agent.Loop
	core   *agent.Core
	log    *zap.Logger
	cfg    *config.Config
	feed   *platform.Feed // set on the loop
	ln     *link.Listener
	udp    *mgcp.Socket
	remote *metrics.Remote
	once   sync.Once
	ctx    context.Context
	end    context.CancelFunc
}

// New opens the sockets and sets all up; nothing is handled before Run.
func New(cfg *config.Config, op *config.Operator, log *zap.Logger) (*App, error) {
	a := &App{M: metrics.New(), loop: agent.NewLoop(agent.SystemClock()), log: log, cfg: cfg, remote: op.Remote}
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
	callers := platform.NewCallers(a.core, log, cfg.Listen, most*3/4, memory)
	var err error
	if a.ln, err = link.Listen(cfg.Listen, most, unreadMost(memory, most), callers.Accept); err != nil {
		return nil, fmt.Errorf("listen on %s: %w", cfg.Listen, err)
	}
	if op.MGCPListen != "" {
		if a.udp, err = mgcp.Listen(op.MGCPListen); err != nil {
			a.ln.Close()
			return nil, fmt.Errorf("mgcp: listen on %s: %w", op.MGCPListen, err)
		}
	}
	a.loop.Post(func() { a.begin(cfg, op, callers) })
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
func (a *App) begin(cfg *config.Config, op *config.Operator, callers *platform.Callers) {
	waits := 1
	ready := func() {
		if waits--; waits == 0 {
			callers.Ready()
		}
	}
	for _, n := range listed(cfg) {
		// Guards against a slow start: the own exchange is in the list too, but no group leads to it and its state
		// never comes, so that a restarted agent would not be taken in for a second.
		if n.Mode == tinbeam.Ready && n.Place != cfg.Settings.Home {
			waits++
		}
	}
	fars := platform.NewFars(a.core, a.log, cfg.ConnectTimeout, ready)
	a.feed = platform.NewFeed(a.core, fars, a.log, cfg.Changelog, cfg.Seq, cfg.Known)
	if a.udp != nil {
		front := mgcp.New(a.core, a.log, op.MGCP, cfg.Seed, a.udp.Send)
		go a.udp.Serve(a.loop, a.M, front.Datagram)
	}
	ready()
	a.loop.After(readyAfter, callers.Ready)
}

// listed is each far end as the events of the start leave it.
func listed(cfg *config.Config) map[uint32]tinbeam.Entry {
	list := map[uint32]tinbeam.Entry{}
	for _, e := range cfg.Known {
		for _, n := range e.Entries {
			list[n.Switch] = n.Entry
		}
	}
	return list
}

// Addr is where callers connect.
func (a *App) Addr() string { return a.ln.Addr() }

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
	if a.udp != nil {
		a.udp.Close()
	}
	pushes.Wait()
}

// Reload reads the configuration anew and follows the change log that it names. It reads on the caller's goroutine,
// beside the loop. Calls, far ends and the number of the last event held stay as they are; a file that cannot be used
// changes nothing. What else the file holds is for the next start.
func (a *App) Reload(read func() (*config.Config, error)) {
	c, err := read()
	if err != nil {
		a.M.ReloadsFailed.Inc()
		a.log.Error("reload failed, all stays as it was", zap.Error(err))
		return
	}
	a.M.Reloads.Inc()
	a.log.Info("configuration read anew", zap.String("changelog", c.Changelog))
	old := a.cfg
	if c.Listen != old.Listen || c.MemoryMB != old.MemoryMB || c.Sockets != old.Sockets ||
		!reflect.DeepEqual(c.Settings, old.Settings) {
		a.log.Warn("the address, the limits and the settings hold until the next start")
	}
	a.loop.Post(func() { a.feed.Move(c.Changelog) })
}

// Term ends the agent in order: it goes on taking what comes for as long as something may come, answers all that it
// took, and ends.
func (a *App) Term() {
	a.once.Do(func() {
		a.loop.Post(func() {
			stayed := false
			leave := func() {
				if stayed && a.core.Owed() == 0 {
					a.loop.After(50*time.Millisecond, a.end) // the last answers are on their way to the kernel
				}
			}
			a.core.WhenIdle(leave)
			a.loop.After(termStay, func() { stayed = true; leave() })
			// Guards against SIGKILL, which comes 0.7 s after the longest deadline at the earliest, 3 s where that is longer.
			longest := time.Duration(0)
			for _, k := range a.core.Set.Classes {
				longest = max(longest, k.HardLimit)
			}
			a.loop.After(termLast+min(longest, termMost), a.core.Clear)
		})
	})
}

// Kill ends the agent at once.
func (a *App) Kill() { a.end() }
