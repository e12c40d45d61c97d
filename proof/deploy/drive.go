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
	requestDeadline    = 5 * time.Second // deadline that each request states
	responseGrace      = 3 * time.Second // time that a caller waits for a response after the deadline
	numPrefixes        = 4               // different prompt prefixes, each shared by many requests
	maxStageItems      = 3               // items per stage of a request
	maxPrintedFindings = 5               // findings printed for each kind of violation
)

// Route is a route of the standard site that callers use.
type Route struct {
	Prefix     string
	AtMostOnce bool // must not run more than once
	Streaming  bool // responses are event streams of an engine
	HasStages  bool // requests state the number of items of each stage
}

// Routes are the routes of the standard site.
func Routes() []Route {
	return []Route{
		{Prefix: "/plain/"},
		{Prefix: "/once/", AtMostOnce: true},
		{Prefix: "/review/", Streaming: true, HasStages: true},
		{Prefix: "/note/", AtMostOnce: true, Streaming: true},
	}
}

// Reply is a request and the response that its caller got.
type Reply struct {
	ID           string
	Route        Route
	URI          string
	RequestBody  string
	Status       int // 0: no complete response
	ResponseBody string
	Signed       bool // the response has an endpoint's signature
	StartedAt    time.Time
	EndedAt      time.Time
}

// Load describes the requests that callers send.
type Load struct {
	Rate     float64 // requests per second
	Duration time.Duration
	Seed     uint64
}

// SendLoad sends requests to the relays in turn and returns all replies. Arrivals
// are random at the given mean rate and don't wait for earlier responses. The seed
// determines the sequence of requests. SendLoad blocks until the last request has
// ended.
func (d *Deployment) SendLoad(ctx context.Context, l Load) []*Reply {
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
			r.RequestBody = fmt.Sprintf("body of %s", r.ID)
		}
		req := r.newRequest(rng)
		addr := d.Relays[n%len(d.Relays)].Settings.HTTP.Listen
		out = append(out, r)
		wg.Go(func() {
			defer fasthttp.ReleaseRequest(req)
			r.send(client, addr, req)
		})
	}
}

// newRequest returns the request. The caller releases it.
func (r *Reply) newRequest(rng *rand.Rand) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	c := site.Call{AttemptID: r.ID, APIKey: site.StandardKey, Deadline: requestDeadline}
	if r.Route.Streaming {
		c.PromptParts = []string{fmt.Sprintf("%x:60", rng.IntN(numPrefixes)), fmt.Sprintf("%x:40", rng.Uint32())}
	}
	if r.Route.HasStages {
		c.ItemCounts = fmt.Sprintf("%d,%d", 1+rng.IntN(maxStageItems), 1+rng.IntN(maxStageItems))
		c.ItemKey = fmt.Sprintf("%x", rng.Uint32())
	}
	c.SetHeaders(&req.Header)
	if r.RequestBody != "" {
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString(r.RequestBody)
	}
	return req
}

// send sends the request and records the response.
func (r *Reply) send(client *fasthttp.Client, addr string, req *fasthttp.Request) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + r.URI)
	req.UseHostHeader = true
	req.Header.SetHost(site.StandardHost)
	r.StartedAt = time.Now()
	err := client.DoTimeout(req, resp, requestDeadline+responseGrace)
	r.EndedAt = time.Now()
	if err != nil {
		return
	}
	r.Status, r.ResponseBody = resp.StatusCode(), string(resp.Body())
	r.Signed = site.Signed(&resp.Header)
}

// Verdict counts replies and lists what is wrong with them. Served are those with
// status 200, Rejected those with 408, 429 or 503, and Broken those without a
// complete response.
type Verdict struct {
	Sent, Served, Rejected, Broken int

	WrongResponses    []string // status 200, but not the complete and signed response of an endpoint
	RanTwice          []string // ran more than once though the route forbids it
	RanThoughRejected []string // ran, though the response says that the request did not run
}

// OK reports whether there are no findings.
func (v *Verdict) OK() bool {
	return len(v.WrongResponses)+len(v.RanTwice)+len(v.RanThoughRejected) == 0
}

// String returns the counts and the first findings of each kind.
func (v *Verdict) String() string {
	s := fmt.Sprintf("%d sent, %d served, %d rejected, %d broken; wrong responses %d, ran twice %d, ran though rejected %d",
		v.Sent, v.Served, v.Rejected, v.Broken, len(v.WrongResponses), len(v.RanTwice), len(v.RanThoughRejected))
	for _, list := range [][]string{v.WrongResponses, v.RanTwice, v.RanThoughRejected} {
		for _, f := range list[:min(len(list), maxPrintedFindings)] {
			s += "\n  ! " + f
		}
	}
	return s
}

// Verify compares the replies with the requests that ran at endpoints.
func (d *Deployment) Verify(replies []*Reply) *Verdict {
	runs := make(map[string]int)
	for _, e := range d.Site.Endpoints() {
		for _, req := range e.ExecutedRequests() {
			runs[req.AttemptID]++
		}
	}
	v := &Verdict{Sent: len(replies)}
	for _, r := range replies {
		n := runs[r.ID]
		if r.Route.AtMostOnce && n > 1 {
			v.RanTwice = append(v.RanTwice, fmt.Sprintf("%s %s ran %d times", r.ID, r.URI, n))
		}
		switch r.Status {
		case 0:
			v.Broken++
		case fasthttp.StatusOK:
			v.Served++
			if want := r.wantBody(); r.ResponseBody != want || !r.Signed {
				v.WrongResponses = append(v.WrongResponses, fmt.Sprintf("%s %s: response %q, want %q", r.ID, r.URI, r.ResponseBody, want))
			}
		case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests, fasthttp.StatusRequestTimeout:
			v.Rejected++
			if r.Route.AtMostOnce && n > 0 {
				v.RanThoughRejected = append(v.RanThoughRejected, fmt.Sprintf("%s %s was rejected with %d but ran", r.ID, r.URI, r.Status))
			}
		}
	}
	return v
}

// wantBody returns the body of the endpoint's complete response.
func (r *Reply) wantBody() string {
	if r.Route.Streaming {
		return site.EventStream(r.URI, 0, site.StandardEventCount)
	}
	return site.ResponseBody(r.URI, r.RequestBody)
}
