// Command standin2 plays the cases 6 to 10 of the review against the built program, on loopback addresses and the real clock. It holds
// the stand-ins for the platform, the callers, the far ends, the change log and a gateway.
//
//	standin2 CASE FOLDER
//
// CASE is a number or the name of a case.
//
// It is run from the root of the repository and writes record.txt in the folder. It exits with 0 if the rule held, 1 if it was broken,
// and 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"cmp"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// timeLimit ends a case that hangs.
const timeLimit = 110 * time.Second

// run is one run of a case: its record, and what has to be ended after it.
type run struct {
	trouble bool
	folder  string // temporary, for configurations and the program's files
	began   time.Time

	mu       sync.Mutex
	record   *os.File
	broken   int
	cleanups []func()
}

// note writes a line to the record, with the time since the start of the run.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (r *run) breaks(format string, args ...any) {
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
	r.note("BROKEN: "+format, args...)
}

// atEnd has fn called at the end of the run.
func (r *run) atEnd(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, fn)
}

// cannotRun is the panic of a case that could not run.
type cannotRun struct{ reason string }

// need ends the run as one that could not run, unless the condition holds.
func (r *run) need(condition bool, format string, args ...any) {
	if !condition {
		panic(cannotRun{fmt.Sprintf(format, args...)})
	}
}

// cases are the bodies of the cases by name.
var cases = map[string]func(*run){}

// numbers are the names of the cases that the review hands in. What the others show is in the report.
var numbers = map[string]string{"6": "silentfar", "7": "zone", "8": "upgrade", "9": "mgcpterm", "10": "from"}

func main() {
	if len(os.Args) != 3 || cases[cmp.Or(numbers[os.Args[1]], os.Args[1])] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[cmp.Or(numbers[os.Args[1]], os.Args[1])], os.Args[2]))
}

// play runs a case and returns the exit status.
func play(body func(*run), folder string) (status int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	temporary, err := os.MkdirTemp("", "standin2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", folder: temporary, began: time.Now(), record: record}
	r.note("disruption: %t", r.trouble)
	done := make(chan int, 1)
	go func() {
		status := 2
		defer func() {
			if p := recover(); p != nil {
				reason, known := p.(cannotRun)
				if !known {
					panic(p)
				}
				r.note("the case could not run: %s", reason.reason)
				fmt.Fprintln(os.Stderr, "could not run:", reason.reason)
			}
			done <- status
		}()
		body(r)
		r.mu.Lock()
		status = min(r.broken, 1)
		r.mu.Unlock()
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case status = <-done:
	case <-interrupted:
		r.note("the case could not run: it was interrupted")
		status = 2
	case <-time.After(timeLimit):
		r.note("the case could not run: it did not end in time")
		status = 2
	}
	r.mu.Lock()
	cleanups := r.cleanups
	r.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	_ = os.RemoveAll(temporary)
	r.note("exit status %d", status)
	fmt.Printf("exit status %d: %s\n", status, [...]string{"the rule held", "the rule was broken", "the case could not run"}[status])
	return status
}
