// Command standin plays one case of the review: it starts the agent with the commands of the deploy file, plays the callers, far
// ends, gateways and the platform around it, writes what they see to record.txt, and judges one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// The results of a case, used as exit status.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// cases are the plays by name. Each returns its result.
var cases = map[string]func(r *record, trouble bool) (int, error){}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return cannotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return cannotRun
	}
	defer r.close()
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("play", "case %s, trouble %v", os.Args[1], trouble)
	defer stopAll()
	time.AfterFunc(110*time.Second, func() {
		r.add("play", "the play did not end in time")
		stopAll()
		os.Exit(cannotRun)
	})
	result, err := cases[os.Args[1]](r, trouble)
	if err != nil {
		r.add("play", "the case could not run: %v", err)
		return cannotRun
	}
	r.add("play", "result %d", result)
	return result
}
