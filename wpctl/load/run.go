package load

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/base/http1"
)

const (
	defaultRetryTimeout = 10 * time.Second
	maxConnsPerTarget   = 16384
	callTimeout         = 15 * time.Second
	headerTimeout       = 10 * time.Second
)

// Run sends the requests of a plan and returns a report of how they ended. It
// blocks until all have ended. When ctx ends, it sends no further requests but
// still waits for those in flight.
func Run(ctx context.Context, p *Plan) (*Report, error) {
	arrivals, err := p.arrivals()
	if err != nil {
		return nil, err
	}
	c := &client{plan: p, http: newHTTPClient()}
	rep := newReport()
	var wg sync.WaitGroup
	start := time.Now()
	for i, a := range arrivals {
		if !sleepUntil(ctx, start.Add(a.offset)) {
			break
		}
		wg.Go(func() {
			rep.add(c.do(a))
			if p.Progress != nil {
				p.Progress(i + 1)
			}
		})
	}
	wg.Wait()
	rep.Elapsed = time.Since(start)
	return rep, nil
}

// newHTTPClient returns a client that leaves retries to its caller.
func newHTTPClient() *fasthttp.Client {
	return &fasthttp.Client{
		DialTimeout:               http1.Dial,
		MaxConnsPerHost:           maxConnsPerTarget,
		StreamResponseBody:        true,
		ReadTimeout:               headerTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// sleepUntil blocks until the time at or until ctx ends. It reports whether the
// time was reached.
func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
