package metrics

import (
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/golang/snappy"
	"google.golang.org/protobuf/encoding/protowire"
	"gopkg.in/yaml.v3"
)

func TestPrint(t *testing.T) {
	s := New()
	s.Offered.Add(3)
	var out strings.Builder
	s.Print(&out)
	if !strings.Contains(out.String(), "# TYPE tinbeam_calls_offered_total counter\ntinbeam_calls_offered_total 3\n") ||
		!strings.Contains(out.String(), "# TYPE tinbeam_calls_standing gauge\n") {
		t.Error(out.String())
	}
}

// fields calls each for every field of a protobuf message.
func fields(t *testing.T, b []byte, each func(protowire.Number, protowire.Type, []byte)) {
	t.Helper()
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			t.Fatal("invalid protobuf tag")
		}
		b = b[n:]
		n = protowire.ConsumeFieldValue(num, typ, b)
		if n < 0 {
			t.Fatal("invalid protobuf field value")
		}
		each(num, typ, b[:n])
		b = b[n:]
	}
}

// text returns the content of a length-delimited field.
func text(t *testing.T, b []byte) []byte {
	t.Helper()
	v, n := protowire.ConsumeBytes(b)
	if n < 0 {
		t.Fatal("invalid length-delimited field")
	}
	return v
}

// TestRemoteWrite decodes a push as a receiver does that follows the public specification.
func TestRemoteWrite(t *testing.T) {
	var got http.Header
	var body []byte
	status := http.StatusNoContent
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		raw, _ := io.ReadAll(r.Body)
		body, _ = snappy.Decode(nil, raw)
		w.WriteHeader(status)
	}))
	defer srv.Close()
	s := New()
	s.Answered.Add(7)
	r := &RemoteWriter{URL: srv.URL, Labels: map[string]string{"agent": "n3", "zone": "a"}}
	now := time.UnixMilli(1700000000123)
	if err := r.Push(context.Background(), srv.Client(), s, now); err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]string{"Content-Encoding": "snappy", "Content-Type": "application/x-protobuf",
		"X-Prometheus-Remote-Write-Version": "0.1.0"} {
		if got.Get(k) != v {
			t.Errorf("%s: %q", k, got.Get(k))
		}
	}
	series := map[string]float64{}
	fields(t, body, func(num protowire.Number, _ protowire.Type, b []byte) {
		var labels []string
		var value float64
		fields(t, text(t, b), func(num protowire.Number, _ protowire.Type, b []byte) {
			fields(t, text(t, b), func(part protowire.Number, typ protowire.Type, b []byte) {
				switch {
				case num == 1:
					labels = append(labels, string(text(t, b)))
				case typ == protowire.Fixed64Type:
					v, _ := protowire.ConsumeFixed64(b)
					value = math.Float64frombits(v)
				default:
					if ms, _ := protowire.ConsumeVarint(b); ms != uint64(now.UnixMilli()) {
						t.Errorf("sample timestamp %d", ms)
					}
				}
			})
		})
		series[strings.Join(labels, " ")] = value
	})
	if len(series) != len(s.All()) || series["__name__ tinbeam_calls_answered_total agent n3 zone a"] != 7 {
		t.Errorf("%v", series)
	}
	status = http.StatusBadRequest
	if err := r.Push(context.Background(), srv.Client(), s, now); err == nil {
		t.Error("Push returned no error for a refused push")
	}
	// When its context has already ended, Run still makes a last push and counts its result.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	errorCount := 0
	r.Run(ctx, s, func(error) { errorCount++ })
	if errorCount != 1 || s.PushesFailed.Value() != 1 || s.PushesOK.Value() != 0 {
		t.Errorf("%d errors reported, %d failures counted", errorCount, s.PushesFailed.Value())
	}
}

// TestAlertRules checks that the alert rules in deploy use only metrics that the agent emits, and use them correctly.
func TestAlertRules(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/alerts.yml")
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Groups []struct {
			Name  string
			Rules []struct {
				Alert, Expr, For string
				Labels           map[string]string
				Annotations      map[string]string
			}
		}
	}
	if err := yaml.Unmarshal(raw, &file); err != nil {
		t.Fatal(err)
	}
	known := map[string]*Counter{}
	for _, c := range New().All() {
		if known[c.Name] != nil || strings.HasSuffix(c.Name, "_total") == c.Gauge || c.Help == "" {
			t.Errorf("%s: name is a duplicate or has the wrong suffix, or the help text is missing", c.Name)
		}
		known[c.Name] = c
	}
	name := regexp.MustCompile(`(rate|increase)?\(?(tinbeam_[a-z_]+)`)
	rules := 0
	for _, g := range file.Groups {
		for _, r := range g.Rules {
			rules++
			uses := name.FindAllStringSubmatch(r.Expr, -1)
			if r.Alert == "" || len(uses) == 0 || r.Annotations["summary"] == "" || r.Labels["severity"] == "" {
				t.Errorf("%s: an alert needs a name, an expression on tinbeam series, a severity and a summary", r.Alert)
			}
			for _, u := range uses {
				if c := known[u[2]]; c == nil || c.Gauge == (u[1] != "") {
					t.Errorf("%s: %s is not emitted, or is a gauge in a rate or a counter outside a rate", r.Alert, u[2])
				}
			}
			if _, err := time.ParseDuration(r.For); r.For != "" && err != nil {
				t.Errorf("%s: invalid duration in for: %v", r.Alert, err)
			}
		}
	}
	if rules == 0 {
		t.Error("the file has no alert rules")
	}
}
