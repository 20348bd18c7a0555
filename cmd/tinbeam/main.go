// Command tinbeam runs the call agent. Its sub-commands also check a configuration and list the metrics.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"github.com/spf13/pflag"
)

const usage = `tinbeam is a call agent: it routes calls over circuit groups and gaps them where processors are pressed.

  tinbeam serve [flags]           run the call agent (what is done without a sub-command)
  tinbeam check-config [flags]    read the configuration, say what it holds, and end
  tinbeam metrics                 list the counters with what they count
  tinbeam version                 print the version

Flags of serve and check-config:
`

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "tinbeam:", err)
		os.Exit(1)
	}
}

type options struct {
	config, operator, level string
}

func run(args []string, out io.Writer) error {
	var o options
	flags := pflag.NewFlagSet("tinbeam", pflag.ContinueOnError)
	flags.SetOutput(out)
	flags.StringVarP(&o.config, "config", "c", os.Getenv("BALANCER_CONFIG"), "the platform's configuration")
	flags.StringVarP(&o.operator, "operator", "o", os.Getenv("TINBEAM_OPERATOR"), "the operator's file, if any")
	flags.StringVarP(&o.level, "log-level", "l", "info", "debug, info, warn or error")
	flags.Usage = func() { fmt.Fprint(out, usage, flags.FlagUsages()) }
	if err := flags.Parse(args); errors.Is(err, pflag.ErrHelp) {
		return nil
	} else if err != nil {
		return err
	}
	command := "serve"
	if flags.NArg() > 1 {
		return fmt.Errorf("one sub-command at a time, not %q", flags.Args())
	} else if flags.NArg() == 1 {
		command = flags.Arg(0)
	}
	switch command {
	case "serve":
		return serve(o, out)
	case "check-config":
		return checkConfig(o, out)
	case "metrics":
		return listMetrics(out)
	case "version":
		info, ok := debug.ReadBuildInfo()
		if !ok {
			return errors.New("this build has no version information")
		}
		fmt.Fprintln(out, "tinbeam", info.Main.Version, info.GoVersion)
		return nil
	case "help":
		flags.Usage()
		return nil
	}
	return fmt.Errorf("unknown sub-command %q: see tinbeam help", command)
}
