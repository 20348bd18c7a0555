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
	termStay   = 800 * time.Millisecond // callers' requests still come for 0.6 s after SIGTERM
	termMost   = 3 * time.Second        // a deadline beyond this counts as this: SIGKILL comes 0.7 s behind it
	termLeave  = 300 * time.Millisecond // after the longest deadline nothing more is taken: 0.4 s before SIGKILL
	termClear  = 550 * time.Millisecond // and what still has no answer gets it
	termOver   = 570 * time.Millisecond // and the connections close
	termFlush  = 50 * time.Millisecond  // and the agent ends, its last words with the kernel
	termLook   = 20 * time.Millisecond
)

// App is one call agent.
type App struct {
	M       *metrics.Set
	loop    *agent.Loop
	core    *agent.Core
	log     *zap.Logger
	cfg     *config.Config
	feed    *platform.Feed // set on the loop
	callers *platform.Callers
	fars    *platform.Fars // set on the loop
	ln      *link.Listener
	udp     *mgcp.Socket
	remote  *metrics.Remote
	once    sync.Once
	ctx     context.Context
	end     context.CancelFunc
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
	a.callers = platform.NewCallers(a.core, log, cfg.Listen, most*3/4, memory)
	var err error
	if a.ln, err = link.Listen(cfg.Listen, most, unreadMost(memory, most), a.callers.Accept); err != nil {
		return nil, fmt.Errorf("listen on %s: %w", cfg.Listen, err)
	}
	if op.MGCPListen != "" {
		if a.udp, err = mgcp.Listen(op.MGCPListen); err != nil {
			a.ln.Close()
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
			a.callers.Ready()
		}
	}
	for _, n := range listed(cfg) {
		// Guards against a slow start: the own exchange is in the list too, but no group leads to it and its state
		// never comes, so that a restarted agent would not be taken in for a second.
		if n.Mode == tinbeam.Ready && n.Place != cfg.Settings.Home {
			waits++
		}
	}
	a.fars = platform.NewFars(a.core, a.log, cfg.ConnectTimeout, ready)
	a.feed = platform.NewFeed(a.core, a.fars, a.log, cfg.Changelog, cfg.Seq, cfg.Known)
	if a.udp != nil {
		front := mgcp.New(a.core, a.log, op.MGCP, cfg.Seed, a.udp.Send)
		go a.udp.Serve(a.loop, a.M, front.Datagram)
	}
	ready()
	a.loop.After(readyAfter, a.callers.Ready)
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

// Term ends the agent in order. It goes on taking what comes, for calls in transit come until the others have noticed; it
// ends once nothing is left that waits or stands, and in time before SIGKILL, which comes 0.7 s after the longest deadline
// at the earliest. Ahead of that it takes no more; callers and far ends are let go together, so that no request is taken and no
// release heard that could not be answered or told.
func (a *App) Term() {
	a.once.Do(func() {
		a.loop.Post(func() {
			longest := time.Duration(0)
			for _, k := range a.core.Set.Classes {
				longest = max(longest, min(k.HardLimit, termMost))
			}
			over := func() {
				a.ln.Shut()
				a.fars.Close()
				a.callers.Close()
				a.loop.After(termFlush, a.end)
			}
			var look func()
			look = func() {
				if a.core.Held() == 0 && a.callers.Held() == 0 {
					over()
					return
				}
				a.loop.After(termLook, look)
			}
			a.loop.After(termStay, look)
			a.loop.After(longest+termLeave, a.callers.Leave)
			a.loop.After(longest+termClear, a.core.Clear)
			a.loop.After(longest+termOver, over)
		})
	})
}

// Kill ends the agent at once.
func (a *App) Kill() { a.end() }
