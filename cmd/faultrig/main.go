// Command faultrig plays seeded trials with faults against the built program and reports each rule that a trial breaks.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"

	"github.com/spf13/pflag"

	"tinbeam/internal/faultrig"
)

type options struct {
	binary, records string
	seed            uint64
	runs, parallel  int
}

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "faultrig:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	var o options
	flags := pflag.NewFlagSet("faultrig", pflag.ContinueOnError)
	flags.SetOutput(out)
	flags.StringVarP(&o.binary, "binary", "b", "bin/tinbeam", "the program that is tested")
	flags.StringVarP(&o.records, "records", "r", "", "directory for records and logs; the default is a new temporary one")
	flags.Uint64VarP(&o.seed, "seed", "s", 1, "seed of the first run; each further run has the next one")
	flags.IntVarP(&o.runs, "runs", "n", 1, "number of runs, of 15 to 25 s each")
	flags.IntVarP(&o.parallel, "parallel", "p", 1, "runs at a time")
	if err := flags.Parse(args); errors.Is(err, pflag.ErrHelp) {
		return nil
	} else if err != nil {
		return err
	}
	if o.records == "" {
		dir, err := os.MkdirTemp("", "faultrig-")
		if err != nil {
			return err
		}
		o.records = dir
	}
	return playAll(o, out)
}

// playAll plays all runs and reports them as they end. It returns an error if a run failed or broke a rule.
func playAll(o options, out io.Writer) error {
	var mu sync.Mutex
	var all sync.WaitGroup
	clean, broken := 0, 0
	slots := make(chan struct{}, max(o.parallel, 1))
	for i := range o.runs {
		slots <- struct{}{}
		all.Add(1)
		go func() {
			defer all.Done()
			defer func() { <-slots }()
			result, err := faultrig.Run(faultrig.NewPlan(o.seed+uint64(i)), o.binary, o.records)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				broken++
				fmt.Fprintf(out, "seed %d: %v\n", o.seed+uint64(i), err)
				return
			}
			if len(result.Violations) > 0 {
				broken++
			} else {
				clean++
			}
			fmt.Fprint(out, result.Report())
		}()
	}
	all.Wait()
	fmt.Fprintf(out, "%d runs without a violation, %d with\n", clean, broken)
	if broken > 0 {
		return fmt.Errorf("%d of %d runs broke a rule", broken, o.runs)
	}
	return nil
}
