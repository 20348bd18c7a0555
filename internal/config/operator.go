package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"tinbeam"
	"tinbeam/internal/changelog"
	"tinbeam/internal/metrics"
	"tinbeam/internal/mgcp"
	"tinbeam/internal/plugin"
)

// Operator is the operator's file after validation. A function that the file does not configure is off.
type Operator struct {
	MGCPListen  string
	MGCP        mgcp.Config
	RemoteWrite *metrics.RemoteWriter
	Plugin      *plugin.Options
}

// operatorFile is the JSON form of the operator's file.
type operatorFile struct {
	MGCP *struct {
		Listen   string `json:"listen"`
		Digits   string `json:"digit_map"`
		Gateways []struct {
			Name    string   `json:"name"`
			Address string   `json:"address"`
			ID      string   `json:"id"`
			Place   int      `json:"place"`
			Zone    string   `json:"zone"`
			Lines   []string `json:"lines"`
			Answer  string   `json:"answer"`
			Class   string   `json:"class"`
		} `json:"gateways"`
		Routes []struct {
			Prefix string `json:"prefix"`
			Place  int    `json:"place"`
		} `json:"routes"`
	} `json:"mgcp"`
	RemoteWrite *struct {
		URL    string            `json:"url"`
		EveryS float64           `json:"every_s"`
		Labels map[string]string `json:"labels"`
	} `json:"remote_write"`
	Plugin *struct {
		Path     string  `json:"path"`
		BudgetMS float64 `json:"budget_ms"`
		MemoryMB int     `json:"memory_mb"`
	} `json:"plugin"`
}

// LoadOperator reads the operator's file at path. An empty path stands for an empty file.
func LoadOperator(path string, c *Config) (*Operator, error) {
	if path == "" {
		return &Operator{}, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	o, err := ParseOperator(raw, c.Settings, c.Zones)
	if err != nil {
		return nil, fmt.Errorf("operator's file %s: %w", path, err)
	}
	return o, nil
}

// ParseOperator parses and validates an operator's file. Unknown keys are refused, because a misspelled key would silently leave
// its function off.
func ParseOperator(raw []byte, settings tinbeam.Settings, zones []string) (*Operator, error) {
	var f operatorFile
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		return nil, err
	}
	o := &Operator{}
	if m := f.MGCP; m != nil {
		if _, err := netip.ParseAddrPort(m.Listen); err != nil {
			return nil, fmt.Errorf("mgcp: listen: %q is not a valid IP address and port", m.Listen)
		}
		o.MGCPListen, o.MGCP.DigitMap = m.Listen, m.Digits
		names, exchanges := map[string]bool{}, map[int]bool{}
		for _, g := range m.Gateways {
			id, err := changelog.ParseID(g.ID)
			_, addrErr := netip.ParseAddrPort(g.Address)
			class, zone := indexOf(len(settings.Classes), func(i int) bool { return settings.Classes[i].Name == g.Class }),
				indexOf(len(zones), func(i int) bool { return zones[i] == g.Zone })
			switch {
			case g.Name == "" || names[strings.ToLower(g.Name)]:
				return nil, fmt.Errorf("mgcp: gateway %q: the name is empty or already used", g.Name)
			case addrErr != nil:
				return nil, fmt.Errorf("mgcp: gateway %s: address %q is not a valid IP address and port", g.Name, g.Address)
			case err != nil:
				return nil, fmt.Errorf("mgcp: gateway %s: %w", g.Name, err)
			case g.Place < 0 || g.Place > 1<<16 || exchanges[g.Place] || g.Place == settings.LocalExchange:
				return nil, fmt.Errorf("mgcp: gateway %s: place %d is out of range or already used", g.Name, g.Place)
			case len(g.Lines) == 0:
				return nil, fmt.Errorf("mgcp: gateway %s has no lines", g.Name)
			case class < 0:
				return nil, fmt.Errorf("mgcp: gateway %s: class %q is not in the settings", g.Name, g.Class)
			case zone < 0 && g.Zone != "":
				return nil, fmt.Errorf("mgcp: gateway %s: zone %q is not in the settings", g.Name, g.Zone)
			case g.Answer != "ring" && g.Answer != "connect":
				return nil, fmt.Errorf(`mgcp: gateway %s: answer must be "ring" or "connect", not %q`, g.Name, g.Answer)
			}
			names[strings.ToLower(g.Name)], exchanges[g.Place] = true, true
			o.MGCP.Gateways = append(o.MGCP.Gateways, mgcp.Gateway{Name: g.Name, Address: g.Address, ID: id,
				Exchange: g.Place, Zone: max(zone, 0), Lines: g.Lines, ManualAnswer: g.Answer == "ring", Class: g.Class})
		}
		for _, r := range m.Routes {
			o.MGCP.Routes = append(o.MGCP.Routes, mgcp.Route{Prefix: r.Prefix, Exchange: r.Place})
		}
	}
	if r := f.RemoteWrite; r != nil {
		if u, err := url.Parse(r.URL); err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, fmt.Errorf("remote_write: %q is not an http or https URL", r.URL)
		}
		o.RemoteWrite = &metrics.RemoteWriter{URL: r.URL, Interval: time.Duration(r.EveryS * float64(time.Second)),
			Labels: r.Labels}
	}
	if p := f.Plugin; p != nil {
		if p.Path == "" {
			return nil, fmt.Errorf("plugin: path is missing")
		}
		o.Plugin = &plugin.Options{Path: p.Path, MemoryMB: p.MemoryMB,
			Budget: time.Duration(p.BudgetMS * float64(time.Millisecond))}
	}
	return o, nil
}

// indexOf returns the first index below n for which match holds, or -1.
func indexOf(n int, match func(int) bool) int {
	for i := range n {
		if match(i) {
			return i
		}
	}
	return -1
}
