package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"tinbeam/internal/wire"
)

const settings = `{"index":2,"replicasOfMe":4,"zone":1,"azs":["birmingham","leicester"],"discovery":"pushed",
 "classes":[{"name":"order-status","aim":2.0,"hardLimit":9.0,"gain":1,"idempotency":"free"}],
 "familyInfo":{"shape":"network","homeNo":1,"clearWait":0.3,"widths":[3],"meanHold":[9.9],"allowedPools":[[1,2]]},
 "permissions":{"connectTimeout":0.5,"probes":true,"mostTries":4,"retryAfter":null},
 "report":{"fields":["idle","circuits"]},"realms":[]}`

// TestSettings checks that the settings as nested JSON and as the simulator's path=value lines parse to the same result.
func TestSettings(t *testing.T) {
	c, err := Parse([]byte(`{"name":"n3","listen":"127.0.0.1:2905","seed":"8c1f30d27a5be964","limits":{"memory_mb":192},
		"settings":` + settings + `}`))
	if err != nil {
		t.Fatal(err)
	}
	want, err := wire.ParseSettings(strings.Join([]string{"index=2", "replicasOfMe=4", "zone=1", "discovery=pushed",
		"classes.count=1", "classes.0.name=order-status", "classes.0.aim=2.0", "classes.0.hardLimit=9.0", "classes.0.gain=1",
		"classes.0.idempotency=free", "familyInfo.shape=network", "familyInfo.homeNo=1", "familyInfo.clearWait=0.3",
		"familyInfo.widths=3", "familyInfo.meanHold=9.9", "familyInfo.allowedPools.0=1,2", "permissions.probes=true",
		"permissions.mostTries=4", "report.fields=idle,circuits"}, "\n"))
	if err != nil || !reflect.DeepEqual(c.Settings, want) {
		t.Errorf("got %+v\nwant %+v, error %v", c.Settings, want, err)
	}
	if c.Seed != 0x8c1f30d27a5be964 || c.ConnectTimeout != 500*time.Millisecond || c.MemoryMB != 192 {
		t.Errorf("%+v", c)
	}
}

// TestInvalidConfigurations checks that an invalid configuration is refused with a one-line error that names the faulty key.
func TestInvalidConfigurations(t *testing.T) {
	good := map[string]any{"listen": "127.0.0.1:0", "settings": json.RawMessage(settings)}
	for _, c := range []struct {
		key   string
		value any
		want  string // part of the error
	}{
		{"listen", "here", "listen"}, {"listen", nil, "listen"}, {"changelog", "there", "changelog"},
		{"settings", nil, "settings"}, {"settings", map[string]any{"index": 1}, "homeNo"},
		{"settings", map[string]any{"index": 1, "familyInfo": map[string]any{"homeNo": 0}}, "classes"},
		{"known", map[string]any{"results": []any{map[string]any{"fleet": map[string]any{"instances": []any{
			map[string]any{"instanceId": "x"}}}}}}, "id"},
		{"limits", "none", "limits"},
	} {
		configuration := map[string]any{}
		for k, v := range good {
			configuration[k] = v
		}
		configuration[c.key] = c.value
		raw, _ := json.Marshal(configuration)
		if _, err := Parse(raw); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s = %v: error %v", c.key, c.value, err)
		}
	}
	if _, err := Load("no such file"); err == nil {
		t.Error("a missing file was accepted")
	}
}

// TestDeployFiles checks that the example files named in the README are valid and fit together.
func TestDeployFiles(t *testing.T) {
	c, err := Load("../../deploy/config.json")
	if err != nil || len(c.Settings.Classes) != 3 || len(c.KnownEvents[0].Entries) != 2 {
		t.Fatalf("%+v %v", c, err)
	}
	if _, err := LoadOperator("../../deploy/operator.json", c); err != nil {
		t.Error(err)
	}
}

func TestOperator(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/operator.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse([]byte(`{"listen":"127.0.0.1:0","settings":` + settings + `}`))
	if err != nil {
		t.Fatal(err)
	}
	o, err := ParseOperator(raw, c.Settings, c.Zones)
	if err != nil {
		t.Fatal(err)
	}
	if g := o.MGCP.Gateways[0]; g.ID != 0xd001 || !g.ManualAnswer || len(g.Lines) != 4 ||
		o.RemoteWrite.Interval != 15*time.Second {
		t.Errorf("%+v %+v", g, o.RemoteWrite)
	}
	for from, to := range map[string]string{`"name"`: `"nam"`, `"s-0000d001"`: `"d001"`, `"ring"`: `"knock"`,
		`"place": 101,`: `"place": 1,`, `order-status`: `orders`, `127.0.0.1:2727`: `localhost`, `http:`: `ftp:`,
		`"birmingham"`: `"leeds"`} {
		bad := strings.Replace(string(raw), from, to, 1)
		if bad == string(raw) {
			t.Fatalf("the file does not contain %s", from)
		}
		if _, err := ParseOperator([]byte(bad), c.Settings, c.Zones); err == nil {
			t.Errorf("%s in place of %s was accepted", to, from)
		}
	}
	if o, err := LoadOperator("", c); err != nil || o.MGCPListen != "" || o.RemoteWrite != nil || o.Plugin != nil {
		t.Errorf("without a file: %+v %v", o, err)
	}
}

// TestReload checks that a configuration reloaded on SIGHUP is accepted whole or refused.
func TestReload(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/config.json")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	reload := func(text string) (*Config, error) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		current, err := Parse(raw)
		if err != nil {
			t.Fatal(err)
		}
		return Reload(path, current)
	}
	good := string(raw)
	for _, c := range []struct{ from, to, want string }{
		{good, "", "JSON"}, {good, good[:len(good)/2], "JSON"}, {good, "{}", "listen"}, {good, "null", "listen"},
		{`"changelog": "",`, "", "changelog is missing"}, {`"seed": "8c1f30d27a5be964",`, "", "seed"},
		{`, "sockets": 1024`, "", "limits.sockets"}, {`"mostTries": 4, `, "", "permissions.mostTries"},
		{`"mostTries": 4`, `"mostTries": 0`, "mostTries"}, {`"mostTries": 4`, `"mostTries": -1`, "mostTries"},
		{`"mostTries": 4`, `"mostTries": "4"`, "mostTries"}, {`"mostTries": 4`, `"mostTries": null`, "mostTries"},
		{`"hardLimit": 6.0`, `"hardLimit": 0`, "hardLimit"}, {`"hardLimit": 6.0`, `"hardLimit": "soon"`, "hardLimit"},
		{`"hardLimit": 6.0`, `"hardLimit": [6]`, "hardLimit"}, {`"hardLimit": 6.0, `, "", "classes[].hardLimit"},
		{`"name": "cancel-all", `, "", "classes[].name"}, {`"cancel-all"`, `"order-status"`, "already used"},
		{`"homeNo": 0`, `"homeNo": 1`, "replica index"}, {`"rules": {`, `"roles": {`, "settings.rules"},
	} {
		text := strings.Replace(good, c.from, c.to, 1)
		if text == good {
			t.Fatalf("the file does not contain %s", c.from)
		}
		if _, err := reload(text); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.60q in place of %.60q: error %v", c.to, c.from, err)
		}
	}
	for from, to := range map[string]string{
		`"mostTries": 4`: `"mostTries": 2`, `"changelog": ""`: `"changelog": "127.0.0.1:7070"`,
		`"name": "cancel-all"`: `"name": "pull-all"`, `"mostTries": 4,`: `"mostTries": 4, "further": 1,`} {
		if c, err := reload(strings.Replace(good, from, to, 1)); err != nil || len(c.Settings.Classes) != 3 {
			t.Errorf("%s: %v", to, err)
		}
	}
}
