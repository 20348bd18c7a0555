// Package plugin lets operators hang a WebAssembly module of their own into the agent. It sees events, and may refuse
// a call before the decision module is asked; it can neither send nor answer anything, so it can break no rule.
//
// A plug-in is one .wasm file without imports. It may export
//
//	refuse(class i32, number i64, dest i32, left_ms i32, marks i32) i32    // not 0: the call is refused
//	event(kind i32, class i32, number i64, dest i32)
//
// with marks 2 dialled again, 8 in transit, 16 cut and come again, and the kinds of Event below. It runs on the core's
// goroutine, bounded in time and memory. Where it fails or runs out of time, that is counted, the call goes on, and the
// plug-in starts anew; where it fails again and again, it rests for a while.
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

// The kinds of an event, by the names that the core gives them.
var kinds = map[string]uint64{"attempt": 1, "answered": 2, "refused": 3, "abandoned": 4, "released": 5}

const (
	pageSize  = 64 << 10
	failsMost = 5 // in a row; then it rests
	rest      = 30 * time.Second
)

// Options bound a plug-in.
type Options struct {
	Path     string
	Budget   time.Duration // for one call of it
	MemoryMB int
}

// Plugin is a running plug-in.
type Plugin struct {
	opt     Options
	m       *metrics.Set
	log     *zap.Logger
	now     func() time.Duration
	runtime wazero.Runtime
	code    wazero.CompiledModule
	inst    api.Module
	fails   int
	until   time.Duration
}

// Load reads and starts a plug-in.
func Load(opt Options, now func() time.Duration, m *metrics.Set, log *zap.Logger) (*Plugin, error) {
	raw, err := os.ReadFile(opt.Path)
	if err != nil {
		return nil, fmt.Errorf("plug-in: %w", err)
	}
	p, err := New(raw, opt, now, m, log)
	if err != nil {
		return nil, fmt.Errorf("plug-in %s: %w", opt.Path, err)
	}
	return p, nil
}

// New starts a plug-in from the bytes of its file.
func New(raw []byte, opt Options, now func() time.Duration, m *metrics.Set, log *zap.Logger) (*Plugin, error) {
	if opt.Budget <= 0 {
		opt.Budget = 2 * time.Millisecond
	}
	if opt.MemoryMB <= 0 {
		opt.MemoryMB = 4
	}
	ctx := context.Background()
	cfg := wazero.NewRuntimeConfig().WithCloseOnContextDone(true).
		WithMemoryLimitPages(uint32(opt.MemoryMB << 20 / pageSize))
	p := &Plugin{opt: opt, m: m, log: log, now: now, runtime: wazero.NewRuntimeWithConfig(ctx, cfg)}
	var err error
	if p.code, err = p.runtime.CompileModule(ctx, raw); err != nil {
		return nil, err
	}
	for name, sig := range map[string][2]int{"refuse": {5, 1}, "event": {4, 0}} {
		if f := p.code.ExportedFunctions()[name]; f != nil &&
			(len(f.ParamTypes()) != sig[0] || len(f.ResultTypes()) != sig[1]) {
			return nil, fmt.Errorf("export %s takes %d values and gives %d, not %d and %d",
				name, len(f.ParamTypes()), len(f.ResultTypes()), sig[0], sig[1])
		}
	}
	if err := p.start(); err != nil {
		return nil, err
	}
	return p, nil
}

func (p *Plugin) start() error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*p.opt.Budget)
	defer cancel()
	inst, err := p.runtime.InstantiateModule(ctx, p.code, wazero.NewModuleConfig().WithName("").WithStartFunctions())
	p.inst = inst
	return err
}

// call calls an export within the bounds; ok is false where there is none or it failed.
func (p *Plugin) call(name string, args ...uint64) (result uint64, ok bool) {
	if p.code.ExportedFunctions()[name] == nil || p.now() < p.until {
		return 0, false
	}
	p.m.PluginCalls.Inc()
	err := error(nil)
	if p.inst == nil || p.inst.IsClosed() {
		err = p.start()
	}
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), p.opt.Budget)
		defer cancel()
		var out []uint64
		if out, err = p.inst.ExportedFunction(name).Call(ctx, args...); err == nil {
			p.fails = 0
			if len(out) > 0 {
				result = out[0]
			}
			return result, true
		}
	}
	p.m.PluginFailures.Inc()
	p.log.Warn("plug-in failed", zap.String("export", name), zap.Error(err))
	if p.inst != nil {
		_ = p.inst.Close(context.Background()) // what it left half done is not trusted
	}
	if p.fails++; p.fails >= failsMost {
		p.fails, p.until = 0, p.now()+rest
		p.log.Error("plug-in rests", zap.Duration("for", rest))
	}
	return 0, false
}

// Refuse asks whether a call is refused.
func (p *Plugin) Refuse(k *agent.Call) bool {
	r, ok := p.call("refuse", api.EncodeI32(int32(k.Class)), k.NumberKey, api.EncodeI32(int32(k.Dest)),
		api.EncodeI32(int32(min(k.TimeLeft.Milliseconds(), 1<<30))), uint64(k.Flags))
	return ok && uint32(r) != 0
}

// Event shows an event.
func (p *Plugin) Event(name string, k *agent.Call) {
	p.call("event", kinds[name], api.EncodeI32(int32(k.Class)), k.NumberKey, api.EncodeI32(int32(k.Dest)))
}
