// Package plugin runs a WebAssembly module that the operator supplies. The plug-in receives call events, and may refuse a
// call before the decision module gets it. It can neither send messages nor answer calls, so it cannot break the rules
// of the network.
//
// A plug-in is one .wasm file without imports. It may export
//
//	refuse(class i32, number i64, dest i32, left_ms i32, marks i32) i32    // not 0: refuse the call
//	event(kind i32, class i32, number i64, dest i32)
//
// The flags in marks are 2 for a redial, 8 for a transit call, and 16 for a call that was cut off and set up again; the
// values of kind are those of eventKinds below. The plug-in runs on the core's goroutine with limited time and memory.
// If it fails or exceeds its time, the failure is counted, the call proceeds, and the plug-in is restarted before its
// next use. After several failures in a row it is disabled for a while.
package plugin

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"
	"go.uber.org/zap"

	"tinbeam/internal/agent"
	"tinbeam/internal/metrics"
)

// eventKinds maps the core's event names to the plug-in's event kinds.
var eventKinds = map[string]uint64{"attempt": 1, "answered": 2, "refused": 3, "abandoned": 4, "released": 5}

const (
	pageSize     = 64 << 10
	maxFailures  = 5 // in a row; then the plug-in is disabled
	disabledTime = 30 * time.Second
)

// Options give the file of a plug-in and its limits.
type Options struct {
	Path     string
	Budget   time.Duration // time limit of one call to an export
	MemoryMB int
}

// Plugin is a running plug-in.
type Plugin struct {
	options       Options
	counters      *metrics.Set
	log           *zap.Logger
	clock         func() time.Duration
	runtime       wazero.Runtime
	compiled      wazero.CompiledModule
	instance      api.Module
	failures      int
	disabledUntil time.Duration
}

// Load reads the plug-in's file and starts the plug-in.
func Load(options Options, clock func() time.Duration, counters *metrics.Set, log *zap.Logger) (*Plugin, error) {
	raw, err := os.ReadFile(options.Path)
	if err != nil {
		return nil, fmt.Errorf("plug-in: %w", err)
	}
	p, err := New(raw, options, clock, counters, log)
	if err != nil {
		return nil, fmt.Errorf("plug-in %s: %w", options.Path, err)
	}
	return p, nil
}

// New starts a plug-in from the content of its file.
func New(raw []byte, options Options, clock func() time.Duration, counters *metrics.Set, log *zap.Logger) (*Plugin, error) {
	if options.Budget <= 0 {
		options.Budget = 2 * time.Millisecond
	}
	if options.MemoryMB <= 0 {
		options.MemoryMB = 4
	}
	ctx := context.Background()
	cfg := wazero.NewRuntimeConfig().WithCloseOnContextDone(true).
		WithMemoryLimitPages(uint32(options.MemoryMB << 20 / pageSize))
	p := &Plugin{options: options, counters: counters, log: log, clock: clock,
		runtime: wazero.NewRuntimeWithConfig(ctx, cfg)}
	var err error
	if p.compiled, err = p.runtime.CompileModule(ctx, raw); err != nil {
		return nil, err
	}
	for name, sig := range map[string][2]int{"refuse": {5, 1}, "event": {4, 0}} {
		if f := p.compiled.ExportedFunctions()[name]; f != nil &&
			(len(f.ParamTypes()) != sig[0] || len(f.ResultTypes()) != sig[1]) {
			return nil, fmt.Errorf("export %s has %d parameters and %d results, want %d and %d",
				name, len(f.ParamTypes()), len(f.ResultTypes()), sig[0], sig[1])
		}
	}
	if err := p.instantiate(); err != nil {
		return nil, err
	}
	return p, nil
}

// instantiate starts a new instance of the module.
func (p *Plugin) instantiate() error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*p.options.Budget)
	defer cancel()
	inst, err := p.runtime.InstantiateModule(ctx, p.compiled, wazero.NewModuleConfig().WithName("").WithStartFunctions())
	p.instance = inst
	return err
}

// invoke calls an export within the limits. It returns false if the plug-in lacks the export, is disabled, or fails.
func (p *Plugin) invoke(name string, args ...uint64) (result uint64, ok bool) {
	if p.compiled.ExportedFunctions()[name] == nil || p.clock() < p.disabledUntil {
		return 0, false
	}
	p.counters.PluginCalls.Inc()
	err := error(nil)
	if p.instance == nil || p.instance.IsClosed() {
		err = p.instantiate()
	}
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), p.options.Budget)
		defer cancel()
		var out []uint64
		if out, err = p.instance.ExportedFunction(name).Call(ctx, args...); err == nil {
			p.failures = 0
			if len(out) > 0 {
				result = out[0]
			}
			return result, true
		}
	}
	p.counters.PluginFailures.Inc()
	p.log.Warn("plug-in call failed", zap.String("export", name), zap.Error(err))
	if p.instance != nil {
		_ = p.instance.Close(context.Background()) // its memory may be inconsistent after an interrupted call
	}
	if p.failures++; p.failures >= maxFailures {
		p.failures, p.disabledUntil = 0, p.clock()+disabledTime
		p.log.Error("plug-in disabled after repeated failures", zap.Duration("for", disabledTime))
	}
	return 0, false
}

// Refuse asks the plug-in whether to refuse a call. A plug-in that fails refuses nothing.
func (p *Plugin) Refuse(call *agent.Call) bool {
	r, ok := p.invoke("refuse", api.EncodeI32(int32(call.Class)), call.NumberKey, api.EncodeI32(int32(call.Dest)),
		api.EncodeI32(int32(min(call.TimeLeft.Milliseconds(), 1<<30))), uint64(call.Flags))
	return ok && uint32(r) != 0
}

// Event passes an event of a call to the plug-in.
func (p *Plugin) Event(name string, call *agent.Call) {
	p.invoke("event", eventKinds[name], api.EncodeI32(int32(call.Class)), call.NumberKey, api.EncodeI32(int32(call.Dest)))
}
