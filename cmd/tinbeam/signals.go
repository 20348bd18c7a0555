package main

import (
	"io"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"tinbeam/internal/app"
	"tinbeam/internal/config"
)

// signalChannels holds a channel for each purpose of a signal. The runtime drops a signal whose channel is full: with channels of
// their own, no series of signals for one purpose can displace another. Each holds one signal, since a signal that waits stands
// for those that follow it.
type signalChannels struct {
	terminate, reload, print chan os.Signal
}

// catchSignals catches the signals from now on.
func catchSignals() signalChannels {
	s := signalChannels{make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.print, syscall.SIGUSR1)
	return s
}

// handle acts on the signals until the process ends. Printing and reloading may take long, and must not delay a shutdown.
func (s signalChannels) handle(a *app.App, out io.Writer, log *zap.Logger, path string) {
	go func() {
		for range s.print {
			a.Metrics.Print(out)
		}
	}()
	go func() {
		for range s.reload {
			a.Reload(func(present *config.Config) (*config.Config, error) { return config.Reload(path, present) })
		}
	}()
	for received := range s.terminate {
		log.Info("shutting down", zap.String("signal", received.String()))
		a.Shutdown()
	}
}
