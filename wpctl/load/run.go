package load

import (
	"context"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	defaultPatience = 10 * time.Second
	clientConns     = 16384
	callTimeout     = 15 * time.Second
	headerTimeout   = 10 * time.Second
)

// Run sends a plan's requests and returns how they ended. It blocks until the
// last has ended. Ending ctx stops the sending, not what is under way.
func Run(ctx context.Context, p *Plan) (*Report, error) {
	list, err := p.arrivals()
	if err != nil {
		return nil, err
	}
	c := &client{plan: p, http: &fasthttp.Client{
		MaxConnsPerHost:           clientConns,
		StreamResponseBody:        true,
		ReadTimeout:               headerTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
	rep := newReport()
	var wg sync.WaitGroup
	start := time.Now()
	for i, a := range list {
		if !sleepUntil(ctx, start.Add(a.at)) {
			break
		}
		wg.Go(func() {
			rep.add(c.one(a))
			if p.Progress != nil {
				p.Progress(i + 1)
			}
		})
	}
	wg.Wait()
	rep.Elapsed = time.Since(start)
	return rep, nil
}

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
