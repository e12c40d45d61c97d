package slope

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
	latencyCalls   = 2000
	latencyWarm    = 200
	latencyLowest  = 1
	latencyHighest = 10_000_000 // µs
	latencyDigits  = 3
)

// Added is the latency of one call to a back end, directly and through entry and
// agent, measured in turn in one run.
type Added struct {
	DirectP50, DirectP99   time.Duration
	ThroughP50, ThroughP99 time.Duration
}

// Latency measures what the path adds to a call of one stage.
func (r *Runner) Latency() (a Added, err error) {
	p := plan(10, 1)
	p.Document = []byte(oneStage)
	p.Groups = []fleet.Group{{Name: "pool", Service: "pool", Kind: "pool", Count: 1, Slots: 8, ServiceUS: 1000, Labels: map[string]string{"role": "any"}}}
	f, err := r.fleet("latency", p)
	if err != nil {
		return a, err
	}
	defer func() { err = errors.Join(err, f.Stop()) }()
	if err := f.Start(context.Background()); err != nil {
		return a, err
	}
	direct := caller(f.Endpoints[0].Addr, "/v1/embeddings", map[string]string{"input": "x"})
	through := caller(f.Entries[0].HTTP, "/v1/pipelines/p", map[string]string{"team": "t", "input": "x"})
	d, t := latencies(), latencies()
	for i := range latencyWarm + latencyCalls {
		one, err := direct()
		if err != nil {
			return a, fmt.Errorf("direct call: %w", err)
		}
		other, err := through()
		if err != nil {
			return a, fmt.Errorf("call through the path: %w", err)
		}
		if i < latencyWarm {
			continue
		}
		if err := errors.Join(d.RecordValue(one.Microseconds()), t.RecordValue(other.Microseconds())); err != nil {
			return a, fmt.Errorf("record latency: %w", err)
		}
	}
	at := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	return Added{DirectP50: at(d, 50), DirectP99: at(d, 99), ThroughP50: at(t, 50), ThroughP99: at(t, 99)}, nil
}

const oneStage = `
revision: 1
zones: [{name: z0, state: serving}]
teams: [{name: t, weight: 1}]
classes: [{name: c, priority: 0}]
pipelines:
  - {name: p, deadline: 1s, stages: [{name: s, kind: encoding, idempotent: true, selectors: [{match: {role: any}}]}]}
`

func latencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(latencyLowest, latencyHighest, latencyDigits)
}

// caller returns a function that makes one call and returns its latency.
func caller(addr, path string, body map[string]string) func() (time.Duration, error) {
	c := &fasthttp.HostClient{Addr: addr}
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
		began := time.Now()
		if err := c.DoTimeout(req, resp, time.Second); err != nil {
			return 0, err
		}
		took := time.Since(began)
		if resp.StatusCode() != fasthttp.StatusOK {
			return 0, fmt.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
		}
		return took, nil
	}
}
