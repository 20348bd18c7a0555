// Package config reads what a call agent is told when it starts: the platform's configuration, and the operator's
// file for what the platform does not know of.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"tinbeam"
	"tinbeam/internal/changelog"
	"tinbeam/internal/wire"
)

// Config is the platform's configuration, checked.
type Config struct {
	Name, Listen, Changelog string
	Management              string // where operators call; "": nowhere
	InheritedFD             int    // the descriptor of the callers' socket, where the platform holds it; 0: it is opened here
	Seed                    uint64
	MemoryMB, Sockets       int
	Settings                tinbeam.Settings
	Zones                   []string
	ConnectTimeout          time.Duration
	KnownSeq                uint64
	KnownEvents             []changelog.Event

	doc map[string]any // the file
}

type file struct {
	Name       string `json:"name"`
	Listen     string `json:"listen"`
	Seed       string `json:"seed"`
	Changelog  string `json:"changelog"`
	Management string `json:"management"`
	Limits     struct {
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Load reads the configuration of a path. The environment's name and address, where set, stand over the file's.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	c, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// Reload reads the configuration of a path again, to stand in the place of present. It is taken whole or not at all: what
// lacks a key that present has, or has a deadline or a number of attempts that is no number above 0, is turned down.
func Reload(path string, present *Config) (*Config, error) {
	c, err := Load(path)
	if err != nil {
		return nil, err
	}
	if err := replaces(c, present); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

func replaces(c, present *Config) error {
	if path := lacks(present.doc, c.doc, ""); path != "" {
		return fmt.Errorf("%s is missing", path)
	}
	set, _ := c.doc["settings"].(map[string]any)
	permissions, _ := set["permissions"].(map[string]any)
	if !above0(permissions["mostTries"]) || c.Settings.MaxAttempts < 1 {
		return fmt.Errorf("settings.permissions.mostTries is no number above 0")
	}
	classes, _ := set["classes"].([]any)
	names := map[string]bool{}
	for i, k := range classes {
		k, _ := k.(map[string]any)
		if !above0(k["hardLimit"]) || c.Settings.Classes[i].HardLimit <= 0 {
			return fmt.Errorf("settings.classes: the hardLimit of %q is no number above 0", c.Settings.Classes[i].Name)
		}
		if name := c.Settings.Classes[i].Name; name == "" || names[name] {
			return fmt.Errorf("settings.classes: the name %q is empty or taken", name)
		} else {
			names[name] = true
		}
	}
	if old, now := present.Settings, c.Settings; old.ReplicaIndex != now.ReplicaIndex ||
		old.LocalExchange != now.LocalExchange || old.SharedPools != now.SharedPools {
		return fmt.Errorf("settings: the own number or the shape of the network is another")
	}
	return nil
}

func above0(v any) bool {
	n, ok := v.(json.Number)
	if !ok {
		return false
	}
	f, err := n.Float64()
	return err == nil && f > 0
}

// lacks names a key that old has and now has not; "": none. Of the items of a list each needs what all the old ones have.
func lacks(old, now any, path string) string {
	switch old := old.(type) {
	case map[string]any:
		in, _ := now.(map[string]any)
		for _, k := range slices.Sorted(maps.Keys(old)) {
			at := strings.TrimPrefix(path+"."+k, ".")
			if _, ok := in[k]; !ok {
				return at
			}
			if p := lacks(old[k], in[k], at); p != "" {
				return p
			}
		}
	case []any:
		in, ok := now.([]any)
		if !ok {
			return path
		}
		for _, item := range in {
			if p := lacks(common(old), item, path+"[]"); p != "" {
				return p
			}
		}
	}
	return ""
}

// common is what all items of a list have; nil where they are no objects.
func common(items []any) any {
	var all map[string]any
	for i, item := range items {
		m, ok := item.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			all = maps.Clone(m)
		}
		maps.DeleteFunc(all, func(k string, _ any) bool { _, ok := m[k]; return !ok })
	}
	if all == nil {
		return nil
	}
	return all
}

// Parse reads a configuration.
func Parse(raw []byte) (*Config, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, err
	}
	doc, err := object(raw)
	if err != nil {
		return nil, err
	}
	c := &Config{doc: doc, Name: f.Name, Listen: f.Listen, Changelog: f.Changelog, Management: f.Management,
		MemoryMB: int(f.Limits.MemoryMB), Sockets: f.Limits.Sockets}
	if v := os.Getenv("BALANCER_NAME"); v != "" {
		c.Name = v
	}
	if v := os.Getenv("BALANCER_LISTEN"); v != "" {
		c.Listen = v
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return nil, fmt.Errorf("listen: %q is no address with a port", c.Listen)
	}
	if _, err := netip.ParseAddrPort(c.Changelog); err != nil && c.Changelog != "" {
		return nil, fmt.Errorf("changelog: %q is no address with a port", c.Changelog)
	}
	if v := os.Getenv("BALANCER_MANAGEMENT"); v != "" {
		c.Management = v
	}
	if _, err := netip.ParseAddrPort(c.Management); err != nil && c.Management != "" {
		return nil, fmt.Errorf("management: %q is no address with a port", c.Management)
	}
	if v := os.Getenv("BALANCER_PASSED_SOCKET"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 3 {
			return nil, fmt.Errorf("BALANCER_PASSED_SOCKET is %q, not the number of a descriptor", v)
		}
		c.InheritedFD = n
	}
	if n, err := strconv.ParseUint(f.Seed, 16, 64); err == nil {
		c.Seed = n
	} else {
		h := fnv.New64a() // any text will do as a seed
		h.Write([]byte(f.Seed))
		c.Seed = h.Sum64()
	}
	if len(f.Settings) == 0 {
		return nil, fmt.Errorf("settings are missing")
	}
	flat, err := flatten(f.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if c.Settings, err = wire.ParseSettings(flat); err != nil {
		return nil, err
	}
	if len(c.Settings.Classes) == 0 {
		return nil, fmt.Errorf("settings: no classes of call")
	}
	var own struct {
		Zones       []string `json:"azs"`
		Permissions struct {
			ConnectTimeout float64 `json:"connectTimeout"`
		} `json:"permissions"`
	}
	_ = json.Unmarshal(f.Settings, &own) // of another shape, they count as absent
	c.Zones = own.Zones
	c.ConnectTimeout = wire.Seconds(min(max(own.Permissions.ConnectTimeout, 0), 60))
	if c.KnownSeq, c.KnownEvents, err = changelog.ParseKnown(f.Known, own.Zones); err != nil {
		return nil, err
	}
	return c, nil
}

// object reads a JSON object, its numbers as they are written.
func object(raw []byte) (v map[string]any, err error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	err = dec.Decode(&v)
	return v, err
}

// flatten writes nested JSON as the path=value lines of the simulator's hello, so that both are read by one parser.
func flatten(raw []byte) (string, error) {
	v, err := object(raw)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	walk(&out, "", v)
	return out.String(), nil
}

func walk(out *strings.Builder, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			walk(out, strings.TrimPrefix(path+"."+k, "."), v[k])
		}
	case []any:
		parts := make([]string, 0, len(v))
		for _, e := range v {
			s, plain := scalar(e)
			if !plain {
				fmt.Fprintf(out, "%s.count=%d\n", path, len(v))
				for i, e := range v {
					walk(out, fmt.Sprintf("%s.%d", path, i), e)
				}
				return
			}
			parts = append(parts, strings.ReplaceAll(s, ",", "_"))
		}
		fmt.Fprintf(out, "%s=%s\n", path, strings.Join(parts, ","))
	default:
		if s, ok := scalar(v); ok {
			fmt.Fprintf(out, "%s=%s\n", path, s)
		}
	}
}

func scalar(v any) (string, bool) {
	switch v := v.(type) {
	case string:
		return strings.ReplaceAll(v, "\n", "_"), true
	case json.Number:
		return v.String(), true
	case bool:
		return strconv.FormatBool(v), true
	case nil:
		return "", true
	}
	return "", false
}
