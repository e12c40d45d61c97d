package deploy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
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
	maxTakeUps         = 2               // of a stream that breaks off, by its caller
	takeUpDelay        = 50 * time.Millisecond
	eventEnd           = "\n\n"
	maxPrintedFindings = 5       // findings printed for each kind of violation
	maxConnsPerRelay   = 1 << 14 // of all callers together; never reached
	maxBodyBytes       = 16 << 20
)

var errBodyTooLarge = errors.New("body is too large")

// Route is a route of the standard site that callers use.
type Route struct {
	Prefix     string
	AtMostOnce bool // must not run more than once
	Streaming  bool // responses are event streams of an engine
	Resumable  bool // callers take up streams that break off
	HasStages  bool // requests state the number of items of each stage
}

// Routes are the routes of the standard site.
func Routes() []Route {
	return []Route{
		{Prefix: "/plain/"},
		{Prefix: "/once/", AtMostOnce: true},
		{Prefix: "/review/", Streaming: true, Resumable: true, HasStages: true},
		{Prefix: "/note/", AtMostOnce: true, Streaming: true},
	}
}

// Reply is a request and the response that its caller got.
type Reply struct {
	ID           string
	Route        Route
	URI          string
	RequestBody  string
	Status       int    // 0: no complete response
	ResponseBody string // of all attempts together, if the stream was taken up
	TakenUp      int    // number of times that the caller took up the stream
	Signed       bool   // the response has an endpoint's signature
	StartedAt    time.Time
	EndedAt      time.Time

	Attempts []Attempt // in the order of their sending

	Relay        string    // that got the first attempt; empty: a balancer chose it
	FirstError   error     // why nothing of a response to it arrived; nil: something did
	FirstEndedAt time.Time // when the first attempt ended
}

// Load describes the requests that callers send.
type Load struct {
	Rate     float64 // requests per second
	Duration time.Duration
	Seed     uint64
	Balanced bool // a Balancer chooses the relay of each connection; otherwise requests go to the relays in turn
}

// SendLoad sends requests to the relays and returns all replies. Arrivals
// are random at the given mean rate and don't wait for earlier responses. The seed
// determines the sequence of requests. SendLoad blocks until the last request has
// ended.
func (d *Deployment) SendLoad(ctx context.Context, l Load) []*Reply {
	rng := rand.New(rand.NewPCG(l.Seed, 0))
	ctx, cancel := context.WithTimeout(ctx, l.Duration)
	defer cancel()
	d.client.MaxIdemponentCallAttempts, d.client.MaxConnsPerHost = 1, maxConnsPerRelay
	client := &d.client
	if l.Balanced {
		balanced, stop := d.balance(context.WithoutCancel(ctx)) // requests outlast the load
		defer stop()
		client = balanced
	}
	var wg sync.WaitGroup
	var out []*Reply
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			wg.Wait()
			return out
		case <-time.After(time.Duration(rng.ExpFloat64() / l.Rate * float64(time.Second))):
		}
		routes := Routes()
		r := &Reply{ID: fmt.Sprintf("%x-%x", l.Seed, n), Route: routes[rng.IntN(len(routes))], Relay: d.Relays[n%len(d.Relays)].Name}
		r.URI = fmt.Sprintf("%s%d", r.Route.Prefix, n)
		if rng.IntN(2) == 0 {
			r.RequestBody = fmt.Sprintf("body of %s", r.ID)
		}
		req := r.newRequest(rng)
		addrs := make([]string, 0, maxTakeUps+1) // of the relay for each attempt
		for i := range maxTakeUps + 1 {
			addrs = append(addrs, d.Relays[(n+i)%len(d.Relays)].Settings.HTTP.Listen)
		}
		if l.Balanced {
			if rng.IntN(2) == 0 {
				req.SetConnectionClose() // otherwise few connections, all to the same relays, carry everything
			}
			r.Relay, addrs = "", slices.Repeat([]string{balancerAddr}, len(addrs))
		}
		out = append(out, r)
		wg.Go(func() {
			defer fasthttp.ReleaseRequest(req)
			r.send(client, addrs, req)
		})
	}
}

// newRequest returns the request. The caller releases it.
func (r *Reply) newRequest(rng *rand.Rand) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	c := site.Call{AttemptID: r.ID, APIKey: site.StandardKey, Deadline: requestDeadline}
	if r.Route.Streaming {
		c.PromptParts = []string{promptPrefix(rng) + ":60", fmt.Sprintf("%x:40", rng.Uint32())}
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

// promptPrefix returns the ID of one of the parts with which prompts begin.
func promptPrefix(rng *rand.Rand) string { return fmt.Sprintf("%x", rng.IntN(numPrefixes)) }

// send sends the request and records the response. A resumable stream that breaks off
// is taken up at the relay with the next of addrs, under a new attempt ID.
func (r *Reply) send(client *fasthttp.Client, addrs []string, req *fasthttp.Request) {
	r.StartedAt = time.Now()
	defer func() { r.EndedAt = time.Now() }()
	var received strings.Builder
	for i, addr := range addrs {
		if i > 0 {
			// The caller has at least one event, and none of them is incomplete.
			r.TakenUp++
			site.TakeUp(&req.Header, fmt.Sprintf("%s-%d", r.ID, i), r.ID, strings.Count(received.String(), eventEnd)-1)
			time.Sleep(takeUpDelay)
		}
		body, err := r.sendOnce(client, addr, req)
		if i == 0 {
			r.FirstEndedAt = time.Now()
			if body == "" {
				r.FirstError = err
			}
		}
		complete := err == nil
		if complete && r.Status == fasthttp.StatusOK {
			received.WriteString(body)
			r.ResponseBody = received.String()
			return
		}
		whole := strings.LastIndex(body, eventEnd)
		if whole >= 0 && !complete {
			received.WriteString(body[:whole+len(eventEnd)])
		}
		if !r.Route.Resumable || received.Len() == 0 {
			r.ResponseBody = body
			return
		}
		r.Status = 0
	}
}

// sendOnce sends the request to one relay. It returns the part of the body that
// arrived, and an error if it is not complete. The status is 0 then.
func (r *Reply) sendOnce(client *fasthttp.Client, addr string, req *fasthttp.Request) (string, error) {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	resp.StreamBody = true
	req.SetRequestURI("http://" + addr + r.URI)
	req.UseHostHeader = true
	req.Header.SetHost(site.StandardHost)
	r.Status = 0
	sentAt := time.Now()
	if err := client.DoTimeout(req, resp, requestDeadline+responseGrace); err != nil {
		r.Attempts = append(r.Attempts, newAttempt(resp, sentAt, false, err))
		return "", fmt.Errorf("send request: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.BodyStream(), maxBodyBytes))
	if err == nil && len(body) == maxBodyBytes {
		err = errBodyTooLarge
	}
	r.Attempts = append(r.Attempts, newAttempt(resp, sentAt, true, err))
	_ = resp.CloseBodyStream() // fails only after a failed read
	if err != nil {
		return string(body), fmt.Errorf("read body: %w", err)
	}
	r.Status = resp.StatusCode()
	r.Signed = site.Signed(&resp.Header)
	return string(body), nil
}

// Verdict counts replies and lists what is wrong with them. Served are those with
// status 200, Rejected those with 408, 429 or 503, and Broken those without a
// complete response.
type Verdict struct {
	Sent, Served, Rejected, Broken int
	TakenUp                        int // streams that their callers took up and that were served

	WrongResponses    []string // status 200, but not the complete and signed response of an endpoint, or a status for invalid requests
	RanTwice          []string // ran more than once though the route forbids it
	RanThoughRejected []string // ran, though the response says that the request did not run
	Unanswered        []string // got neither an answer nor a refusal from a relay that was not interrupted
	LateRequests      []string // reached an endpoint too long after its removal
}

// OK reports whether there are no findings.
func (v *Verdict) OK() bool {
	return len(v.WrongResponses)+len(v.RanTwice)+len(v.RanThoughRejected)+len(v.Unanswered)+len(v.LateRequests) == 0
}

// String returns the counts and the first findings of each kind.
func (v *Verdict) String() string {
	s := fmt.Sprintf("%d sent, %d served (%d taken up), %d rejected, %d broken; wrong responses %d, ran twice %d, ran though rejected %d, unanswered %d, late requests %d",
		v.Sent, v.Served, v.TakenUp, v.Rejected, v.Broken, len(v.WrongResponses), len(v.RanTwice), len(v.RanThoughRejected), len(v.Unanswered), len(v.LateRequests))
	for _, list := range [][]string{v.WrongResponses, v.RanTwice, v.RanThoughRejected, v.Unanswered, v.LateRequests} {
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
			v.TakenUp += min(1, r.TakenUp)
			if !r.isWhole() || !r.Signed {
				v.WrongResponses = append(v.WrongResponses, fmt.Sprintf("%s %s: response %q, taken up %d times", r.ID, r.URI, r.ResponseBody, r.TakenUp))
			}
		case fasthttp.StatusServiceUnavailable, fasthttp.StatusTooManyRequests, fasthttp.StatusRequestTimeout:
			v.Rejected++
			if r.Route.AtMostOnce && n > 0 {
				v.RanThoughRejected = append(v.RanThoughRejected, fmt.Sprintf("%s %s was rejected with %d but ran", r.ID, r.URI, r.Status))
			}
		default:
			if r.Status < fasthttp.StatusInternalServerError { // all requests are valid
				v.WrongResponses = append(v.WrongResponses, fmt.Sprintf("%s %s: status %d", r.ID, r.URI, r.Status))
			}
		}
	}
	return v
}

// isWhole reports whether the response body is the complete one of an endpoint, or of
// endpoints of one software version if it is a stream.
func (r *Reply) isWhole() bool {
	if r.Route.Streaming {
		_, ok := site.StreamVersion(r.ResponseBody, r.URI, 0, site.StandardEventCount)
		return ok
	}
	return r.ResponseBody == site.ResponseBody(r.URI, r.RequestBody)
}
