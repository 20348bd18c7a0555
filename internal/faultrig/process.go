package faultrig

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The signals, as SignalSent events name them.
const (
	signalTerminate = "SIGTERM"
	signalKill      = "SIGKILL after SIGTERM"
	signalCrash     = "SIGKILL"
	signalReload    = "SIGHUP"
)

const sampleInterval = 50 * time.Millisecond

// process is one agent: the program that is tested, its configuration, and its present process.
type process struct {
	name     string
	binary   string
	dir      string
	recorder *Recorder
	config   agentConfig
	operator string // path of the operator's file; "": there is none

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{} // closed when the present process has ended
	starts  int
}

func (p *process) configPath() string { return filepath.Join(p.dir, p.name+".json") }

// writeConfig replaces the configuration file as a whole.
func (p *process) writeConfig() error {
	b, err := json.MarshalIndent(p.config, "", " ")
	if err != nil {
		return err
	}
	temporary := p.configPath() + ".new"
	if err := os.WriteFile(temporary, b, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, p.configPath())
}

// writeBadConfig leaves a configuration file that is cut short, as one that is being written.
func (p *process) writeBadConfig() error {
	b, err := json.Marshal(p.config)
	if err != nil {
		return err
	}
	return os.WriteFile(p.configPath(), b[:len(b)/2], 0o600)
}

// start starts the program.
func (p *process) start() error {
	if err := p.writeConfig(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	output, err := os.Create(filepath.Join(p.dir, fmt.Sprintf("%s-%d.log", p.name, p.starts)))
	if err != nil {
		return err
	}
	defer output.Close()
	arguments := []string{"serve", "--config", p.configPath(), "--log-level", "debug"}
	if p.operator != "" {
		arguments = append(arguments, "--operator", p.operator)
	}
	command := exec.Command(p.binary, arguments...)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.recorder.Add(Event{Kind: ProcessStarted, Agent: p.name})
	if err := command.Start(); err != nil {
		return err
	}
	p.command, p.ended = command, make(chan struct{})
	go p.watch(command, p.ended)
	go p.sample(command.Process.Pid, p.ended)
	return nil
}

// watch records the end of a process.
func (p *process) watch(command *exec.Cmd, ended chan struct{}) {
	_ = command.Wait()
	state := command.ProcessState
	status := int64(state.ExitCode())
	if wait, ok := state.Sys().(syscall.WaitStatus); ok && wait.Signaled() &&
		(wait.Signal() == syscall.SIGKILL || wait.Signal() == syscall.SIGTERM) {
		status = 0 // by the rig; a process that ends after SIGTERM has not crashed, in whatever way
	}
	p.recorder.Add(Event{Kind: ProcessEnded, Agent: p.name, Value: status, Note: state.String()})
	close(ended)
}

// sample records the peaks of a process's memory and descriptors whenever they rise.
func (p *process) sample(pid int, ended chan struct{}) {
	var memory int64
	descriptors := 0
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		m, d := peakMemory(pid), openDescriptors(pid)
		if m > memory || d > descriptors {
			memory, descriptors = max(memory, m), max(descriptors, d)
			p.recorder.Add(Event{Kind: ResourceUse, Agent: p.name, Value: memory, Descriptors: descriptors})
		}
	}
}

// peakMemory returns the peak of a process's resident memory in bytes, or 0 if it has ended.
func peakMemory(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

func openDescriptors(pid int) int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(list)
}

// signal sends a signal to the present process and records it under the name given.
func (p *process) signal(s syscall.Signal, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	select {
	case <-p.ended:
		return
	default:
	}
	p.recorder.Add(Event{Kind: SignalSent, Agent: p.name, Note: name})
	_ = p.command.Process.Signal(s)
}

// waitEnded waits until the present process has ended, or a time has passed.
func (p *process) waitEnded(timeout time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}
