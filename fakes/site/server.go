package site

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Kind is the kind of work that an endpoint does.
type Kind string

// Kinds of endpoints.
const (
	KindPlain  Kind = "plain"
	KindEngine Kind = "engine"
	KindStage  Kind = "stage"
)

// Fault is a failure that an endpoint injects into its responses.
type Fault string

// Faults.
const (
	FaultLost      Fault = "lost"     // executes the request, then closes the connection without a response
	FaultTruncated Fault = "cut"      // executes the request and sends a truncated response
	FaultDuplicate Fault = "extra"    // sends the response twice; no effect on event streams
	FaultShed      Fault = "shed"     // rejects with 503 without executing the request
	FaultError     Fault = "fail"     // executes the request and responds with 500
	FaultUnsigned  Fault = "unsigned" // executes the request and responds without a signature
	FaultWrongID   Fault = "foreign"  // executes the request and responds with another attempt ID
	FaultHang      Fault = "mute"     // executes the request and never responds
	FaultEndless   Fault = "endless"  // executes the request and sends a body until the caller closes the connection
	FaultPause     Fault = "pause"    // is silent for a while (Endpoint.SetPause), in the middle of what is left of a stream, then goes on
	FaultNoEvents  Fault = "empty"    // executes the request and ends the connection after the head of an event stream without framing
	FaultInline    Fault = "inline"   // writes the response of a failure into an event stream without framing, after half of the events
	FaultLateCopy  Fault = "copy"     // sends the response again where the next one on its connection is expected; no effect on event streams
)

const (
	endlessBlockBytes = 64 << 10
	defaultPause      = 2 * time.Second
)

// Spec describes an endpoint.
type Spec struct {
	ID         string
	Service    string
	Zone       string
	Version    string // of its software; empty: DefaultVersion
	Kind       Kind
	Slots      int
	MaxItems   int                  // per stage call
	WorkTime   time.Duration        // time per request or stage call; for engines also before each event
	EventCount int                  // per stream
	Events     func(uri string) int // per stream, in place of EventCount; nil: EventCount
}

// eventCount returns the number of events of a stream.
func (s Spec) eventCount(uri string) int {
	if s.Events == nil {
		return s.EventCount
	}
	return s.Events(uri)
}

// ExecutedRequest is a request that an endpoint executed.
type ExecutedRequest struct {
	AttemptID string // set by the caller
	Method    string
	URI       string
	Body      string
	Headers   map[string]string // keys are lower-case names
}

// DefaultVersion is the software version of endpoints that don't specify one.
const DefaultVersion = "v1"

// Endpoint is one endpoint of the platform. Site.StartEndpoint returns a running
// one.
type Endpoint struct {
	Spec
	Addr string

	site           *Site
	ln             net.Listener
	http           *fasthttp.Server
	mu             sync.Mutex
	fault          Fault
	faultsLeft     int // number of responses that still get the fault
	executed       []ExecutedRequest
	inFlight       int
	results        map[string]bool // references of the retained stage results
	resultsMade    int
	stageCallSizes []int
	conns          []net.Conn
	copies         map[net.Conn]string // responses to send again before the next one on their connections
	rateLimit      string              // value of the rate limit header of responses; empty: none
	limitedAt      time.Time           // when rateLimit was first set
	arrivals       []time.Time         // of all requests for this endpoint
	requests       []time.Time         // the same without those that release results of stages
	leaving        bool                // responses say that the endpoint leaves
	closedFor      string              // retry delay that rejections name, in seconds
	rejections     int                 // number of requests that are still rejected with that delay
	markedAt       time.Time           // first response that named a retry delay or said that the endpoint leaves
	startUnixMs    int64               // of this incarnation
	crashed        bool                // a request has crashed it
	pause          time.Duration       // of FaultPause; 0: defaultPause
	pace           int                 // of its work, in percent of the usual time, which responses report; 0: as usual, and not reported
}

// trackingListener records the accepted connections of an endpoint, so that
// Endpoint.stop can close them.
type trackingListener struct {
	net.Listener
	endpoint *Endpoint
}

// Accept waits for the next connection and records it.
func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.endpoint.mu.Lock()
		l.endpoint.conns = append(l.endpoint.conns, conn)
		l.endpoint.mu.Unlock()
	}
	return conn, err
}

// stop closes the listener and all connections. It may be called more than
// once.
func (e *Endpoint) stop() error {
	err := e.ln.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil // stopped before
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, conn := range e.conns {
		_ = conn.Close() // most are already closed
	}
	e.conns = nil
	return err
}

// Refuse makes the endpoint refuse new connections. Those that are open stay so.
func (e *Endpoint) Refuse() error { return e.ln.Close() }

// InjectFault injects a fault into the next n responses.
func (e *Endpoint) InjectFault(f Fault, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault, e.faultsLeft = f, n
}

// LimitRate makes the endpoint name a limit of requests per second in all
// responses. An empty rate ends the limit.
func (e *Endpoint) LimitRate(rate string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rateLimit = rate
	if e.limitedAt.IsZero() {
		e.limitedAt = time.Now()
	}
}

// Leave makes the endpoint say in all responses that it leaves.
func (e *Endpoint) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// SetPace makes the endpoint take a percentage of the usual time for its work, and report
// it.
func (e *Endpoint) SetPace(percent int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pace = percent
}

// SetPause sets the time for which FaultPause makes the endpoint silent.
func (e *Endpoint) SetPause(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pause = d
}

// pauseTime returns the time for which FaultPause makes the endpoint silent.
func (e *Endpoint) pauseTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return cmp.Or(e.pause, defaultPause)
}

// workTime returns the time that a request takes now.
func (e *Endpoint) workTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pace == 0 {
		return e.WorkTime
	}
	return e.WorkTime * time.Duration(e.pace) / 100
}

// load returns the value of the load header.
func (e *Endpoint) load() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := fmt.Sprintf("%d,0,%d", e.inFlight, e.Slots)
	if e.pace > 0 {
		load += fmt.Sprintf(",%d", e.pace)
	}
	return load
}

// CloseFor makes the endpoint reject the next n requests and name a retry delay, in
// seconds.
func (e *Endpoint) CloseFor(seconds string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closedFor, e.rejections = seconds, n
}

// RequestsAfter returns the arrival times of the requests that the endpoint got after a time,
// without those that release results of stages.
func (e *Endpoint) RequestsAfter(from time.Time) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	i, _ := slices.BinarySearchFunc(e.requests, from, time.Time.Compare)
	return slices.Clone(e.requests[i:])
}

// recordArrival records a request and returns what its response says: a limit, whether
// the endpoint leaves, and the retry delay with which the request is rejected.
func (e *Endpoint) recordArrival(release bool) (limit string, leaving bool, closedFor string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.arrivals = append(e.arrivals, now)
	if !release {
		e.requests = append(e.requests, now)
	}
	if e.rejections > 0 {
		e.rejections--
		closedFor = e.closedFor
	}
	if e.markedAt.IsZero() && (e.leaving || closedFor != "") {
		e.markedAt = now
	}
	return e.rateLimit, e.leaving, closedFor
}

// ArrivalsSinceMark returns how many requests arrived between two times after the
// first response that named a retry delay or said that the endpoint leaves.
func (e *Endpoint) ArrivalsSinceMark(from, to time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, t := range e.arrivals {
		if !e.markedAt.IsZero() && t.After(e.markedAt.Add(from)) && t.Before(e.markedAt.Add(to)) {
			n++
		}
	}
	return n
}

// Restart makes the endpoint another incarnation of itself, which says nothing of
// what the former one did.
func (e *Endpoint) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startUnixMs++
	e.leaving, e.rateLimit, e.rejections = false, "", 0
}

func (e *Endpoint) startedAtMs() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startUnixMs
}

// Arrivals returns the arrival times of the requests that the endpoint got after
// grace had passed since it first named a rate limit.
func (e *Endpoint) Arrivals(grace time.Duration) []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []time.Time
	for _, t := range e.arrivals {
		if t.After(e.limitedAt.Add(grace)) {
			out = append(out, t)
		}
	}
	return out
}

// takeFault returns the fault of the next response, or "".
func (e *Endpoint) takeFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faultsLeft == 0 || e.fault == FaultLateCopy {
		return ""
	}
	e.faultsLeft--
	return e.fault
}

// sendCopy sends a response again that FaultLateCopy has set aside for the connection.
func (e *Endpoint) sendCopy(conn net.Conn) {
	e.mu.Lock()
	raw := e.copies[conn]
	delete(e.copies, conn)
	e.mu.Unlock()
	_, _ = conn.Write([]byte(raw)) // fails only if the caller has disconnected
}

// keepCopy sets a response aside for sendCopy if the fault of the response is
// FaultLateCopy.
func (e *Endpoint) keepCopy(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faultsLeft == 0 || e.fault != FaultLateCopy || ctx.Response.IsBodyStream() {
		return
	}
	e.faultsLeft--
	e.copies[ctx.Conn()] = ctx.Response.String()
}

// ExecutedRequests returns the requests that the endpoint has executed. Stage calls aren't
// among them.
func (e *Endpoint) ExecutedRequests() []ExecutedRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ExecutedRequest(nil), e.executed...)
}

// StageCallSizes returns the number of items of each stage call.
func (e *Endpoint) StageCallSizes() []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]int(nil), e.stageCallSizes...)
}

// NumResults returns the number of stage results that the endpoint retains.
func (e *Endpoint) NumResults() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.results)
}

func (e *Endpoint) handle(ctx *fasthttp.RequestCtx) {
	e.sendCopy(ctx.Conn())
	e.respond(ctx)
	e.keepCopy(ctx)
}

func (e *Endpoint) respond(ctx *fasthttp.RequestCtx) {
	if want := string(ctx.Request.Header.Peek("X-Expect-Instance")); want != "" && want != e.ID {
		ctx.Response.Header.Set("X-Instance-Id", e.ID)
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	if e.Kind == KindEngine && string(ctx.Path()) == "/report" {
		ctx.SetContentType("application/json")
		ctx.SetBodyString(fmt.Sprintf(`{"born":%d}`, e.startedAtMs()))
		return
	}
	e.addInFlight(1)
	defer e.addInFlight(-1)
	limit, leaving, closedFor := e.recordArrival(string(ctx.Path()) == "/stage-free")
	defer func() {
		if limit != "" {
			ctx.Response.Header.Set("Server-Limit", limit)
		}
		if leaving {
			ctx.Response.Header.Set("Server-Leaving", "1")
		}
	}()
	if closedFor != "" {
		reject(ctx, fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("Retry-After", closedFor)
		return
	}
	ctx.Response.Header.Set("X-Server-Load", e.load())
	switch {
	case e.Kind == KindStage && string(ctx.Path()) == "/stage-run":
		e.runStage(ctx)
	case e.Kind == KindStage && string(ctx.Path()) == "/stage-free":
		e.releaseResults(ctx)
	default:
		e.serve(ctx)
	}
}

// addInFlight adds n to the number of requests in flight.
func (e *Endpoint) addInFlight(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight += n
}

// recordRequest adds the request to the executed ones and returns its attempt
// ID.
func (e *Endpoint) recordRequest(ctx *fasthttp.RequestCtx) string {
	id := string(ctx.Request.Header.Peek("X-Attempt-Id"))
	req := ExecutedRequest{
		AttemptID: id, Method: string(ctx.Method()), URI: string(ctx.RequestURI()), Body: string(ctx.PostBody()),
		Headers: make(map[string]string),
	}
	for k, v := range ctx.Request.Header.All() {
		req.Headers[strings.ToLower(string(k))] = string(v)
	}
	e.mu.Lock()
	e.executed = append(e.executed, req)
	e.mu.Unlock()
	return id
}

// reject responds that the request was not executed.
func reject(ctx *fasthttp.RequestCtx, status int) {
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set("X-Not-Executed", "1")
}

func (e *Endpoint) serve(ctx *fasthttp.RequestCtx) {
	fault := e.takeFault()
	if fault == FaultShed {
		reject(ctx, fasthttp.StatusServiceUnavailable)
		return
	}
	if e.Kind == KindEngine {
		id := string(ctx.Request.Header.Peek("X-Attempt-Id"))
		if status := e.site.checkInputs(id, string(ctx.Request.Header.Peek("X-Inputs"))); status != 0 {
			reject(ctx, status)
			return
		}
	}
	arrivedAt := time.Now()
	id := e.recordRequest(ctx)
	time.Sleep(e.workTime())
	if e.isPoison(&ctx.Request) {
		e.crash(arrivedAt)
		return
	}
	if fault == FaultHang {
		<-e.site.closed
		return
	}
	switch fault {
	case FaultLost:
		_ = ctx.Conn().Close() // the caller sees a closed connection
		return
	case FaultEndless:
		sendEndless(ctx, id)
		return
	case FaultPause:
		if e.Kind != KindEngine {
			time.Sleep(e.pauseTime())
		}
	}
	body := ResponseBody(string(ctx.RequestURI()), string(ctx.PostBody()))
	status := fasthttp.StatusOK
	header := map[string]string{"X-Attempt-Id": id, "X-Server-Stamp": "stamp-" + id, "Keep-Alive": "timeout=5"}
	switch fault {
	case FaultError:
		status, body = fasthttp.StatusInternalServerError, "failed"
	case FaultUnsigned:
		delete(header, "X-Server-Stamp")
	case FaultWrongID:
		header["X-Attempt-Id"] = "of-another"
	}
	for k, v := range header {
		ctx.Response.Header.Set(k, v)
	}
	ctx.SetStatusCode(status)
	if e.Kind == KindEngine && status == fasthttp.StatusOK {
		if fault == FaultNoEvents || fault == FaultInline {
			e.sendRaw(ctx, e.unframedStream(ctx, id, fault))
			return
		}
		e.stream(ctx, fault)
		return
	}
	ctx.SetBodyString(body)
	switch fault {
	case FaultTruncated:
		raw := ctx.Response.String()
		e.sendRaw(ctx, raw[:len(raw)-3])
	case FaultDuplicate:
		raw := ctx.Response.String()
		e.sendRaw(ctx, raw+raw)
	}
}

// sendRaw writes bytes to the connection in place of a response and closes the
// connection.
func (e *Endpoint) sendRaw(ctx *fasthttp.RequestCtx, raw string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		_, _ = conn.Write([]byte(raw)) // fails only if the caller has disconnected
	})
}

// sendEndless sends a response whose body has no end until the caller closes the
// connection.
func sendEndless(ctx *fasthttp.RequestCtx, id string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		_, err := conn.Write([]byte(ResponseHead(id) + "Content-Length: 999999999999\r\n\r\n"))
		for block := make([]byte, endlessBlockBytes); err == nil; {
			_, err = conn.Write(block)
		}
	})
}

// ResponseBody returns the response body of a plain endpoint to a request.
func ResponseBody(uri, body string) string {
	return fmt.Sprintf("answer to %s with %d bytes", uri, len(body))
}

// stageItem is one item of a stage call.
type stageItem struct {
	ID      string   `json:"id"`
	Stage   int      `json:"stage"`
	Segment int      `json:"segment"`
	Key     string   `json:"key"`
	Inputs  []string `json:"inputs"`
}

// runStage executes a stage call and responds with a reference to the result of
// each item, or with the reason "gone" for an item whose inputs are no longer
// retained and "error" for one with inputs of another request. Of the faults only
// FaultShed, FaultLost, FaultPause and FaultLateCopy apply, FaultLost before the items are executed.
func (e *Endpoint) runStage(ctx *fasthttp.RequestCtx) {
	var in struct {
		Items []stageItem `json:"items"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil || len(in.Items) > e.MaxItems {
		reject(ctx, fasthttp.StatusBadRequest)
		return
	}
	switch e.takeFault() {
	case FaultShed:
		reject(ctx, fasthttp.StatusServiceUnavailable)
		return
	case FaultLost:
		_ = ctx.Conn().Close() // the caller sees a closed connection
		return
	case FaultPause:
		time.Sleep(e.pauseTime())
	}
	arrivedAt := time.Now()
	time.Sleep(e.workTime())
	if e.site.hasPoison(in.Items) {
		e.crash(arrivedAt)
		return
	}
	out := make([]map[string]string, len(in.Items))
	for i, it := range in.Items {
		switch e.site.checkInputs(it.ID, strings.Join(it.Inputs, ",")) {
		case 0:
			out[i] = map[string]string{"handle": e.retainResult(it)}
		case fasthttp.StatusConflict:
			out[i] = map[string]string{"reason": "gone"}
		default:
			out[i] = map[string]string{"reason": "error"}
		}
	}
	e.mu.Lock()
	e.stageCallSizes = append(e.stageCallSizes, len(in.Items))
	e.mu.Unlock()
	writeJSON(ctx, map[string]any{"items": out})
}

// retainResult stores the result of an item and returns its reference.
func (e *Endpoint) retainResult(it stageItem) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resultsMade++
	ref := fmt.Sprintf("%s/%s-%d-%d-%d", e.Addr, it.ID, it.Stage, it.Segment, e.resultsMade)
	e.results[ref] = true
	return ref
}

func (e *Endpoint) releaseResults(ctx *fasthttp.RequestCtx) {
	var in struct {
		Handles []string `json:"handles"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ref := range in.Handles {
		delete(e.results, ref)
	}
}

// formatEvent returns an event as an endpoint of a software version generates it.
func formatEvent(uri string, id int, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d at %s\n\n", id, uri, id, version)
}

// StreamVersion returns the software version of the endpoints that generated a
// response body. It reports false unless the body consists of the events whose IDs are
// at least from and less than count, all of one version.
func StreamVersion(body, uri string, from, count int) (string, bool) {
	_, rest, _ := strings.Cut(body, " at ")
	version, _, _ := strings.Cut(rest, "\n")
	var b strings.Builder
	for id := from; id < count; id++ {
		b.WriteString(formatEvent(uri, id, version))
	}
	return version, b.String() == body
}
