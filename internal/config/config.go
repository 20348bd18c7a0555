// Package config loads the two configuration files of a call agent: the platform's configuration, and the operator's file for
// functions that the platform's configuration does not cover.
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

// Config is the platform's configuration after validation.
type Config struct {
	Name, Listen, Changelog string
	Management              string // address of the operators' HTTP interface; "": none
	InheritedFD             int    // descriptor of the callers' listening socket if the platform passes it; 0: open the socket
	Seed                    uint64
	MemoryMB, Sockets       int // limits on the memory and on open sockets; 0: not set
	Settings                tinbeam.Settings
	Zones                   []string // the zones' names, in the order of their numbers
	ConnectTimeout          time.Duration
	KnownSeq                uint64            // sequence number of the last change-log event that the configuration contains
	KnownEvents             []changelog.Event // the change-log events that the configuration contains

	document map[string]any // the whole file, to compare its keys on a reload
}

// file is the JSON form of the configuration.
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

// Load reads the configuration file at path. Environment variables, where set, override the file's name and addresses.
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

// Reload reads the configuration file at path to replace current. The whole file is refused if a key that current has is
// missing, if a call class's hard limit or the maximum number of attempts is not a number above 0, if a class name is empty
// or used twice, or if the replica index, the local exchange or the shape of the network has changed.
func Reload(path string, current *Config) (*Config, error) {
	c, err := Load(path)
	if err != nil {
		return nil, err
	}
	if err := checkReplacement(c, current); err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// checkReplacement returns an error if c must not replace current.
func checkReplacement(c, current *Config) error {
	if path := missingKey(current.document, c.document, ""); path != "" {
		return fmt.Errorf("%s is missing", path)
	}
	settings, _ := c.document["settings"].(map[string]any)
	permissions, _ := settings["permissions"].(map[string]any)
	if !isPositive(permissions["mostTries"]) || c.Settings.MaxAttempts < 1 {
		return fmt.Errorf("settings.permissions.mostTries is not a number above 0")
	}
	classes, _ := settings["classes"].([]any)
	names := map[string]bool{}
	for i, class := range classes {
		class, _ := class.(map[string]any)
		if !isPositive(class["hardLimit"]) || c.Settings.Classes[i].HardLimit <= 0 {
			return fmt.Errorf("settings.classes: the hardLimit of %q is not a number above 0", c.Settings.Classes[i].Name)
		}
		if name := c.Settings.Classes[i].Name; name == "" || names[name] {
			return fmt.Errorf("settings.classes: the name %q is empty or already used", name)
		} else {
			names[name] = true
		}
	}
	if old, now := current.Settings, c.Settings; old.ReplicaIndex != now.ReplicaIndex ||
		old.LocalExchange != now.LocalExchange || old.SharedPools != now.SharedPools {
		return fmt.Errorf("settings: the replica index, the local exchange or the shape of the network has changed")
	}
	return nil
}

// isPositive reports whether v is a JSON number above 0.
func isPositive(v any) bool {
	n, ok := v.(json.Number)
	if !ok {
		return false
	}
	f, err := n.Float64()
	return err == nil && f > 0
}

// missingKey returns the path of a key that old has and now lacks, or "". Each item of a list must have the keys that all items
// of the old list have.
func missingKey(old, now any, path string) string {
	switch old := old.(type) {
	case map[string]any:
		object, _ := now.(map[string]any)
		for _, k := range slices.Sorted(maps.Keys(old)) {
			keyPath := strings.TrimPrefix(path+"."+k, ".")
			if _, ok := object[k]; !ok {
				return keyPath
			}
			if p := missingKey(old[k], object[k], keyPath); p != "" {
				return p
			}
		}
	case []any:
		items, ok := now.([]any)
		if !ok {
			return path
		}
		for _, item := range items {
			if p := missingKey(commonKeys(old), item, path+"[]"); p != "" {
				return p
			}
		}
	}
	return ""
}

// commonKeys returns an object with the keys that all items of a list have, or nil if the list is empty or an item is not an
// object.
func commonKeys(items []any) any {
	var shared map[string]any
	for i, item := range items {
		m, ok := item.(map[string]any)
		if !ok {
			return nil
		}
		if i == 0 {
			shared = maps.Clone(m)
		}
		maps.DeleteFunc(shared, func(k string, _ any) bool { _, ok := m[k]; return !ok })
	}
	if shared == nil {
		return nil
	}
	return shared
}

// Parse parses and validates a configuration, and applies the environment variables that override it.
func Parse(raw []byte) (*Config, error) {
	var f file
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, err
	}
	document, err := parseObject(raw)
	if err != nil {
		return nil, err
	}
	c := &Config{document: document, Name: f.Name, Listen: f.Listen, Changelog: f.Changelog, Management: f.Management,
		MemoryMB: int(f.Limits.MemoryMB), Sockets: f.Limits.Sockets}
	if v := os.Getenv("BALANCER_NAME"); v != "" {
		c.Name = v
	}
	if v := os.Getenv("BALANCER_LISTEN"); v != "" {
		c.Listen = v
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return nil, fmt.Errorf("listen: %q is not a valid IP address and port", c.Listen)
	}
	if _, err := netip.ParseAddrPort(c.Changelog); err != nil && c.Changelog != "" {
		return nil, fmt.Errorf("changelog: %q is not a valid IP address and port", c.Changelog)
	}
	if v := os.Getenv("BALANCER_MANAGEMENT"); v != "" {
		c.Management = v
	}
	if _, err := netip.ParseAddrPort(c.Management); err != nil && c.Management != "" {
		return nil, fmt.Errorf("management: %q is not a valid IP address and port", c.Management)
	}
	if v := os.Getenv("BALANCER_PASSED_SOCKET"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 3 {
			return nil, fmt.Errorf("BALANCER_PASSED_SOCKET is %q, not a file descriptor number of at least 3", v)
		}
		c.InheritedFD = n
	}
	if n, err := strconv.ParseUint(f.Seed, 16, 64); err == nil {
		c.Seed = n
	} else {
		h := fnv.New64a() // any other text is hashed to a seed
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
		return nil, fmt.Errorf("settings: no classes of call are defined")
	}
	var extra struct {
		Zones       []string `json:"azs"`
		Permissions struct {
			ConnectTimeout float64 `json:"connectTimeout"`
		} `json:"permissions"`
	}
	_ = json.Unmarshal(f.Settings, &extra) // values of the wrong type count as absent
	c.Zones = extra.Zones
	c.ConnectTimeout = wire.Seconds(min(max(extra.Permissions.ConnectTimeout, 0), 60))
	if c.KnownSeq, c.KnownEvents, err = changelog.ParseKnown(f.Known, extra.Zones); err != nil {
		return nil, err
	}
	return c, nil
}

// parseObject parses a JSON object and keeps its numbers as text.
func parseObject(raw []byte) (v map[string]any, err error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	err = dec.Decode(&v)
	return v, err
}

// flatten converts nested JSON to the path=value lines of the simulator's Hello, so that one parser serves both.
func flatten(raw []byte) (string, error) {
	v, err := parseObject(raw)
	if err != nil {
		return "", err
	}
	var out strings.Builder
	writeLines(&out, "", v)
	return out.String(), nil
}

// writeLines writes a line for each value below path. A list of plain values becomes one comma-separated value; any other list
// becomes a count and numbered paths.
func writeLines(out *strings.Builder, path string, v any) {
	switch v := v.(type) {
	case map[string]any:
		keys := make([]string, 0, len(v))
		for k := range v {
			keys = append(keys, k)
		}
		slices.Sort(keys)
		for _, k := range keys {
			writeLines(out, strings.TrimPrefix(path+"."+k, "."), v[k])
		}
	case []any:
		parts := make([]string, 0, len(v))
		for _, e := range v {
			s, ok := scalarText(e)
			if !ok {
				fmt.Fprintf(out, "%s.count=%d\n", path, len(v))
				for i, e := range v {
					writeLines(out, fmt.Sprintf("%s.%d", path, i), e)
				}
				return
			}
			parts = append(parts, strings.ReplaceAll(s, ",", "_"))
		}
		fmt.Fprintf(out, "%s=%s\n", path, strings.Join(parts, ","))
	default:
		if s, ok := scalarText(v); ok {
			fmt.Fprintf(out, "%s=%s\n", path, s)
		}
	}
}

// scalarText returns the text of a value that is neither an object nor a list. Line feeds are replaced, since they would end the
// line.
func scalarText(v any) (string, bool) {
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
