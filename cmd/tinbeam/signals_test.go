package main

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestMain runs the program itself instead of the tests if the environment says so.
func TestMain(m *testing.M) {
	if os.Getenv("TINBEAM_TEST_RUN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// program is a process of the program.
type program struct {
	*os.Process
	log   *os.File              // the reading end of its standard error
	ended chan *os.ProcessState // receives its state when it has ended
}

// startProgram starts the program as a process of its own and waits until it is running.
func startProgram(t *testing.T) *program {
	t.Helper()
	raw, err := os.ReadFile("../../deploy/config.json")
	if err != nil {
		t.Fatal(err)
	}
	config := filepath.Join(t.TempDir(), "config.json")
	text := addrSetting.ReplaceAllString(string(raw), `"$1": "127.0.0.1:0"`)
	if err := os.WriteFile(config, []byte(strings.Replace(text, `"management": "127.0.0.1:0"`, `"management": ""`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(os.Args[0], "serve", "-c", config, "-l", "debug")
	command.Env = append(os.Environ(), "TINBEAM_TEST_RUN=1")
	command.Stderr = write
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	write.Close()
	p := &program{command.Process, read, make(chan *os.ProcessState, 1)}
	waited := make(chan struct{})
	go func() {
		_ = command.Wait()
		p.ended <- command.ProcessState
		close(waited)
	}()
	t.Cleanup(func() {
		_ = p.Kill()
		<-waited
		read.Close()
	})
	if _, err := bufio.NewReader(read).ReadString('\n'); err != nil { // its first line says that it is running
		t.Fatal(err)
	}
	return p
}

// waitEnded waits until the program has ended, and returns its state; nil: it has not.
func (p *program) waitEnded(timeout time.Duration) *os.ProcessState {
	select {
	case state := <-p.ended:
		return state
	case <-time.After(timeout):
		return nil
	}
}

// Guards against a shutdown that never begins: a SIGTERM behind a burst of other signals must not be dropped.
func TestTerminateBehindOtherSignals(t *testing.T) {
	for range 5 {
		p := startProgram(t)
		go func() { _, _ = bufio.NewReader(p.log).WriteTo(discard{}) }()
		for range 200 {
			_ = p.Signal(syscall.SIGHUP)
			_ = p.Signal(syscall.SIGUSR1)
		}
		_ = p.Signal(syscall.SIGTERM)
		if state := p.waitEnded(8 * time.Second); state == nil || !state.Success() {
			t.Fatalf("after SIGTERM: %v", state)
		}
	}
}

// discard is a writer that keeps nothing.
type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

// Guards against a process that ends by itself: the reader of its log may go away, and the next line must not kill it.
func TestReaderOfLogGoesAway(t *testing.T) {
	p := startProgram(t)
	p.log.Close()
	for range 20 {
		_ = p.Signal(syscall.SIGHUP) // each one is logged
		time.Sleep(10 * time.Millisecond)
	}
	if state := p.waitEnded(300 * time.Millisecond); state != nil {
		t.Fatalf("ended by itself: %v", state)
	}
}

// Guards against an agent that hangs with its log: if the reader of its log stops reading, the agent goes on, and shuts down.
func TestReaderOfLogHangs(t *testing.T) {
	p := startProgram(t)
	const pipeSize = 4096
	if _, err := unix.FcntlInt(p.log.Fd(), unix.F_SETPIPE_SZ, pipeSize); err != nil {
		t.Fatal(err)
	}
	for range 100 { // each one is logged, which fills the pipe
		_ = p.Signal(syscall.SIGHUP)
		time.Sleep(2 * time.Millisecond)
	}
	_ = p.Signal(syscall.SIGTERM)
	if state := p.waitEnded(8 * time.Second); state == nil || !state.Success() {
		t.Fatalf("after SIGTERM: %v", state)
	}
}
