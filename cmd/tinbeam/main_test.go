package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCommands(t *testing.T) {
	config := "../../deploy/config.json"
	broken := filepath.Join(t.TempDir(), "broken.json")
	if err := os.WriteFile(broken, []byte(`{"listen": 5}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ args, says, fails string }{
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
		if (err != nil) != (c.fails != "") || !strings.Contains(out.String(), c.says) {
			t.Errorf("%s: %v\n%s", c.args, err, out.String())
		}
		if err != nil && (!strings.Contains(err.Error(), c.fails) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%s: %q is not one line that says %q", c.args, err, c.fails)
		}
	}
}
