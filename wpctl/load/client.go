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
)

// Final says how a request ended for its caller.
type Final string

// Ends of a request.
const (
	FinalInTime  Final = "in_time"
	FinalLate    Final = "late"    // a whole answer, after the deadline
	FinalRefused Final = "refused" // said not to have run
	FinalPartial Final = "partial" // said to have run nothing that may not run twice
	FinalUnknown Final = "unknown" // said to be unknown, and stayed so
	FinalFailed  Final = "failed"  // an endpoint's error
	FinalBroken  Final = "broken"  // the connection broke and no answer came later
	FinalWrong   Final = "wrong"   // an answer that isn't the request's
)

// Ended is one request's end.
type Ended struct {
	Share   Share
	Input   string
	Final   Final
	Cause   string
	Err     error
	Took    time.Duration // from the first try to the end
	First   time.Duration // to the first token, of a stream
	Gaps    []time.Duration
	Tries   int
	Ran     bool // the request is known to have run
	Refused []Refusal
}

// Refusal is one refused try.
type Refusal struct {
	Outcome string
	Cause   string
	After   time.Duration // from the try to its refusal
	Back    time.Duration // when to come back, as told
}

type client struct {
	plan *Plan
	http *fasthttp.Client
}

type callBody struct {
	Team       string `json:"team"`
	Class      string `json:"class,omitempty"`
	DeadlineMS int64  `json:"deadline_ms,omitempty"`
	Input      string `json:"input"`
	Stream     bool   `json:"stream,omitempty"`
}

// reply is what one try brought.
type reply struct {
	status  int
	answer  Answer
	problem problem
	err     error
	took    time.Duration
}

type problem struct {
	Title   string `json:"title"`
	Outcome string `json:"outcome"`
	Cause   string `json:"cause"`
	Ticket  string `json:"ticket"`
	State   string `json:"ticket_state"`
	RetryMS int64  `json:"retry_after_ms"`
	Detail  string `json:"detail"`
}

// session is one request while its caller goes on with it.
type session struct {
	Ended
	n      int
	began  time.Time
	until  time.Time // patience ends
	ticket string
}

// one carries a request through all its tries.
func (c *client) one(a arrival) Ended {
	now := time.Now()
	s := &session{n: a.n, began: now, until: now.Add(c.patience())}
	s.Share = a.share
	s.Input = c.plan.input(a)
	for {
		s.Tries++
		r := c.try(s)
		if r.status == fasthttp.StatusPreconditionRequired {
			s.ticket = r.problem.Ticket
			r = c.try(s)
		}
		s.Took = time.Since(s.began)
		wait, again := c.judge(s, r)
		if !again {
			return s.Ended
		}
		time.Sleep(wait)
	}
}

// judge files one try. It returns how long to wait before the next, if there is
// to be one.
func (c *client) judge(s *session, r reply) (time.Duration, bool) {
	if r.err != nil {
		s.Final = FinalBroken
		s.Err = r.err
		return brokenWait, time.Now().Before(s.until)
	}
	if r.status == fasthttp.StatusOK {
		c.accept(s, r.answer)
		return 0, false
	}
	p := r.problem
	back := time.Duration(p.RetryMS) * time.Millisecond
	s.Refused = append(s.Refused, Refusal{Outcome: p.Outcome, Cause: p.Cause, After: r.took, Back: back})
	s.Cause = p.Cause
	s.Err = fmt.Errorf("status %d: %s: %s", r.status, p.Title, p.Detail)
	if p.Outcome == "unknown" && s.ticket != "" {
		c.settle(s)
		return 0, false
	}
	s.Final = finalOf(p.Outcome)
	// Without a fresh ticket the next try asks for one.
	s.ticket = p.Ticket
	given := s.Final == FinalRefused || s.Final == FinalPartial
	return back, given && s.Tries < max(c.plan.Tries, 1) && time.Now().Add(back).Before(s.until)
}

func finalOf(outcome string) Final {
	switch outcome {
	case "not_run":
		return FinalRefused
	case "partial":
		return FinalPartial
	case "failed":
		return FinalFailed
	default:
		return FinalUnknown
	}
}

// brokenWait is the wait after a connection broke. A request with a ticket is
// sent again under it; one without has only idempotent stages.
const brokenWait = 50 * time.Millisecond

type outcomeAnswer struct {
	Outcome string `json:"outcome"`
	Stages  []struct {
		State  string          `json:"state"`
		Result json.RawMessage `json:"result"`
	} `json:"stages"`
}

const settlePoll = 100 * time.Millisecond

// settle asks what became of a ticket until it is certain.
func (c *client) settle(s *session) {
	for n := s.n; time.Now().Before(s.until); n++ {
		a, err := c.outcome(n, s.ticket)
		if err == nil && a.Outcome != "running" {
			s.Took = time.Since(s.began)
			c.settled(s, a)
			return
		}
		time.Sleep(settlePoll)
	}
	s.Final = FinalUnknown
}

func (c *client) patience() time.Duration {
	if c.plan.Patience == 0 {
		return defaultPatience
	}
	return c.plan.Patience
}

func (c *client) settled(s *session, a outcomeAnswer) {
	switch a.Outcome {
	case "answered":
		c.accept(s, Answer{Result: a.Stages[len(a.Stages)-1].Result})
	case "ran":
		s.Ran = true
		s.Final = FinalLate
	case "not_run":
		s.Final = FinalRefused
	default:
		s.Final = FinalUnknown
	}
}

func (c *client) outcome(n int, ticket string) (outcomeAnswer, error) {
	var a outcomeAnswer
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.target(n) + "/v1/tickets/" + ticket)
	if err := c.http.DoTimeout(req, resp, callTimeout); err != nil {
		return a, fmt.Errorf("ask for outcome: %w", err)
	}
	body, err := resp.BodyUncompressed()
	if err != nil {
		return a, fmt.Errorf("read outcome: %w", err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return a, fmt.Errorf("outcome: status %d", resp.StatusCode())
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return a, fmt.Errorf("decode outcome: %w", err)
	}
	return a, nil
}

func (c *client) target(n int) string { return c.plan.Targets[n%len(c.plan.Targets)] }

func (c *client) accept(s *session, a Answer) {
	s.Ran = true
	s.Final = FinalInTime
	s.Cause = ""
	s.Err = nil
	if d := s.Share.Deadline; d > 0 && s.Took > d {
		s.Final = FinalLate
	}
	if c.plan.Check == nil {
		return
	}
	if err := c.plan.Check(s.Share, s.Input, a); err != nil {
		s.Final = FinalWrong
		s.Err = err
	}
}

// try sends a request once.
func (c *client) try(s *session) reply {
	sent := time.Now()
	r := c.send(s)
	r.took = time.Since(sent)
	return r
}

func (c *client) send(s *session) reply {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	raw, err := json.Marshal(callBody{
		Team:       s.Share.Team,
		Class:      s.Share.Class,
		DeadlineMS: s.Share.Deadline.Milliseconds(),
		Input:      s.Input,
		Stream:     s.Share.Stream,
	})
	if err != nil {
		return reply{err: err}
	}
	req.SetRequestURI("http://" + c.target(s.n+s.Tries) + "/v1/pipelines/" + s.Share.Pipeline)
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
	body, err := resp.BodyUncompressed()
	if err != nil {
		return reply{err: fmt.Errorf("read answer: %w", err)}
	}
	if r.status != fasthttp.StatusOK {
		if err := json.Unmarshal(body, &r.problem); err != nil {
			r.err = fmt.Errorf("status %d with a body that is no problem: %w", r.status, err)
		}
		return r
	}
	var a struct {
		Text   string          `json:"text"`
		Result json.RawMessage `json:"result"`
	}
	if err := json.Unmarshal(body, &a); err != nil {
		r.err = fmt.Errorf("decode answer: %w", err)
		return r
	}
	r.answer = Answer{Text: a.Text, Result: a.Result}
	return r
}

type streamData struct {
	Offset  int    `json:"offset"`
	Text    string `json:"text"`
	Length  int    `json:"length"`
	Outcome string `json:"outcome"`
	Cause   string `json:"cause"`
	RetryMS int64  `json:"retry_after_ms"`
}

var errCut = errors.New("stream ended without its last event")

// readStream reads an answer that comes as events.
func (s *session) readStream(resp *fasthttp.Response) reply {
	sc := bufio.NewScanner(resp.BodyStream())
	st := &streamed{began: s.began}
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
		if r, done := st.take(name, data); done {
			s.First, s.Gaps = st.first, st.gaps
			return r
		}
	}
	return reply{err: errors.Join(errCut, sc.Err())}
}

// streamed is what has arrived of a stream.
type streamed struct {
	began time.Time
	last  time.Time
	first time.Duration
	gaps  []time.Duration
	text  bytes.Buffer
}

// take adds an event. It returns the end of the stream if this is it.
func (st *streamed) take(name, data string) (reply, bool) {
	var d streamData
	if err := json.Unmarshal([]byte(data), &d); err != nil {
		return reply{err: fmt.Errorf("decode event: %w", err)}, true
	}
	switch name {
	case "":
		if d.Offset != st.text.Len() {
			return reply{err: fmt.Errorf("event at offset %d, expected %d", d.Offset, st.text.Len())}, true
		}
		st.note(time.Now())
		st.text.WriteString(d.Text)
		return reply{}, false
	case "done":
		if d.Length != st.text.Len() {
			return reply{err: fmt.Errorf("stream of %d bytes, %d were announced", st.text.Len(), d.Length)}, true
		}
		return reply{status: fasthttp.StatusOK, answer: Answer{Text: st.text.String()}}, true
	default:
		p := problem{Outcome: d.Outcome, Cause: d.Cause, RetryMS: d.RetryMS}
		return reply{status: fasthttp.StatusServiceUnavailable, problem: p}, true
	}
}

func (st *streamed) note(now time.Time) {
	if st.last.IsZero() {
		st.first = now.Sub(st.began)
	} else {
		st.gaps = append(st.gaps, now.Sub(st.last))
	}
	st.last = now
}
