package metrics

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/golang/snappy"
	"google.golang.org/protobuf/encoding/protowire"
)

// RemoteWriter pushes the counters by Prometheus remote write, version 1.
type RemoteWriter struct {
	URL      string
	Interval time.Duration
	Labels   map[string]string // put on every series, beside __name__
}

// Encode writes a WriteRequest with the present values, uncompressed.
func (r *RemoteWriter) Encode(s *Set, now time.Time) []byte {
	var out []byte
	for _, c := range s.All() {
		labels := map[string]string{"__name__": c.Name}
		for k, v := range r.Labels {
			labels[k] = v
		}
		names := make([]string, 0, len(labels))
		for n := range labels {
			names = append(names, n)
		}
		slices.Sort(names) // receivers want labels in order
		var series []byte
		for _, n := range names {
			var l []byte
			l = protowire.AppendString(protowire.AppendTag(l, 1, protowire.BytesType), n)
			l = protowire.AppendString(protowire.AppendTag(l, 2, protowire.BytesType), labels[n])
			series = protowire.AppendBytes(protowire.AppendTag(series, 1, protowire.BytesType), l)
		}
		var sample []byte
		sample = protowire.AppendTag(sample, 1, protowire.Fixed64Type)
		sample = protowire.AppendFixed64(sample, math.Float64bits(float64(c.Value())))
		sample = protowire.AppendTag(sample, 2, protowire.VarintType)
		sample = protowire.AppendVarint(sample, uint64(now.UnixMilli()))
		series = protowire.AppendBytes(protowire.AppendTag(series, 2, protowire.BytesType), sample)
		out = protowire.AppendBytes(protowire.AppendTag(out, 1, protowire.BytesType), series)
	}
	return out
}

// Push sends the present values once.
func (r *RemoteWriter) Push(ctx context.Context, client *http.Client, s *Set, now time.Time) error {
	body := snappy.Encode(nil, r.Encode(s, now))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.URL, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Encoding", "snappy")
	req.Header.Set("Content-Type", "application/x-protobuf")
	req.Header.Set("X-Prometheus-Remote-Write-Version", "0.1.0")
	req.Header.Set("User-Agent", "tinbeam")
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 256))
		return fmt.Errorf("remote write: %s: %s", res.Status, strings.TrimSpace(string(text)))
	}
	return nil
}

// Run pushes until the context ends, and once more then. A push that fails is counted and not repeated: counters only
// grow, so the next one carries all that it had.
func (r *RemoteWriter) Run(ctx context.Context, s *Set, failed func(error)) {
	every := r.Interval
	if every <= 0 {
		every = 15 * time.Second
	}
	client := &http.Client{Timeout: min(every, 5*time.Second)}
	push := func(ctx context.Context) {
		if err := r.Push(ctx, client, s, time.Now()); err != nil {
			s.PushesFailed.Inc()
			failed(err)
		} else {
			s.PushesOK.Inc()
		}
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			push(ctx)
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			push(last)
			return
		}
	}
}
