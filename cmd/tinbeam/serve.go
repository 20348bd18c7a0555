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
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"tinbeam/internal/app"
	"tinbeam/internal/config"
	"tinbeam/internal/metrics"
)

// linesBeforeSampling is how many lines with the same text are logged in a second; of more, one of as many is.
const linesBeforeSampling = 100

// newLog returns a logger that writes JSON lines of at least the given level to the writer.
func newLog(level string, out zapcore.WriteSyncer) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), out, parsed)
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, linesBeforeSampling, linesBeforeSampling)
	return zap.New(sampled, zap.AddCaller(), zap.AddStacktrace(zapcore.ErrorLevel)), nil
}

// setRuntimeLimits adapts the Go runtime to the machine, which has one core. The Go memory limit is well below the memory limit
// of the process, because memory held by the kernel and the stacks counts towards the latter too.
func setRuntimeLimits(memoryMB int) {
	if memoryMB <= 0 {
		memoryMB = 192
	}
	debug.SetMemoryLimit(int64(memoryMB) << 20 * 6 / 10)
	runtime.GOMAXPROCS(2) // one for the core's goroutine and one for the network poller, which would otherwise wait for it
}

func loadConfig(o options) (*config.Config, *config.Operator, error) {
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
	c, op, err := loadConfig(o)
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

// serve runs the agent until it has shut down. SIGTERM and SIGINT start the shutdown, SIGHUP reloads the configuration, and
// SIGUSR1 prints the counters, which are also printed at the end.
func serve(o options, out io.Writer) error {
	signals := catchSignals()
	cfg, op, err := loadConfig(o)
	if err != nil {
		return err
	}
	signal.Ignore(syscall.SIGPIPE) // else a write to standard error without a reader would end the process
	counters := metrics.New()
	log, err := newLog(o.level, newLogWriter(os.Stderr, counters.LogDropped))
	if err != nil {
		return err
	}
	defer log.Sync()
	log = log.With(zap.String("agent", cfg.Name))
	setRuntimeLimits(cfg.MemoryMB)
	a, err := app.New(cfg, op, counters, log)
	if err != nil {
		return err
	}
	go signals.handle(a, out, log, o.config)
	a.Run()
	a.Metrics.Print(out)
	return nil
}
