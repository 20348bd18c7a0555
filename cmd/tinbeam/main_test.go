package main

import (
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// outputBuffer collects the output of a command. It may be read while the command still writes.
type outputBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (s *outputBuffer) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

func (s *outputBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

var addrSetting = regexp.MustCompile(`"(listen|management)": "[^"]*"`)

// TestSignals checks that SIGHUP reloads the configuration and does not end the program, and that SIGTERM ends it.
func TestSignals(t *testing.T) {
	caught := make(chan os.Signal, 64) // a signal that arrives before serve handles signals must not end the test process
	signal.Notify(caught, syscall.SIGHUP, syscall.SIGUSR1)
	defer signal.Stop(caught)
	config := filepath.Join(t.TempDir(), "config.json")
	raw, err := os.ReadFile("../../deploy/config.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(config, []byte(addrSetting.ReplaceAllString(string(raw), `"$1": "127.0.0.1:0"`)), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("BALANCER_LISTEN", "")
	t.Setenv("BALANCER_MANAGEMENT", "")
	t.Setenv("BALANCER_PASSED_SOCKET", "")
	var out outputBuffer
	result := make(chan error, 1)
	go func() { result <- run([]string{"serve", "-c", config, "-l", "error"}, &out) }()
	reloaded := regexp.MustCompile(`(?m)^tinbeam_reloads_total [1-9]`)
	for deadline := time.Now().Add(20 * time.Second); !reloaded.MatchString(out.String()); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the configuration was not reloaded\n%s", out.String())
		}
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		syscall.Kill(os.Getpid(), syscall.SIGUSR1)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	if err := <-result; err != nil {
		t.Error(err)
	}
}

// TestCommands checks the output or the error of each sub-command. Errors are single lines.
func TestCommands(t *testing.T) {
	config := "../../deploy/config.json"
	broken := filepath.Join(t.TempDir(), "broken.json")
	if err := os.WriteFile(broken, []byte(`{"listen": 5}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ args, wantOutput, wantError string }{
		{"version", "tinbeam ", ""},
		{"help", "check-config", ""},
		{"--help", "check-config", ""},
		{"metrics", "tinbeam_calls_offered_total", ""},
		{"check-config -c " + config, "n0 listens on 127.0.0.1:2905", ""},
		{"check-config -c " + config + " -o ../../deploy/operator.json", "mgcp listens on 127.0.0.1:2727 for 1 gateways", ""},
		{"check-config", "", "no configuration"},
		{"serve -c " + broken, "", "listen"},
		{"serve -c " + config + " -o " + broken, "", "operator's file"},
		{"serve -c " + config + " -l loud", "", "log level"},
		{"serve -c no-such-file", "", "no-such-file"},
		{"serve --speed 9", "", "speed"},
		{"dance", "", "unknown sub-command"},
		{"serve version", "", "one sub-command"},
	} {
		t.Setenv("BALANCER_CONFIG", "")
		var out strings.Builder
		err := run(strings.Fields(c.args), &out)
		if (err != nil) != (c.wantError != "") || !strings.Contains(out.String(), c.wantOutput) {
			t.Errorf("%s: %v\n%s", c.args, err, out.String())
		}
		if err != nil && (!strings.Contains(err.Error(), c.wantError) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%s: error %q is not a single line that contains %q", c.args, err, c.wantError)
		}
	}
}
