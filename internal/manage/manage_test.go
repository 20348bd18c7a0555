package manage

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
)

type agent struct{ away bool }

func (a *agent) AcceptsCallers() bool { return !a.away }
func (a *agent) Stats() any           { return map[string]int{"outstanding": 3} }
func (a *agent) Drain(on bool)        { a.away = on }

func TestCalls(t *testing.T) {
	s, err := Listen("127.0.0.1:0", 4, &agent{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	// Guards the operators' place: connections that say nothing, or half a call, are more than there may be.
	for i := 0; i < 8; i++ {
		c, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			fmt.Fprint(c, "GET /rea")
		}
	}
	for _, c := range []struct {
		call string
		code int
		says string
	}{
		{"GET /ready", 200, "ready"},
		{"POST /ready", 405, ""},
		{"GET /drain", 405, ""},
		{"POST /drain", 200, ""},
		{"GET /ready", 503, ""},
		{"GET /metrics", 200, `{"outstanding":3}`},
		{"POST /undrain", 200, ""},
		{"GET /ready", 200, "ready"},
		{"GET /elsewhere", 404, ""},
	} {
		method, path, _ := strings.Cut(c.call, " ")
		r, err := http.NewRequest(method, "http://"+s.Addr()+path, strings.NewReader(""))
		if err != nil {
			t.Fatal(err)
		}
		client := http.Client{Timeout: 20 * time.Second}
		got, err := client.Do(r)
		if err != nil {
			t.Fatal(c.call, err)
		}
		body, err := io.ReadAll(got.Body)
		got.Body.Close()
		if got.StatusCode != c.code || !strings.Contains(string(body), c.says) || err != nil || !got.Close {
			t.Errorf("%s: %s %q %v, closed after it: %t", c.call, got.Status, body, err, got.Close)
		}
	}
}
