// Package delay measures the latency that an entry and an agent add to a call.
package delay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/proof/fleet"
)

const (
	latencyCalls       = 2000
	latencyWarmupCalls = 200 // not measured
	minLatencyMicros   = 1
	maxLatencyMicros   = 10_000_000
	latencyDigits      = 3 // significant digits of the histograms
)

// Runner starts the deployment that is measured.
type Runner struct {
	Bin string // directory with the built programs
	Dir string // directory for the settings and logs of the deployment
}

// PathLatency holds the latencies of calls to a back end, directly and through
// entry and agent. One run alternates between the two kinds of call.
type PathLatency struct {
	DirectP50, DirectP99   time.Duration
	ThroughP50, ThroughP99 time.Duration
}

// MeasureLatency measures the latency that entry and agent add to a pipeline of
// one stage.
func (r *Runner) MeasureLatency() (l PathLatency, err error) {
	f, err := fleet.New(fleet.Plan{
		Entries: []string{"z0"}, Zones: []string{"z0"}, Document: []byte(singleStageDocument),
		Groups: []fleet.Group{{Name: "pool", Service: "pool", Kind: "pool", Count: 1, Slots: 8, ServiceUS: 1000, Labels: map[string]string{"role": "any"}}},
	}, r.Dir, r.Bin)
	if err != nil {
		return l, err
	}
	defer func() { err = errors.Join(err, f.Stop()) }()
	if err := f.Start(context.Background()); err != nil {
		return l, err
	}
	direct := newCaller(f.Endpoints[0].Addr, "/v1/embeddings", map[string]string{"input": "x"})
	through := newCaller(f.Entries[0].HTTPAddr, "/v1/pipelines/p", map[string]string{"team": "t", "input": "x"})
	directHist, throughHist := newHistogram(), newHistogram()
	for i := range latencyWarmupCalls + latencyCalls {
		directLatency, err := direct()
		if err != nil {
			return l, fmt.Errorf("direct call: %w", err)
		}
		throughLatency, err := through()
		if err != nil {
			return l, fmt.Errorf("call through entry and agent: %w", err)
		}
		if i < latencyWarmupCalls {
			continue
		}
		if err := errors.Join(directHist.RecordValue(directLatency.Microseconds()), throughHist.RecordValue(throughLatency.Microseconds())); err != nil {
			return l, fmt.Errorf("record latency: %w", err)
		}
	}
	percentile := func(h *hdrhistogram.Histogram, p float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond
	}
	return PathLatency{
		DirectP50: percentile(directHist, 50), DirectP99: percentile(directHist, 99),
		ThroughP50: percentile(throughHist, 50), ThroughP99: percentile(throughHist, 99),
	}, nil
}

// singleStageDocument is a configuration with one pipeline of one stage.
const singleStageDocument = `
revision: 1
zones: [{name: z0, state: serving}]
teams: [{name: t, weight: 1}]
classes: [{name: c, priority: 0}]
pipelines:
  - {name: p, deadline: 1s, stages: [{name: s, kind: encoding, idempotent: true, selectors: [{match: {role: any}}]}]}
`

// newHistogram returns an empty histogram of microseconds.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
}

// newCaller returns a function that sends one request and returns its latency. It
// returns an error for any status but 200.
func newCaller(addr, path string, body map[string]string) func() (time.Duration, error) {
	client := &fasthttp.HostClient{Addr: addr}
	return func() (time.Duration, error) {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.SetRequestURI("http://" + addr + path)
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBody(raw)
		start := time.Now()
		if err := client.DoTimeout(req, resp, time.Second); err != nil {
			return 0, err
		}
		latency := time.Since(start)
		if resp.StatusCode() != fasthttp.StatusOK {
			return 0, fmt.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
		}
		return latency, nil
	}
}
