package deploy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/fakes/site"
)

const (
	callerDeadline = 5 * time.Second // of each request
	callerGrace    = 3 * time.Second // a caller waits so long beyond its deadline
	promptParts    = 4               // beginnings of prompts that requests share
	mostItems      = 3               // of each stage
	maxReported    = 5               // findings of each sort that are spelled out
)

// Route is a route of the standard site that callers use.
type Route struct {
	Prefix string
	Once   bool // may run once at most
	Stream bool
	Staged bool
}

// Routes are the routes of the standard site.
func Routes() []Route {
	return []Route{
		{Prefix: "/plain/"},
		{Prefix: "/once/", Once: true},
		{Prefix: "/review/", Stream: true, Staged: true},
		{Prefix: "/note/", Once: true, Stream: true},
	}
}

// Reply is what a caller got.
type Reply struct {
	ID     string
	Route  Route
	URI    string
	Body   string
	Status int // 0: no whole answer
	Answer string
	Signed bool
	Began  time.Time
	Ended  time.Time
}

// Load is how callers send requests.
type Load struct {
	Rate     float64 // requests a second
	Duration time.Duration
	Seed     uint64
}

// Drive sends requests at a rate to the relays in turn, whatever becomes of
// those before, and returns all replies. It blocks until the last has ended.
func (d *Deploy) Drive(ctx context.Context, l Load) []*Reply {
	rng := rand.New(rand.NewPCG(l.Seed, 0))
	ctx, cancel := context.WithTimeout(ctx, l.Duration)
	defer cancel()
	var wg sync.WaitGroup
	var out []*Reply
	client := &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 1 << 14}
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			wg.Wait()
			return out
		case <-time.After(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))):
		}
		routes := Routes()
		r := &Reply{ID: fmt.Sprintf("%x-%x", l.Seed, n), Route: routes[rng.IntN(len(routes))]}
		r.URI = fmt.Sprintf("%s%d", r.Route.Prefix, n)
		if rng.IntN(2) == 0 {
			r.Body = fmt.Sprintf("body of %s", r.ID)
		}
		req := r.request(rng)
		addr := d.Relays[n%len(d.Relays)].Settings.HTTP.Listen
		out = append(out, r)
		wg.Go(func() {
			defer fasthttp.ReleaseRequest(req)
			r.call(client, addr, req)
		})
	}
}

func (r *Reply) request(rng *rand.Rand) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	c := site.Call{ID: r.ID, Key: site.StandardKey, Deadline: callerDeadline}
	if r.Route.Stream {
		c.Prompt = []string{fmt.Sprintf("%x:60", rng.IntN(promptParts)), fmt.Sprintf("%x:40", rng.Uint32())}
	}
	if r.Route.Staged {
		c.Items = fmt.Sprintf("%d,%d", 1+rng.IntN(mostItems), 1+rng.IntN(mostItems))
		c.ItemKey = fmt.Sprintf("%x", rng.Uint32())
	}
	c.Fill(&req.Header)
	if r.Body != "" {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString(r.Body)
	}
	return req
}

func (r *Reply) call(client *fasthttp.Client, addr string, req *fasthttp.Request) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + r.URI)
	req.UseHostHeader = true
	req.Header.SetHost(site.StandardHost)
	r.Began = time.Now()
	err := client.DoTimeout(req, resp, callerDeadline+callerGrace)
	r.Ended = time.Now()
	if err != nil {
		return
	}
	r.Status, r.Answer = resp.StatusCode(), string(resp.Body())
	r.Signed = site.Signed(&resp.Header)
}

// Verdict is what is wrong with replies.
type Verdict struct {
	Sent, Served, Refused, Broken int

	Wrong   []string // success that isn't an endpoint's whole answer
	Doubled []string // ran twice and may not
	Untrue  []string // ran, though refused as not run
}

// OK reports whether nothing is wrong.
func (v *Verdict) OK() bool { return len(v.Wrong)+len(v.Doubled)+len(v.Untrue) == 0 }

// String tells the counts and the first findings.
func (v *Verdict) String() string {
	s := fmt.Sprintf("%d sent, %d served, %d refused, %d broken; wrong %d, doubled %d, untrue refusals %d",
		v.Sent, v.Served, v.Refused, v.Broken, len(v.Wrong), len(v.Doubled), len(v.Untrue))
	for _, list := range [][]string{v.Wrong, v.Doubled, v.Untrue} {
		for _, f := range list[:min(len(list), maxReported)] {
			s += "\n  ! " + f
		}
	}
	return s
}

// Judge compares what callers got with what endpoints ran.
func (d *Deploy) Judge(replies []*Reply) *Verdict {
	runs := make(map[string]int)
	for _, s := range d.Site.Servers() {
		for _, seen := range s.Ran() {
			runs[seen.ID]++
		}
	}
	v := &Verdict{Sent: len(replies)}
	for _, r := range replies {
		n := runs[r.ID]
		if r.Route.Once && n > 1 {
			v.Doubled = append(v.Doubled, fmt.Sprintf("%s %s ran %d times", r.ID, r.URI, n))
		}
		switch r.Status {
		case 0:
			v.Broken++
		case fasthttp.StatusOK:
			v.Served++
			if want := r.want(); r.Answer != want || !r.Signed {
				v.Wrong = append(v.Wrong, fmt.Sprintf("%s %s got %q, want %q", r.ID, r.URI, r.Answer, want))
			}
		case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests, fasthttp.StatusRequestTimeout:
			v.Refused++
			if r.Route.Once && n > 0 {
				v.Untrue = append(v.Untrue, fmt.Sprintf("%s %s got %d and ran", r.ID, r.URI, r.Status))
			}
		}
	}
	return v
}

func (r *Reply) want() string {
	if r.Route.Stream {
		return site.Events(r.URI, 0, site.StandardEvents)
	}
	return site.Body(r.URI, r.Body)
}
