package faultrig

import "encoding/json"

// classNames are the names of the classes of call, as in settingsJSON.
var classNames = []string{"order-status", singleShotClass, "cancel-all"}

// singleShotClass is the class whose calls may not be sent again once an attempt may have run.
const singleShotClass = "basket-replace"

// agentConfig is the platform's configuration of an agent.
type agentConfig struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Management string          `json:"management,omitempty"`
	Seed       string          `json:"seed"`
	Limits     limits          `json:"limits"`
	Changelog  string          `json:"changelog"`
	Known      known           `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

type known struct {
	Seq     uint64       `json:"seq"`
	Results []knownEvent `json:"results"`
}

type knownEvent struct {
	Seq   uint64     `json:"seq"`
	Fleet knownFleet `json:"fleet"`
}

type knownFleet struct {
	Generation int             `json:"generation"`
	Reset      bool            `json:"reset"`
	Instances  []knownInstance `json:"instances"`
}

type knownInstance struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Exchange    int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// knownList returns a full list for the configuration.
func knownList(seq uint64, list []listing) known {
	lifecycles := map[string]string{stateReady: "active", stateDraining: "leaving", stateGone: "left"}
	event := knownEvent{Seq: seq, Fleet: knownFleet{Generation: 1, Reset: true}}
	for _, l := range list {
		event.Fleet.Instances = append(event.Fleet.Instances, knownInstance{ID: l.name(), Addr: l.Addr.String(), Zone: "east",
			MachineType: "std", Exchange: l.Exchange, Lifecycle: lifecycles[l.State], Weight: 1, StartedAtMs: l.StartedAtMs})
	}
	return known{Seq: seq, Results: []knownEvent{event}}
}

// settingsJSON holds the settings of all agents. The longest deadline is 3 s.
const settingsJSON = `{
 "index": 0, "replicasOfMe": 2, "zone": 0, "azs": ["east", "west"], "discovery": "pushed",
 "classes": [
  {"name": "order-status", "aim": 1.0, "hardLimit": 3.0, "gain": 1.0, "lateValue": 0.25, "idempotency": "free", "group": "all", "streamed": true, "window": 5.0},
  {"name": "basket-replace", "aim": 1.0, "hardLimit": 3.0, "gain": 2.0, "lateValue": 0.25, "idempotency": "single_shot", "group": "all", "streamed": true, "window": 5.0},
  {"name": "cancel-all", "aim": 0.8, "hardLimit": 2.0, "gain": 8.0, "lateValue": 0.25, "idempotency": "free", "group": "all", "streamed": true, "window": 5.0}],
 "blend": {"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.4},
 "charges": {"lateFail": 0.1, "probe": 0.004, "waste": 0.02},
 "clients": {"marksRetry": true},
 "familyInfo": {"shape": "network", "homeNo": 0, "clearWait": 0.3, "resend": 0.0, "peerLoad": "on_probe", "tellsWait": true,
  "advice": false, "allowedPools": [], "widths": [1, 1, 1], "meanHold": [1, 1, 1]},
 "permissions": {"cancel": true, "connectTimeout": 0.5, "keepalive": 600.0, "mostTries": 4, "parallelTries": false, "probes": true, "retryAfter": false},
 "report": {"fields": ["idle", "circuits", "load_share", "depth"], "how": "on_probe"},
 "rules": {"answerSlack": 0.02, "askWithin": 10.0, "cold": 1.0, "coldFrom": 0.5, "drainGrace": 0.25, "fall": 1.0, "fallMultiple": 3.0}
}`
