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

type agent struct{ draining bool }

func (a *agent) AcceptsCallers() bool { return !a.draining }
func (a *agent) Stats() any           { return map[string]int{"outstanding": 3} }
func (a *agent) Drain(on bool)        { a.draining = on }

func TestRequests(t *testing.T) {
	s, err := Listen("127.0.0.1:0", 4, &agent{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	// More connections than the limit, all sending nothing or part of a request, must not lock operators out.
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
		request string
		code    int
		body    string
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
		method, path, _ := strings.Cut(c.request, " ")
		r, err := http.NewRequest(method, "http://"+s.Addr()+path, strings.NewReader(""))
		if err != nil {
			t.Fatal(err)
		}
		client := http.Client{Timeout: 20 * time.Second}
		got, err := client.Do(r)
		if err != nil {
			t.Fatal(c.request, err)
		}
		body, err := io.ReadAll(got.Body)
		got.Body.Close()
		if got.StatusCode != c.code || !strings.Contains(string(body), c.body) || err != nil || !got.Close {
			t.Errorf("%s: %s %q %v, connection closed after the response: %t", c.request, got.Status, body, err, got.Close)
		}
	}
}
