// Package manage is the operators' door: HTTP/1.1 on an address of its own, one call to a connection. It answers from what
// other goroutines may read at any time, so that it answers under any load.
package manage

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	wholeMost = 2 * time.Second // until a call has come whole
	writeMost = 2 * time.Second // until its answer is read
	headMost  = 8 << 10
	drainMost = 64 << 10 // of a body, which means nothing
)

// Agent is what operators call.
type Agent interface {
	AcceptsCallers() bool // whether it takes callers
	Stats() any           // to be written as JSON
	Drain(bool)           // send callers away, or take them again
}

// Server serves operators.
type Server struct {
	http *http.Server
	ln   *gate
	done chan struct{}
}

// Listen opens an address for operators, for so many connections at once.
func Listen(addr string, most int, agent Agent, log *zap.Logger) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{ln: &gate{Listener: ln, most: max(most, 1)}, done: make(chan struct{})}
	s.http = &http.Server{Handler: handler(agent), ReadTimeout: wholeMost, WriteTimeout: writeMost, MaxHeaderBytes: headMost,
		ErrorLog: zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))}
	s.http.SetKeepAlivesEnabled(false)
	go func() {
		defer close(s.done)
		_ = s.http.Serve(s.ln)
	}()
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Close ends it.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.done
}

func handler(agent Agent) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !agent.AcceptsCallers() {
			http.Error(w, "callers are not taken", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(agent.Stats())
	})
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		agent.Drain(true)
		fmt.Fprintln(w, "callers are sent away")
	})
	mux.HandleFunc("POST /undrain", func(w http.ResponseWriter, _ *http.Request) {
		agent.Drain(false)
		fmt.Fprintln(w, "callers are taken again")
	})
	return http.MaxBytesHandler(mux, drainMost)
}

// gate bounds the connections. Guards the descriptors and the operators' place against connections that say nothing: where
// there are too many, the one that has been open longest makes room.
type gate struct {
	net.Listener
	most int
	mu   sync.Mutex
	open []*held // the oldest first
}

type held struct {
	net.Conn
	gate *gate
}

func (g *gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	h := &held{c, g}
	g.mu.Lock()
	g.open = append(g.open, h)
	var oldest *held
	if len(g.open) > g.most {
		oldest = g.open[0]
	}
	g.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return h, nil
}

func (h *held) Close() error {
	g := h.gate
	g.mu.Lock()
	for i, o := range g.open {
		if o == h {
			g.open = append(g.open[:i], g.open[i+1:]...)
			break
		}
	}
	g.mu.Unlock()
	return h.Conn.Close()
}
