package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/base/body"
)

const maxResponseBytes = 16 << 20

// EndState is the state in which a request ended, as seen by its caller.
type EndState string

// End states of a request.
const (
	EndInTime  EndState = "in_time" // answered, and before Kind.Deadline unless it is 0
	EndLate    EndState = "late"    // answered after Kind.Deadline, or reported as run without a response
	EndRefused EndState = "refused" // reported as not run
	EndPartial EndState = "partial" // reported as not answered; only idempotent stages may have run
	EndUnknown EndState = "unknown" // reported as unknown, and not resolved later
	EndFailed  EndState = "failed"  // an endpoint returned an error
	EndBroken  EndState = "broken"  // the connection broke and retries got no response
	EndWrong   EndState = "wrong"   // answered, but Plan.Check rejected the response
)

// Result is the result of one request.
type Result struct {
	Kind       Kind
	Input      string
	EndState   EndState
	Cause      string          // cause that the entry reported with the last refusal
	Err        error           // last error
	Latency    time.Duration   // from the start of the first attempt to the end
	FirstToken time.Duration   // from the start of the first attempt to the first token of a stream
	TokenGaps  []time.Duration // between successive tokens of a stream
	Attempts   int             // number of attempts
	Ran        bool            // the request is known to have run
	Refusals   []Refusal       // refused attempts
}

// Refusal is one refused attempt.
type Refusal struct {
	Outcome    string
	Cause      string
	Latency    time.Duration // from the start of the attempt
	RetryAfter time.Duration // delay before a retry, as reported by the entry
}

// client sends the requests of a plan.
type client struct {
	plan *Plan
	http *fasthttp.Client
}

type requestBody struct {
	Team       string `json:"team"`
	Class      string `json:"class,omitempty"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
	Input      string `json:"input"`
	Stream     bool   `json:"stream,omitempty"`
}

// reply is the result of one attempt.
type reply struct {
	status   int      // HTTP status
	response Response // if the status is 200
	problem  problem  // if the status is another
	err      error    // no reply, or an invalid one
	latency  time.Duration
}

// problem is the JSON body of a response other than 200.
type problem struct {
	Title   string `json:"title"`
	Outcome string `json:"outcome"`
	Cause   string `json:"cause"`
	Ticket  string `json:"ticket"`
	State   string `json:"ticket_state"`
	RetryMS int64  `json:"retry_after_ms"`
	Detail  string `json:"detail"`
}

// requestState is the state of a request in flight.
type requestState struct {
	Result
	index      int // index of the arrival; selects the target
	startedAt  time.Time
	retryUntil time.Time
	ticket     string // ticket to send the next attempt with; empty: none
}

// do sends a request, with retries, and returns its result. It gets a ticket if
// the entry requires one.
func (c *client) do(a arrival) Result {
	now := time.Now()
	s := &requestState{index: a.index, startedAt: now, retryUntil: now.Add(c.retryTimeout())}
	s.Kind = a.kind
	s.Input = c.plan.input(a)
	for {
		s.Attempts++
		r := c.attempt(s)
		if r.status == fasthttp.StatusPreconditionRequired {
			s.ticket = r.problem.Ticket
			r = c.attempt(s)
		}
		s.Latency = time.Since(s.startedAt)
		delay, retry := c.handleReply(s, r)
		if !retry {
			return s.Result
		}
		time.Sleep(delay)
	}
}

// handleReply records the reply to one attempt. It returns the delay before the
// next attempt, and whether there is to be one.
func (c *client) handleReply(s *requestState, r reply) (time.Duration, bool) {
	if r.err != nil {
		s.EndState = EndBroken
		s.Err = r.err
		return reconnectDelay, time.Now().Before(s.retryUntil)
	}
	if r.status == fasthttp.StatusOK {
		c.acceptResponse(s, r.response)
		return 0, false
	}
	p := r.problem
	retryAfter := time.Duration(p.RetryMS) * time.Millisecond
	s.Refusals = append(s.Refusals, Refusal{Outcome: p.Outcome, Cause: p.Cause, Latency: r.latency, RetryAfter: retryAfter})
	s.Cause = p.Cause
	s.Err = fmt.Errorf("status %d: %s: %s", r.status, p.Title, p.Detail)
	if p.Outcome == "unknown" && s.ticket != "" {
		c.settleTicket(s)
		return 0, false
	}
	s.EndState = endStateOf(p.Outcome)
	// If the reply contains no new ticket, the next attempt requests one.
	s.ticket = p.Ticket
	retryable := s.EndState == EndRefused || s.EndState == EndPartial
	return retryAfter, retryable && s.Attempts < max(c.plan.MaxAttempts, 1) && time.Now().Add(retryAfter).Before(s.retryUntil)
}

// endStateOf returns the end state for the outcome field of a problem.
func endStateOf(outcome string) EndState {
	switch outcome {
	case "not_run":
		return EndRefused
	case "partial":
		return EndPartial
	case "failed":
		return EndFailed
	default:
		return EndUnknown
	}
}

// reconnectDelay is the delay before a retry after a connection broke. The retry
// can't run the request twice: it uses the same ticket, and a request without a
// ticket has only idempotent stages.
const reconnectDelay = 50 * time.Millisecond

// ticketOutcome is the JSON body of /v1/tickets/{ticket}.
type ticketOutcome struct {
	Outcome string `json:"outcome"`
	Stages  []struct {
		State  string          `json:"state"`
		Result json.RawMessage `json:"result"`
	} `json:"stages"`
}

const settlePollInterval = 100 * time.Millisecond

// settleTicket polls the outcome of a ticket until it is no longer running. It
// queries the targets in turn.
func (c *client) settleTicket(s *requestState) {
	for n := s.index; time.Now().Before(s.retryUntil); n++ {
		o, err := c.fetchOutcome(n, s.ticket)
		if err == nil && o.Outcome != "running" {
			s.Latency = time.Since(s.startedAt)
			c.applyOutcome(s, o)
			return
		}
		time.Sleep(settlePollInterval)
	}
	s.EndState = EndUnknown
}

func (c *client) retryTimeout() time.Duration {
	if c.plan.RetryTimeout == 0 {
		return defaultRetryTimeout
	}
	return c.plan.RetryTimeout
}

// applyOutcome sets the end state of a request from the outcome of its ticket.
func (c *client) applyOutcome(s *requestState, o ticketOutcome) {
	switch o.Outcome {
	case "answered":
		c.acceptResponse(s, Response{Result: o.Stages[len(o.Stages)-1].Result})
	case "ran":
		s.Ran = true
		s.EndState = EndLate
	case "not_run":
		s.EndState = EndRefused
	default:
		s.EndState = EndUnknown
	}
}

func (c *client) fetchOutcome(n int, ticket string) (ticketOutcome, error) {
	var o ticketOutcome
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.target(n) + "/v1/tickets/" + ticket)
	if err := c.http.DoTimeout(req, resp, callTimeout); err != nil {
		return o, fmt.Errorf("query ticket outcome: %w", err)
	}
	defer func() { _ = resp.CloseBodyStream() }() // what is left unread doesn't matter
	b, _, err := body.Read(resp, maxResponseBytes, nil)
	if err != nil {
		return o, fmt.Errorf("read ticket outcome: %w", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return o, fmt.Errorf("query ticket outcome: status %d", resp.StatusCode())
	}
	if err := json.Unmarshal(b, &o); err != nil {
		return o, fmt.Errorf("decode ticket outcome: %w", err)
	}
	return o, nil
}

func (c *client) target(n int) string { return c.plan.Targets[n%len(c.plan.Targets)] }

// acceptResponse records a complete response.
func (c *client) acceptResponse(s *requestState, resp Response) {
	s.Ran = true
	s.EndState = EndInTime
	s.Cause = ""
	s.Err = nil
	if d := s.Kind.Deadline; d > 0 && s.Latency > d {
		s.EndState = EndLate
	}
	if c.plan.Check == nil {
		return
	}
	if err := c.plan.Check(s.Kind, s.Input, resp); err != nil {
		s.EndState = EndWrong
		s.Err = err
	}
}

// attempt sends a request once and measures the latency of the reply.
func (c *client) attempt(s *requestState) reply {
	sentAt := time.Now()
	r := c.send(s)
	r.latency = time.Since(sentAt)
	return r
}

func (c *client) send(s *requestState) reply {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	raw, err := json.Marshal(requestBody{
		Team:       s.Kind.Team,
		Class:      s.Kind.Class,
		DeadlineMS: s.Kind.Deadline.Milliseconds(),
		Input:      s.Input,
		Stream:     s.Kind.Stream,
	})
	if err != nil {
		return reply{err: err}
	}
	req.SetRequestURI("http://" + c.target(s.index+s.Attempts) + "/v1/pipelines/" + s.Kind.Pipeline)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	if s.ticket != "" {
		req.Header.Set("Wigeonplank-Ticket", s.ticket)
	}
	req.SetBody(raw)
	if err := c.http.DoTimeout(req, resp, callTimeout); err != nil {
		return reply{err: fmt.Errorf("call entry: %w", err)}
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if strings.HasPrefix(string(resp.Header.ContentType()), "text/event-stream") {
		return s.readStream(resp)
	}
	return readWhole(resp)
}

func readWhole(resp *fasthttp.Response) reply {
	r := reply{status: resp.StatusCode()}
	b, _, err := body.Read(resp, maxResponseBytes, nil)
	if err != nil {
		return reply{err: fmt.Errorf("read response: %w", err)}
	}
	if r.status != fasthttp.StatusOK {
		if err := json.Unmarshal(b, &r.problem); err != nil {
			r.err = fmt.Errorf("status %d with a body that is not a JSON problem: %w", r.status, err)
		}
		return r
	}
	var answer struct {
		Text   string          `json:"text"`
		Result json.RawMessage `json:"result"`
	}
	if err := json.Unmarshal(b, &answer); err != nil {
		r.err = fmt.Errorf("decode response: %w", err)
		return r
	}
	r.response = Response{Text: answer.Text, Result: answer.Result}
	return r
}

// eventData is the JSON data of a server-sent event. Which fields are set depends
// on the event.
type eventData struct {
	Offset  int    `json:"offset"`
	Text    string `json:"text"`
	Length  int    `json:"length"`
	Outcome string `json:"outcome"`
	Cause   string `json:"cause"`
	RetryMS int64  `json:"retry_after_ms"`
}

var errStreamCut = errors.New("stream ended without its final event")

// readStream reads a response that is a stream of server-sent events.
func (s *requestState) readStream(resp *fasthttp.Response) reply {
	sc := bufio.NewScanner(resp.BodyStream())
	st := &streamState{startedAt: s.startedAt}
	var name string
	for sc.Scan() {
		line := sc.Text()
		if n, ok := strings.CutPrefix(line, "event: "); ok {
			name = n
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if r, done := st.handleEvent(name, data); done {
			s.FirstToken, s.TokenGaps = st.firstToken, st.tokenGaps
			return r
		}
	}
	return reply{err: errors.Join(errStreamCut, sc.Err())}
}

// streamState is the state of a stream that is being read.
type streamState struct {
	startedAt  time.Time       // start of the first attempt
	lastToken  time.Time       // arrival of the newest token
	firstToken time.Duration   // from startedAt to the first token
	tokenGaps  []time.Duration // between successive tokens
	text       bytes.Buffer    // received so far
}

// handleEvent processes an event. It returns the reply and true if the event ends
// the stream or is invalid.
func (st *streamState) handleEvent(name, data string) (reply, bool) {
	var d eventData
	if err := json.Unmarshal([]byte(data), &d); err != nil {
		return reply{err: fmt.Errorf("decode event: %w", err)}, true
	}
	switch name {
	case "":
		if d.Offset != st.text.Len() {
			return reply{err: fmt.Errorf("event at offset %d, expected %d", d.Offset, st.text.Len())}, true
		}
		st.recordToken(time.Now())
		if st.text.Len()+len(d.Text) > maxResponseBytes {
			return reply{err: &body.TooLargeError{Limit: maxResponseBytes}}, true
		}
		st.text.WriteString(d.Text)
		return reply{}, false
	case "done":
		if d.Length != st.text.Len() {
			return reply{err: fmt.Errorf("stream has %d bytes, but its final event reports %d", st.text.Len(), d.Length)}, true
		}
		return reply{status: fasthttp.StatusOK, response: Response{Text: st.text.String()}}, true
	default:
		p := problem{Outcome: d.Outcome, Cause: d.Cause, RetryMS: d.RetryMS}
		return reply{status: fasthttp.StatusServiceUnavailable, problem: p}, true
	}
}

// recordToken records the arrival time of a token.
func (st *streamState) recordToken(now time.Time) {
	if st.lastToken.IsZero() {
		st.firstToken = now.Sub(st.startedAt)
	} else {
		st.tokenGaps = append(st.tokenGaps, now.Sub(st.lastToken))
	}
	st.lastToken = now
}
