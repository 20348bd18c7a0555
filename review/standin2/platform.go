package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// object is a JSON object.
type object = map[string]any

// zones are the names of the zones; the agent is in the first one.
var zones = []string{"birmingham", "nottingham", "leicester"}

// settings returns the settings of a small deployment, after those of deploy/config.json.
func settings() object {
	class := func(name string, aim, limit, gain float64) object {
		return object{"name": name, "aim": aim, "hardLimit": limit, "gain": gain, "lateValue": 0.25, "idempotency": "free",
			"group": "all", "streamed": true, "window": 5.0}
	}
	return object{
		"index": 0, "replicasOfMe": 4, "zone": 0, "azs": zones, "discovery": "pushed",
		"classes": []object{class("order-status", 2, 9, 1), class("basket-replace", 1.5, 9, 2), class("cancel-all", 1.2, 6, 8)},
		"blend":   object{"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.4},
		"charges": object{"lateFail": 0.1, "probe": 0.004, "waste": 0.02},
		"clients": object{"marksRetry": true},
		"familyInfo": object{"shape": "network", "homeNo": 0, "clearWait": 0.3, "resend": 0.0, "peerLoad": "on_probe",
			"tellsWait": true, "advice": false, "allowedPools": []int{}, "widths": []int{1, 3, 1}, "meanHold": []float64{9.9, 12.9, 7.9}},
		"permissions": object{"cancel": true, "connectTimeout": 0.5, "keepalive": 600.0, "mostTries": 4, "parallelTries": false,
			"probes": true, "retryAfter": false},
		"report": object{"fields": []string{"idle", "circuits", "load_share", "depth"}, "how": "on_probe"},
		"rules": object{"answerSlack": 0.02, "askWithin": 10.0, "cold": 13.0, "coldFrom": 0.31, "drainGrace": 0.25, "fall": 1.0,
			"fallMultiple": 3.0},
	}
}

// configuration returns the platform's configuration of an agent that listens on addr, with a list of far ends and the address of the
// change log.
func configuration(addr, management, changelog string, list []listing) object {
	instances := []object{}
	for _, l := range list {
		instances = append(instances, object{"instanceId": fmt.Sprintf("s-%08x", l.id), "hostPort": l.addr, "zone": zones[cmp.Or(l.zone, 1)],
			"machineType": "std-1core", "cell": l.exchange, "lifecycle": "active", "weight": 1, "startedAtMs": 0})
	}
	return object{"name": "n0", "listen": addr, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits":    object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"changelog": changelog, "management": management,
		"known":    object{"seq": 1, "results": []object{{"seq": 1, "fleet": object{"generation": 1, "reset": true, "instances": instances}}}},
		"settings": settings()}
}

// newHost returns an address of the loopback interface with a host of its own.
func newHost() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
}

// freeAddr returns a free TCP address on a loopback host of its own.
func (r *run) freeAddr() string {
	l, err := net.Listen("tcp", newHost()+":0")
	r.need(err == nil, "no free address: %v", err)
	defer l.Close()
	return l.Addr().String()
}

// process is a process of the program.
type process struct {
	run   *run
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// runCommand returns the command of the deploy file that starts the program.
func (r *run) runCommand() string {
	raw, err := os.ReadFile("deploy/balancer.toml")
	r.need(err == nil, "the deploy file: %v", err)
	for _, line := range strings.Split(string(raw), "\n") {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	panic(cannotRun{"the deploy file has no run command"})
}

// start starts the program as the platform does. A socket that is not nil is passed to it as descriptor 3.
func (r *run) start(name string, config object, socket *os.File, env ...string) *process {
	path := filepath.Join(r.folder, name+".json")
	raw, err := json.MarshalIndent(config, "", " ")
	r.need(err == nil && os.WriteFile(path, raw, 0o600) == nil, "the configuration cannot be written")
	_, err = os.Stat("bin/tinbeam")
	r.need(err == nil, "the program is not built: %v", err)
	private := filepath.Join(r.folder, name+".tmp")
	_ = os.MkdirAll(private, 0o700)
	p := &process{run: r, name: name, cmd: exec.Command("/bin/sh", "-c", r.runCommand()), ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "BALANCER_NAME=n0", "BALANCER_LISTEN="+config["listen"].(string),
		"BALANCER_MANAGEMENT="+config["management"].(string), "BALANCER_CONFIG="+path, "TMPDIR="+private)
	if socket != nil {
		p.cmd.ExtraFiles = []*os.File{socket}
		p.cmd.Env = append(p.cmd.Env, "BALANCER_PASSED_SOCKET=3")
	}
	p.cmd.Env = append(p.cmd.Env, env...)
	r.need(p.cmd.Start() == nil, "the program does not start")
	r.note("%s: started", name)
	go func() {
		_ = p.cmd.Wait()
		r.note("%s: ended, %v", name, p.cmd.ProcessState)
		close(p.ended)
	}()
	r.atEnd(func() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	})
	p.waitReady(config["management"].(string))
	return p
}

// waitReady waits until the operators' address says that the process takes clients.
func (p *process) waitReady(management string) {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + management + "/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode/100 == 2 {
			p.run.note("%s: ready", p.name)
			return
		}
	}
	p.run.need(false, "%s is not ready", p.name)
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) {
	p.run.note("%s: %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// stop ends the process at the end of its part in a case.
func (p *process) stop() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}
