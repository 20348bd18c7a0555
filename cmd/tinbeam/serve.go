package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"tinbeam/internal/app"
	"tinbeam/internal/config"
	"tinbeam/internal/metrics"
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

func load(o options) (*config.Config, *config.Operator, error) {
	if o.config == "" {
		return nil, nil, errors.New("no configuration: name one with --config or BALANCER_CONFIG")
	}
	cfg, err := config.Load(o.config)
	if err != nil {
		return nil, nil, err
	}
	op, err := config.LoadOperator(o.operator, cfg)
	return cfg, op, err
}

func checkConfig(o options, out io.Writer) error {
	c, op, err := load(o)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s listens on %s; own number %d of %d, %d classes, %d events known, change log %q\n",
		c.Name, c.Listen, c.Settings.ReplicaIndex, c.Settings.Replicas, len(c.Settings.Classes), len(c.KnownEvents), c.Changelog)
	if op.MGCPListen != "" {
		fmt.Fprintf(out, "mgcp listens on %s for %d gateways\n", op.MGCPListen, len(op.MGCP.Gateways))
	}
	if op.RemoteWrite != nil {
		fmt.Fprintf(out, "remote write to %s\n", op.RemoteWrite.URL)
	}
	if op.Plugin != nil {
		fmt.Fprintf(out, "plug-in %s\n", op.Plugin.Path)
	}
	return nil
}

func listMetrics(out io.Writer) error {
	for _, c := range metrics.New().All() {
		fmt.Fprintf(out, "%-36s %s\n", c.Name, c.Help)
	}
	return nil
}

// serve runs the agent. The counters are printed on SIGUSR1 and at the end; SIGHUP reads the configuration anew.
func serve(o options, out io.Writer) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	cfg, op, err := load(o)
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
	a, err := app.New(cfg, op, log)
	if err != nil {
		return err
	}
	go func() {
		for s := range signals {
			switch s {
			case syscall.SIGUSR1:
				a.Metrics.Print(out)
			case syscall.SIGHUP:
				a.Reload(func(present *config.Config) (*config.Config, error) { return config.Reload(o.config, present) })
			default:
				log.Info("ending", zap.String("signal", s.String()))
				a.Shutdown()
			}
		}
	}()
	a.Run()
	a.Metrics.Print(out)
	return nil
}
