package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// agent is one process of the call agent.
type agent struct {
	name       string
	record     *record
	command    *exec.Cmd
	management string
	ended      chan struct{} // closed when the process has ended
	endedAt    time.Duration // valid once ended is closed
}

// agentOptions say how an agent is started.
type agentOptions struct {
	name, listen, management, dir string
	config                        map[string]any
	operator                      string   // path of the operator's file; "": none
	passed                        *os.File // the callers' listening socket, if the platform holds it
}

var (
	runningMu sync.Mutex
	running   []*agent
)

// stopAll kills all agents that still run.
func stopAll() {
	runningMu.Lock()
	defer runningMu.Unlock()
	for _, a := range running {
		a.signal(syscall.SIGKILL)
	}
	for _, a := range running {
		select {
		case <-a.ended:
		case <-time.After(2 * time.Second):
		}
	}
	running = nil
}

// runCommand returns the value of run in the deploy file.
func runCommand() (string, error) {
	b, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run *= *"([^"]*)"`).FindSubmatch(b)
	if m == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no run")
	}
	return string(m[1]), nil
}

// startAgent starts an agent as the platform does.
func startAgent(r *record, o agentOptions) (*agent, error) {
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	o.config["name"], o.config["listen"], o.config["management"] = o.name, o.listen, o.management
	o.config["seed"] = fmt.Sprintf("%016x", time.Now().UnixNano())
	b, err := json.MarshalIndent(o.config, "", " ")
	if err != nil {
		return nil, err
	}
	label := o.name + "-" + strings.TrimPrefix(o.management, "127.0.0.1:")
	path := filepath.Join(o.dir, label+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(o.dir, label+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	a := &agent{name: label, record: r, management: o.management, ended: make(chan struct{})}
	a.command = exec.Command("/bin/sh", "-c", run)
	a.command.Stdout, a.command.Stderr = log, log
	a.command.Env = append(os.Environ(), "BALANCER_NAME="+o.name, "BALANCER_LISTEN="+o.listen,
		"BALANCER_MANAGEMENT="+o.management, "BALANCER_CONFIG="+path, "TMPDIR="+o.dir, "BALANCER_PASSED_SOCKET=", "TINBEAM_OPERATOR="+o.operator)
	if o.passed != nil {
		a.command.ExtraFiles = []*os.File{o.passed}
		a.command.Env = append(a.command.Env, "BALANCER_PASSED_SOCKET=3")
	}
	a.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := a.command.Start(); err != nil {
		return nil, err
	}
	r.add("platform", "started %s as process %d", a.name, a.command.Process.Pid)
	runningMu.Lock()
	running = append(running, a)
	runningMu.Unlock()
	go func() {
		_ = a.command.Wait()
		a.endedAt = r.add("platform", "%s ended: %v", a.name, a.command.ProcessState)
		close(a.ended)
	}()
	return a, nil
}

// signal sends a signal to the process if it still runs.
func (a *agent) signal(s syscall.Signal) {
	select {
	case <-a.ended:
	default:
		a.record.add("platform", "%v to %s", s, a.name)
		_ = a.command.Process.Signal(s)
	}
}

// waitReady waits until the agent says that it takes clients.
func (a *agent) waitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-a.ended:
			return fmt.Errorf("%s ended before it was ready", a.name)
		default:
		}
		if res, err := client.Get("http://" + a.management + "/ready"); err == nil {
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			if res.StatusCode/100 == 2 {
				a.record.add("platform", "%s is ready", a.name)
				return nil
			}
		}
	}
	return fmt.Errorf("%s was not ready within %v", a.name, limit)
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(network string) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// settings returns settings with the classes, times and rules of the site midshires-dealing, for exchange 0 of a few.
func settings() map[string]any {
	class := func(name string, aim, limit, gain float64) map[string]any {
		return map[string]any{"name": name, "aim": aim, "hardLimit": limit, "gain": gain, "lateValue": 0.25, "idempotency": "free",
			"group": "all", "streamed": true, "window": 5.0}
	}
	return map[string]any{
		"index": 0, "replicasOfMe": 4, "zone": 0, "azs": []string{"birmingham", "nottingham", "leicester"}, "discovery": "pushed",
		"classes": []any{class("order-status", 2, 9, 1), class("basket-replace", 1.5, 9, 2), class("cancel-all", 1.2, 6, 8)},
		"blend":   map[string]any{"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.4},
		"charges": map[string]any{"lateFail": 0.1, "probe": 0.004, "waste": 0.02},
		"clients": map[string]any{"marksRetry": true},
		"familyInfo": map[string]any{"shape": "network", "homeNo": 0, "clearWait": 0.3, "resend": 0.0, "peerLoad": "on_probe",
			"tellsWait": true, "advice": false, "allowedPools": []any{}, "widths": []int{1, 1, 1}, "meanHold": []float64{9.9, 12.9, 7.9}},
		"permissions": map[string]any{"cancel": true, "connectTimeout": 0.5, "keepalive": 600.0, "mostTries": 4, "parallelTries": false,
			"probes": true, "retryAfter": false},
		"report": map[string]any{"fields": []string{"idle", "circuits", "load_share", "depth"}, "how": "on_probe"},
		"rules": map[string]any{"answerSlack": 0.02, "askWithin": 10.0, "cold": 13.0, "coldFrom": 0.31, "drainGrace": 0.25, "fall": 1.0,
			"fallMultiple": 3.0},
	}
}

// configuration returns a configuration with these far ends in its list.
func configuration(changelog string, seq uint64, list []*farEnd) map[string]any {
	instances := []any{}
	for _, f := range list {
		instances = append(instances, map[string]any{"instanceId": f.name(), "hostPort": f.addr, "zone": "birmingham",
			"machineType": "std-1core", "cell": f.exchange, "lifecycle": "active", "weight": 1, "startedAtMs": 0})
	}
	return map[string]any{
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "changelog": changelog,
		"known": map[string]any{"seq": seq, "results": []any{map[string]any{"seq": seq,
			"fleet": map[string]any{"generation": 1, "reset": true, "instances": instances}}}},
		"settings": settings(),
	}
}
