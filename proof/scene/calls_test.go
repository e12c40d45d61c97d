package scene_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/base/http1"
	"wigeonplank.example/fakes/engine"
	"wigeonplank.example/proof/verify"
	"wigeonplank.example/wpctl/load"
)

// callTimeout limits one request to an entry and the wait for its end.
const callTimeout = 30 * time.Second

func (inv *invocation) ctx() context.Context { return context.Background() }

// call is one request to an entry. Its response is valid once done is closed. reply
// is decoded from the response body; for a stream it is the last event, with the
// joined text of the others.
type call struct {
	done   chan struct{}
	input  string
	status int
	header string
	body   string
	reply  struct {
		Outcome  string          `json:"outcome"`
		Cause    string          `json:"cause"`
		Ticket   string          `json:"ticket"`
		State    string          `json:"ticket_state"`
		Field    string          `json:"field"`
		Text     string          `json:"text"`
		Result   json.RawMessage `json:"result"`
		RetryMS  int             `json:"retry_after_ms"`
		LastText string          `json:"-"`
	}
	err error // the request got no complete, valid response
}

// requestBody is the JSON body of a request.
type requestBody struct {
	Team     string `json:"team"`
	Input    string `json:"input"`
	Deadline int    `json:"deadline_ms,omitempty"`
	Stream   bool   `json:"stream,omitempty"`
}

// sendCall implements "send NAME entry=N pipeline=P team=T input=X
// [ticket=NAME] [deadline=MS] [stream=yes] [raw=BODY] [padding=BYTES]": send a
// request and wait for its end. raw replaces the JSON body; padding appends
// spaces to the body.
func sendCall(inv *invocation) error {
	if err := startCall(inv); err != nil {
		return err
	}
	return awaitCall(inv)
}

// startCall implements "start", which takes the arguments of "send": send a
// request without waiting for its end.
func startCall(inv *invocation) error {
	c := &call{done: make(chan struct{}), input: inv.opts["input"]}
	inv.scene.mu.Lock()
	inv.scene.calls[inv.arg(0)] = c
	inv.scene.mu.Unlock()
	body := requestBody{Team: inv.opts["team"], Input: c.input, Stream: inv.opts["stream"] == "yes"}
	if body.Team == "" {
		body.Team = "t"
	}
	if v := inv.opts["deadline"]; v != "" {
		if _, err := fmt.Sscan(v, &body.Deadline); err != nil {
			return err
		}
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if text, ok := inv.opts["raw"]; ok {
		raw = []byte(text)
	}
	if n := inv.opts["padding"]; n != "" {
		var size int
		if _, err := fmt.Sscan(n, &size); err != nil {
			return err
		}
		raw = append(raw, strings.Repeat(" ", size)...)
	}
	url := "http://" + inv.entry("entry-"+inv.opts["entry"]).HTTPAddr + "/v1/pipelines/" + inv.opts["pipeline"]
	ticket := inv.scene.tickets[inv.opts["ticket"]]
	startNs := time.Now().UnixNano()
	go func() {
		defer close(c.done)
		c.do(url, ticket, raw)
		if ticket != "" {
			inv.scene.recordUse(ticketUse{ticket: ticket, body: string(raw), startNs: startNs, endNs: time.Now().UnixNano(), call: c})
		}
	}()
	return nil
}

// do sends the request once and stores its response or error in c.
func (c *call) do(url, ticket string, raw []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(raw)
	if ticket != "" {
		req.Header.Set("Wigeonplank-Ticket", ticket)
	}
	client := &fasthttp.Client{DialTimeout: http1.Dial, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 8 << 20}
	if c.err = client.DoTimeout(req, resp, callTimeout); c.err != nil {
		return
	}
	c.status = resp.StatusCode()
	c.header = resp.Header.String()
	c.body = string(resp.Body())
	if strings.Contains(c.header, "event-stream") {
		c.readStream()
		return
	}
	c.err = json.Unmarshal(resp.Body(), &c.reply)
}

// readStream joins the text of the events in the body and decodes the last
// event, the one with a name, into c.reply. It sets c.err if the offsets have
// a gap or the last event is missing.
func (c *call) readStream() {
	offset := 0
	var text strings.Builder
	ended := false
	for event := range strings.SplitSeq(c.body, "\n\n") {
		name := ""
		for row := range strings.SplitSeq(event, "\n") {
			if n, ok := strings.CutPrefix(row, "event: "); ok {
				name = n
			}
			data, ok := strings.CutPrefix(row, "data: ")
			if !ok {
				continue
			}
			var d struct {
				Offset int    `json:"offset"`
				Text   string `json:"text"`
			}
			if err := json.Unmarshal([]byte(data), &d); err != nil {
				c.err = err
				return
			}
			if name != "" {
				c.err = json.Unmarshal([]byte(data), &c.reply)
				ended = true
				continue
			}
			if d.Offset != offset {
				c.err = fmt.Errorf("event at offset %d, expected %d", d.Offset, offset)
				return
			}
			offset += len(d.Text)
			text.WriteString(d.Text)
		}
	}
	c.reply.Text = text.String()
	if !ended {
		c.err = errors.New("stream ended without its last event")
	}
}

// awaitCall implements "finish NAME": wait until the request has ended.
func awaitCall(inv *invocation) error {
	c := inv.call()
	select {
	case <-c.done:
		return nil
	case <-time.After(callTimeout):
		return fmt.Errorf("request %s has not ended in time", inv.arg(0))
	}
}

// call returns the request that the first argument names. The script fails if
// there is none.
func (inv *invocation) call() *call {
	inv.scene.mu.Lock()
	defer inv.scene.mu.Unlock()
	c := inv.scene.calls[inv.arg(0)]
	if c == nil {
		inv.ts.Fatalf("no request %q", inv.arg(0))
	}
	return c
}

// checkReply implements "reply NAME KEY [VALUE]": check the response to a
// request. KEY is one of
//
//	status, outcome, cause, state, field   the member equals VALUE, or one of several divided by |
//	whole     the text is the expected one of VALUE tokens for the request's input
//	receipt   the result is the receipt for the request's input
//	retry     the response tells when to retry
//	ticket    the response carries a ticket, which is saved under the name VALUE
//	broken    the request got no complete response
func checkReply(inv *invocation) error {
	c := inv.call()
	if inv.arg(1) == "broken" {
		if c.err == nil {
			return fmt.Errorf("request %s got a response with status %d, expected none", inv.arg(0), c.status)
		}
		return nil
	}
	if c.err != nil {
		return fmt.Errorf("request %s: %w", inv.arg(0), c.err)
	}
	var got string
	switch inv.arg(1) {
	case "status":
		got = fmt.Sprint(c.status)
	case "outcome":
		got = c.reply.Outcome
	case "cause":
		got = c.reply.Cause
	case "state":
		got = c.reply.State
	case "field":
		got = c.reply.Field
	case "whole":
		return c.checkText(inv.arg(2))
	case "receipt":
		return c.checkReceipt()
	case "retry":
		if c.reply.RetryMS <= 0 {
			return fmt.Errorf("response to %s has no retry_after_ms: %s", inv.arg(0), c.body)
		}
		return nil
	case "ticket":
		if c.reply.Ticket == "" {
			return fmt.Errorf("response to %s has no ticket: %s", inv.arg(0), c.body)
		}
		inv.scene.tickets[inv.arg(2)] = c.reply.Ticket
		return nil
	}
	for want := range strings.SplitSeq(inv.arg(2), "|") {
		if got == want {
			return nil
		}
	}
	return fmt.Errorf("%s of %s is %q, expected %q: %.600s", inv.arg(1), inv.arg(0), got, inv.arg(2), c.body)
}

// checkText returns an error unless the response is the complete text of that
// many tokens for the request's input.
func (c *call) checkText(tokens string) error {
	var n int
	if _, err := fmt.Sscan(tokens, &n); err != nil {
		return err
	}
	if want := engine.ExpectedText(c.input, n); c.reply.Text != want {
		return fmt.Errorf("text of %d bytes differs from the expected %d bytes: %.300s", len(c.reply.Text), len(want), c.body)
	}
	return nil
}

// checkReceipt returns an error unless the result is the receipt for the
// request's input.
func (c *call) checkReceipt() error {
	if !strings.Contains(string(c.reply.Result), engine.InputHash(c.input)) {
		return fmt.Errorf("receipt belongs to another input: %.300s", c.body)
	}
	return nil
}

// checkEffects implements "effects INPUT is|at_most|at_least N": compare how
// often all plain services together have executed an input with a bound.
func checkEffects(inv *invocation) error {
	total := 0
	for _, e := range inv.scene.fleet.Endpoints {
		if e.Kind != "service" {
			continue
		}
		got, err := inv.scene.fleet.Effects(e)
		if err != nil {
			return err
		}
		total += got.ByInput[inv.arg(0)]
	}
	return checkBound("effects of "+inv.arg(0), total, inv.arg(1), inv.arg(2))
}

// awaitOutcome implements "outcome TICKET OUTCOME entry=N": query the outcome
// of a ticket until it is OUTCOME. It repeats the query because the request may
// still be running, or its agent may not be reachable yet.
func awaitOutcome(inv *invocation) error {
	var got string
	return inv.scene.fleet.Await("outcome "+inv.arg(1)+" of "+inv.arg(0), func() bool {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.SetRequestURI("http://" + inv.entry("entry-"+inv.opts["entry"]).HTTPAddr + "/v1/tickets/" + inv.scene.tickets[inv.arg(0)])
		if err := fasthttp.DoTimeout(req, resp, 5*time.Second); err != nil {
			return false
		}
		var ticketOutcome struct {
			Outcome string `json:"outcome"`
		}
		if json.Unmarshal(resp.Body(), &ticketOutcome) == nil && resp.StatusCode() == fasthttp.StatusOK {
			got = ticketOutcome.Outcome
		}
		return got == inv.arg(1)
	})
}

// ticketUse is one POST with a ticket, as recorded for the linearizability
// check.
type ticketUse struct {
	ticket         string
	body           string
	startNs, endNs int64 // Unix time
	call           *call
}

// recordUse adds u to the recorded uses of tickets.
func (s *scene) recordUse(u ticketUse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ticketUses = append(s.ticketUses, u)
}

// ticketState is the state of one ticket in the model of the linearizability
// check.
type ticketState struct {
	ran      bool
	voided   bool
	maybeRan bool   // a use ended without certainty whether it ran
	body     string // request body of the use that ran or may have run
	result   string
}

// checkTicketHistory implements "once": check that the recorded uses of tickets
// are linearizable in a model in which each ticket runs at most once and every
// later answer repeats the result of that run.
func checkTicketHistory(inv *invocation) error {
	model := porcupine.Model{
		Partition: partitionByTicket,
		Init:      func() any { return ticketState{} },
		Step: func(state, in, out any) (bool, any) {
			return stepTicket(state.(ticketState), in.(ticketUse), out.(string))
		},
	}
	inv.scene.mu.Lock()
	defer inv.scene.mu.Unlock()
	ops := make([]porcupine.Operation, 0, len(inv.scene.ticketUses))
	for i, u := range inv.scene.ticketUses {
		ops = append(ops, porcupine.Operation{ClientId: i, Input: u, Call: u.startNs, Output: summarize(u.call), Return: u.endNs})
	}
	if !porcupine.CheckOperations(model, ops) {
		return fmt.Errorf("the uses of tickets have no order in which each ticket runs at most once: %+v", ops)
	}
	return nil
}

// partitionByTicket splits the operations by ticket, as the uses of different
// tickets are independent.
func partitionByTicket(ops []porcupine.Operation) [][]porcupine.Operation {
	byTicket := make(map[string][]porcupine.Operation)
	for _, op := range ops {
		t := op.Input.(ticketUse).ticket
		byTicket[t] = append(byTicket[t], op)
	}
	out := make([][]porcupine.Operation, 0, len(byTicket))
	for _, part := range byTicket {
		out = append(out, part)
	}
	return out
}

// summarize returns what stepTicket needs of a response: "answer:" with the
// result, "conflict", "broken", or the outcome of an error response.
func summarize(c *call) string {
	switch {
	case c.err != nil:
		return "broken"
	case c.status == fasthttp.StatusOK:
		return "answer:" + string(c.reply.Result)
	case c.reply.State == "conflict":
		return "conflict"
	default:
		return c.reply.Outcome
	}
}

// stepTicket reports whether the response out to the use u is possible in the
// state st, and returns the state after it.
func stepTicket(st ticketState, u ticketUse, out string) (bool, ticketState) {
	result, answered := strings.CutPrefix(out, "answer:")
	switch {
	case answered && st.ran:
		return st.body == u.body && st.result == result, st
	case answered:
		return !st.voided, ticketState{ran: true, body: u.body, result: result}
	case out == "conflict":
		return (st.ran || st.maybeRan) && st.body != u.body, st
	case out == "not_run":
		return !st.ran, ticketState{voided: true}
	case st.ran || st.voided:
		return true, st
	default:
		return true, ticketState{maybeRan: true, body: u.body}
	}
}

// startLoad implements "load rate=R [duration=D] seed=N": send the request mix
// of the fleet's plan in the background, R requests per second.
func startLoad(inv *invocation) error {
	f := inv.scene.fleet
	var rate float64
	var seed uint64
	if _, err := fmt.Sscan(inv.opts["rate"], &rate); err != nil {
		return err
	}
	if _, err := fmt.Sscan(inv.opts["seed"], &seed); err != nil {
		return err
	}
	inv.scene.loaded = make(chan loadResult, 1)
	p := &load.Plan{
		Targets:      f.Targets(),
		Rate:         rate,
		Duration:     inv.duration("duration", "2s"),
		Mix:          f.Plan.LoadMix(f.Doc),
		Seed:         seed,
		MaxAttempts:  8,
		RetryTimeout: 20 * time.Second,
		Check:        verify.ResponseChecker(f.Doc),
	}
	go func() {
		rep, err := load.Run(context.Background(), p)
		inv.scene.loaded <- loadResult{rep, err}
	}()
	return nil
}

// checkLoad implements "loaded [answered=all] [tries=one]": wait for the end of
// the load and fail if package verify finds a fault. With answered=all every
// request must have run; with tries=one as well, at its first attempt.
func checkLoad(inv *invocation) error {
	r := <-inv.scene.loaded
	if r.err != nil {
		return r.err
	}
	v, err := verify.Check(inv.scene.fleet, inv.scene.fleet.Doc, r.report)
	if err != nil {
		return err
	}
	if !v.OK() {
		return fmt.Errorf("%+v", *v)
	}
	if inv.opts["answered"] != "all" {
		return nil
	}
	for _, e := range r.report.Results() {
		if !e.Ran || e.Attempts > 1 && inv.opts["tries"] == "one" {
			return fmt.Errorf("%s %q ended as %s after %d attempts: %w", e.Kind.Pipeline, e.Input, e.EndState, e.Attempts, e.Err)
		}
	}
	return nil
}
