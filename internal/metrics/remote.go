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

// RemoteWriter pushes the metrics of a set to a receiver by Prometheus remote write, version 1.
type RemoteWriter struct {
	URL      string
	Interval time.Duration
	Labels   map[string]string // added to every series, besides __name__
}

// Encode returns an uncompressed WriteRequest with the current values, stamped with the time now.
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
		slices.Sort(names) // receivers require sorted labels
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

// Push sends the current values once.
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

// Run pushes at each interval until the context ends, and then a last time. A failed push is counted, reported to
// onError, and not retried: counters only grow, so the next push includes what the failed one would have sent.
func (r *RemoteWriter) Run(ctx context.Context, s *Set, onError func(error)) {
	interval := r.Interval
	if interval <= 0 {
		interval = 15 * time.Second
	}
	client := &http.Client{Timeout: min(interval, 5*time.Second)}
	push := func(ctx context.Context) {
		if err := r.Push(ctx, client, s, time.Now()); err != nil {
			s.PushesFailed.Inc()
			onError(err)
		} else {
			s.PushesOK.Inc()
		}
	}
	tick := time.NewTicker(interval)
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
