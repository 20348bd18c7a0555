package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"tinbeam"
	"tinbeam/internal/agent"
	"tinbeam/internal/config"
	"tinbeam/internal/link"
	"tinbeam/internal/metrics"
	"tinbeam/internal/platform"
)

const (
	readyAfter = time.Second            // the agent takes calls at the latest then, whatever it could reach
	termStay   = 800 * time.Millisecond // what still comes after SIGTERM comes within 0.6 s; it is taken and answered
	termMost   = 12 * time.Second       // longer than any deadline: SIGKILL will have come
)

func newLog(level string) (*zap.Logger, error) {
	cfg := zap.NewProductionConfig()
	lv, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	cfg.Level = zap.NewAtomicLevelAt(lv)
	cfg.OutputPaths, cfg.ErrorOutputPaths = []string{"stderr"}, []string{"stderr"}
	return cfg.Build()
}

// limits fits the runtime to the machine: one core, and a heap well under the limit on memory, since what the kernel
// and the stacks hold counts too.
func limits(memoryMB int) {
	if memoryMB <= 0 {
		memoryMB = 192
	}
	debug.SetMemoryLimit(int64(memoryMB) << 20 * 6 / 10)
	runtime.GOMAXPROCS(2) // one for the core's goroutine, one for the poller, which would else wait for it
}

func load(o options) (*config.Config, error) {
	if o.config == "" {
		return nil, errors.New("no configuration: name one with --config or BALANCER_CONFIG")
	}
	return config.Load(o.config)
}

func checkConfig(o options, out io.Writer) error {
	c, err := load(o)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s listens on %s; own number %d of %d, %d classes, %d events known, change log %q\n",
		c.Name, c.Listen, c.Settings.Index, c.Settings.Replicas, len(c.Settings.Classes), len(c.Known), c.Changelog)
	return nil
}

func listMetrics(out io.Writer) error {
	for _, c := range metrics.New().All() {
		fmt.Fprintf(out, "%-40s %s\n", c.Name, c.Help)
	}
	return nil
}

func serve(o options, out io.Writer) error {
	cfg, err := load(o)
	if err != nil {
		return err
	}
	log, err := newLog(o.level)
	if err != nil {
		return err
	}
	defer log.Sync()
	log = log.With(zap.String("agent", cfg.Name))
	limits(cfg.MemoryMB)

	m := metrics.New()
	loop := agent.NewLoop(agent.SystemClock())
	core := agent.New(loop, cfg.Settings, cfg.Seed, m, log, nil)
	callers := platform.NewCallers(core, log, cfg.Listen)
	ln, err := link.Listen(cfg.Listen, callers.Accept)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", cfg.Listen, err)
	}
	defer ln.Close()

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loop.Post(func() {
		waits := 1
		ready := func() {
			if waits--; waits == 0 {
				callers.Ready()
			}
		}
		fars := platform.NewFars(core, log, cfg.ConnectTimeout, ready)
		for _, n := range standing(cfg) {
			if n == tinbeam.Ready {
				waits++
			}
		}
		platform.NewFeed(core, fars, log, cfg.Changelog, cfg.Seq, cfg.Known)
		ready()
		loop.After(readyAfter, callers.Ready)
	})
	go signals(loop, core, m, out, log, cancel)
	loop.Run(ctx)
	m.Print(out)
	return nil
}

// standing is the state of each far end after the events of the start.
func standing(cfg *config.Config) map[uint32]tinbeam.Mode {
	modes := map[uint32]tinbeam.Mode{}
	for _, e := range cfg.Known {
		for _, n := range e.Entries {
			modes[n.Switch] = n.Mode
		}
	}
	return modes
}

// signals prints the counters on SIGUSR1. On SIGTERM or an interrupt the agent goes on taking what comes for as long as
// something may come, answers all that it took, and ends.
func signals(loop *agent.Loop, core *agent.Core, m *metrics.Set, out io.Writer, log *zap.Logger, end func()) {
	c := make(chan os.Signal, 4)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	for s := range c {
		if s == syscall.SIGUSR1 {
			m.Print(out)
			continue
		}
		log.Info("ending", zap.String("signal", s.String()))
		loop.Post(func() {
			stayed := false
			leave := func() {
				if stayed && core.Owed() == 0 {
					loop.After(50*time.Millisecond, end) // the last answers are on their way to the kernel
				}
			}
			core.WhenIdle(leave)
			loop.After(termStay, func() { stayed = true; leave() })
			loop.After(termMost, end)
		})
	}
}
