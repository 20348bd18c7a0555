package faultrig

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
)

const (
	seedsVariable  = "FAULTRIG_SEEDS" // number of seeds that TestSoak plays
	defaultSeeds   = 1
	soakFirstSeed  = 1
	soakConcurrent = 4 // runs at a time
)

// Under faults the built program must keep every rule of the protocol: each seed is a trial with real processes.
func TestSoak(t *testing.T) {
	seeds := defaultSeeds
	if v := os.Getenv(seedsVariable); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil {
			t.Fatalf("%s: %v", seedsVariable, err)
		}
		seeds = n
	}
	binary := filepath.Join(t.TempDir(), "tinbeam")
	if out, err := exec.Command("go", "build", "-o", binary, "tinbeam/cmd/tinbeam").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	records, err := os.MkdirTemp("", "faultrig-") // kept after the test, for the traces
	if err != nil {
		t.Fatal(err)
	}
	slots := make(chan struct{}, soakConcurrent)
	var runs sync.WaitGroup
	for i := range seeds {
		slots <- struct{}{}
		runs.Add(1)
		go func() {
			defer runs.Done()
			defer func() { <-slots }()
			result, err := Run(NewPlan(uint64(soakFirstSeed+i)), binary, records)
			if err != nil {
				t.Errorf("seed %d: %v", soakFirstSeed+i, err)
			} else if len(result.Violations) > 0 {
				t.Error(result.Report())
			}
		}()
	}
	runs.Wait()
}
