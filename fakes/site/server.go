package site

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Kind says what an endpoint does.
type Kind string

// Kinds of endpoints.
const (
	KindPlain  Kind = "plain"
	KindEngine Kind = "engine"
	KindStage  Kind = "stage"
)

// Fault is what goes wrong with the next answers of an endpoint.
type Fault string

// Faults.
const (
	FaultLost     Fault = "lost"     // runs the request and closes the connection without an answer
	FaultCut      Fault = "cut"      // runs it and breaks off in the middle of the answer
	FaultExtra    Fault = "extra"    // sends a second answer after the first
	FaultShed     Fault = "shed"     // refuses with 503, not run
	FaultFail     Fault = "fail"     // runs it and answers 500
	FaultUnsigned Fault = "unsigned" // runs it and answers without a signature
	FaultForeign  Fault = "foreign"  // answers with the id of another request
	FaultMute     Fault = "mute"     // runs it and never answers
)

// Spec describes an endpoint.
type Spec struct {
	ID      string
	Service string
	Zone    string
	Kind    Kind
	Slots   int
	Batch   int           // items of a call, for stages
	Work    time.Duration // of a request or call; of one event, for engines
	Events  int           // of a stream
}

// Seen is a request as it reached an endpoint.
type Seen struct {
	ID      string // attempt of the caller
	Method  string
	URI     string
	Body    string
	Headers map[string]string
}

// Server is one endpoint. Make it with NewServer.
type Server struct {
	Spec
	Addr string

	site    *Site
	ln      net.Listener
	http    *fasthttp.Server
	mu      sync.Mutex
	fault   Fault
	faults  int
	ran     []Seen
	running int
	results map[string]bool
	made    int
	calls   []int // items of each stage call
	conns   []net.Conn
}

// tracker keeps the connections of an endpoint, so that a crash can end them.
type tracker struct {
	net.Listener
	server *Server
}

// Accept waits for the next connection.
func (t *tracker) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err == nil {
		t.server.mu.Lock()
		t.server.conns = append(t.server.conns, c)
		t.server.mu.Unlock()
	}
	return c, err
}

// stop ends the listener and all connections.
func (s *Server) stop() error {
	err := s.ln.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil // it had ended before
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close() // most have ended before
	}
	s.conns = nil
	return err
}

// Fail makes the next n answers go wrong.
func (s *Server) Fail(f Fault, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faults = f, n
}

func (s *Server) nextFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults == 0 {
		return ""
	}
	s.faults--
	return s.fault
}

// Ran returns the requests that ran here.
func (s *Server) Ran() []Seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Seen(nil), s.ran...)
}

// Calls returns the number of items of each stage call.
func (s *Server) Calls() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]int(nil), s.calls...)
}

// Results returns how many results are held.
func (s *Server) Results() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.results)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if want := string(ctx.Request.Header.Peek("X-Expect-Instance")); want != "" && want != s.ID {
		ctx.Response.Header.Set("X-Instance-Id", s.ID)
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	s.enter(1)
	defer s.enter(-1)
	ctx.Response.Header.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", s.enter(0), s.Slots))
	switch {
	case s.Kind == KindStage && string(ctx.Path()) == "/stage-run":
		s.stageRun(ctx)
	case s.Kind == KindStage && string(ctx.Path()) == "/stage-free":
		s.stageFree(ctx)
	default:
		s.serve(ctx)
	}
}

// enter changes the number of requests under way and returns it.
func (s *Server) enter(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
	return s.running
}

// begin records a run.
func (s *Server) begin(ctx *fasthttp.RequestCtx) string {
	id := string(ctx.Request.Header.Peek("X-Attempt-Id"))
	seen := Seen{
		ID: id, Method: string(ctx.Method()), URI: string(ctx.RequestURI()), Body: string(ctx.PostBody()),
		Headers: make(map[string]string),
	}
	for k, v := range ctx.Request.Header.All() {
		seen.Headers[strings.ToLower(string(k))] = string(v)
	}
	s.mu.Lock()
	s.ran = append(s.ran, seen)
	s.mu.Unlock()
	return id
}

func shed(ctx *fasthttp.RequestCtx, status int) {
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set("X-Not-Executed", "1")
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	fault := s.nextFault()
	if fault == FaultShed {
		shed(ctx, fasthttp.StatusServiceUnavailable)
		return
	}
	if s.Kind == KindEngine {
		if status := s.site.checkInputs(string(ctx.Request.Header.Peek("X-Inputs"))); status != 0 {
			shed(ctx, status)
			return
		}
	}
	id := s.begin(ctx)
	time.Sleep(s.Work)
	if fault == FaultMute {
		<-s.site.closed
		return
	}
	if fault == FaultLost {
		_ = ctx.Conn().Close() // the caller sees it
		return
	}
	body := Body(string(ctx.RequestURI()), string(ctx.PostBody()))
	status := fasthttp.StatusOK
	head := map[string]string{"X-Attempt-Id": id, "X-Server-Stamp": "stamp-" + id, "Keep-Alive": "timeout=5"}
	switch fault {
	case FaultFail:
		status, body = fasthttp.StatusInternalServerError, "failed"
	case FaultUnsigned:
		delete(head, "X-Server-Stamp")
	case FaultForeign:
		head["X-Attempt-Id"] = "of-another"
	}
	for k, v := range head {
		ctx.Response.Header.Set(k, v)
	}
	ctx.SetStatusCode(status)
	if s.Kind == KindEngine && status == fasthttp.StatusOK {
		s.stream(ctx, fault)
		return
	}
	ctx.SetBodyString(body)
	switch fault {
	case FaultCut:
		raw := ctx.Response.String()
		s.raw(ctx, raw[:len(raw)-3])
	case FaultExtra:
		raw := ctx.Response.String()
		s.raw(ctx, raw+raw)
	}
}

// raw sends bytes as they are and closes the connection.
func (s *Server) raw(ctx *fasthttp.RequestCtx, out string) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = c.Write([]byte(out)) // the caller is gone if this fails
	})
}

// Body returns the answer to a request.
func Body(uri, body string) string { return fmt.Sprintf("answer to %s with %d bytes", uri, len(body)) }

// stageItem is one item of a stage call.
type stageItem struct {
	ID      string   `json:"id"`
	Stage   int      `json:"stage"`
	Segment int      `json:"segment"`
	Key     string   `json:"key"`
	Inputs  []string `json:"inputs"`
}

func (s *Server) stageRun(ctx *fasthttp.RequestCtx) {
	var in struct {
		Items []stageItem `json:"items"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil || len(in.Items) > s.Batch {
		shed(ctx, fasthttp.StatusBadRequest)
		return
	}
	switch s.nextFault() {
	case FaultShed:
		shed(ctx, fasthttp.StatusServiceUnavailable)
		return
	case FaultLost:
		_ = ctx.Conn().Close() // the caller sees it
		return
	}
	time.Sleep(s.Work)
	out := make([]map[string]string, len(in.Items))
	for i, it := range in.Items {
		if s.site.checkInputs(strings.Join(it.Inputs, ",")) == fasthttp.StatusConflict {
			out[i] = map[string]string{"reason": "gone"}
			continue
		}
		out[i] = map[string]string{"handle": s.keep(it)}
	}
	s.mu.Lock()
	s.calls = append(s.calls, len(in.Items))
	s.mu.Unlock()
	reply(ctx, map[string]any{"items": out})
}

func (s *Server) keep(it stageItem) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.made++
	ref := fmt.Sprintf("%s/%s-%d-%d-%d", s.Addr, it.ID, it.Stage, it.Segment, s.made)
	s.results[ref] = true
	return ref
}

func (s *Server) stageFree(ctx *fasthttp.RequestCtx) {
	var in struct {
		Handles []string `json:"handles"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range in.Handles {
		delete(s.results, h)
	}
}

// Events returns the answer of an engine: the events with ids from one to the
// last of count.
func Events(uri string, from, count int) string {
	var b strings.Builder
	for i := from; i < count; i++ {
		b.WriteString(event(uri, i))
	}
	return b.String()
}

func event(uri string, id int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", id, uri, id) }
