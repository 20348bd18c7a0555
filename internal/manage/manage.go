// Package manage is the operators' HTTP/1.1 server. It listens on its own address and serves one request per connection.
// Its answers come only from data that any goroutine may read at any time, so it answers under any load.
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
	readTimeout    = 2 * time.Second // for reading a whole request
	writeTimeout   = 2 * time.Second // for writing the response
	maxHeaderBytes = 8 << 10
	maxBodyBytes   = 64 << 10 // request bodies have no meaning here
)

// Agent is the call agent as the server needs it.
type Agent interface {
	AcceptsCallers() bool // whether it accepts callers
	Stats() any           // statistics, to be encoded as JSON
	Drain(bool)           // true drains callers, false accepts them again
}

// Server is the operators' HTTP server.
type Server struct {
	http     *http.Server
	listener *connLimiter
	done     chan struct{}
}

// Listen starts a server on addr that keeps at most maxConns connections open.
func Listen(addr string, maxConns int, agent Agent, log *zap.Logger) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{listener: &connLimiter{Listener: ln, maxConns: max(maxConns, 1)}, done: make(chan struct{})}
	s.http = &http.Server{Handler: handler(agent), ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))}
	s.http.SetKeepAlivesEnabled(false)
	go func() {
		defer close(s.done)
		_ = s.http.Serve(s.listener)
	}()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the server and waits until it no longer accepts connections.
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
	return http.MaxBytesHandler(mux, maxBodyBytes)
}

// minOpenTime is how long a connection stays open before it is closed for another one, so that a request that has come with it is answered.
const minOpenTime = 50 * time.Millisecond

// connLimiter is a listener that limits the number of open connections: when there are too many, it closes the one that
// has been open longest, once that has had its time. Without this, idle connections could use up the file descriptors and lock
// operators out, and others that come again and again could close theirs before they are answered.
type connLimiter struct {
	net.Listener
	maxConns int
	mu       sync.Mutex
	open     []*limitedConn // oldest first
}

// limitedConn is a connection that leaves the list of its limiter when it is closed.
type limitedConn struct {
	net.Conn
	limiter  *connLimiter
	openedAt time.Time
}

func (l *connLimiter) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &limitedConn{c, l, time.Now()}
	l.mu.Lock()
	l.open = append(l.open, conn)
	var oldest *limitedConn
	if len(l.open) > l.maxConns {
		oldest = l.open[0]
	}
	l.mu.Unlock()
	if oldest != nil {
		time.Sleep(minOpenTime - time.Since(oldest.openedAt)) // meanwhile further ones wait to be accepted
		oldest.Close()
	}
	return conn, nil
}

func (conn *limitedConn) Close() error {
	l := conn.limiter
	l.mu.Lock()
	for i, open := range l.open {
		if open == conn {
			l.open = append(l.open[:i], l.open[i+1:]...)
			break
		}
	}
	l.mu.Unlock()
	return conn.Conn.Close()
}
