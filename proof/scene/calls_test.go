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

	"wigeonplank.example/fakes/engine"
	"wigeonplank.example/proof/verify"
	"wigeonplank.example/wpctl/load"
)

const callLimit = 30 * time.Second

func (l *line) ctx() context.Context { return context.Background() }

// pending is a call and, once it has ended, its reply.
type pending struct {
	done    chan struct{}
	input   string
	status  int
	header  string
	body    string
	problem struct {
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
	err error
}

type callBody struct {
	Team     string `json:"team"`
	Input    string `json:"input"`
	Deadline int    `json:"deadline_ms,omitempty"`
	Stream   bool   `json:"stream,omitempty"`
}

// send NAME entry=N pipeline=P team=T input=X [ticket=NAME] [deadline=MS]
// [stream=yes] [raw=BODY] [padding=BYTES]: make a call and wait for its end.
func send(l *line) error {
	if err := startSend(l); err != nil {
		return err
	}
	return waitSend(l)
}

func startSend(l *line) error {
	p := &pending{done: make(chan struct{}), input: l.opts["input"]}
	l.s.mu.Lock()
	l.s.calls[l.word(0)] = p
	l.s.mu.Unlock()
	body := callBody{Team: l.opts["team"], Input: p.input, Stream: l.opts["stream"] == "yes"}
	if body.Team == "" {
		body.Team = "t"
	}
	if v := l.opts["deadline"]; v != "" {
		if _, err := fmt.Sscan(v, &body.Deadline); err != nil {
			return err
		}
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	if text, ok := l.opts["raw"]; ok {
		raw = []byte(text)
	}
	if n := l.opts["padding"]; n != "" {
		var size int
		if _, err := fmt.Sscan(n, &size); err != nil {
			return err
		}
		raw = append(raw, strings.Repeat(" ", size)...)
	}
	url := "http://" + l.entry("entry-"+l.opts["entry"]).HTTP + "/v1/pipelines/" + l.opts["pipeline"]
	ticket := l.s.values[l.opts["ticket"]]
	began := time.Now().UnixNano()
	go func() {
		defer close(p.done)
		p.call(url, ticket, raw)
		if ticket != "" {
			l.s.use(ticketUse{ticket: ticket, digest: string(raw), began: began, ended: time.Now().UnixNano(), reply: p})
		}
	}()
	return nil
}

func (p *pending) call(url, ticket string, raw []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(raw)
	if ticket != "" {
		req.Header.Set("Wigeonplank-Ticket", ticket)
	}
	c := &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxResponseBodySize: 8 << 20}
	if p.err = c.DoTimeout(req, resp, callLimit); p.err != nil {
		return
	}
	p.status = resp.StatusCode()
	p.header = resp.Header.String()
	p.body = string(resp.Body())
	if strings.Contains(p.header, "event-stream") {
		p.readStream()
		return
	}
	p.err = json.Unmarshal(resp.Body(), &p.problem)
}

// readStream puts the events' text together, and takes the last event's
// members.
func (p *pending) readStream() {
	offset := 0
	var text strings.Builder
	ended := false
	for event := range strings.SplitSeq(p.body, "\n\n") {
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
				p.err = err
				return
			}
			if name != "" {
				p.err = json.Unmarshal([]byte(data), &p.problem)
				ended = true
				continue
			}
			if d.Offset != offset {
				p.err = fmt.Errorf("event at offset %d, expected %d", d.Offset, offset)
				return
			}
			offset += len(d.Text)
			text.WriteString(d.Text)
		}
	}
	p.problem.Text = text.String()
	if !ended {
		p.err = errors.New("stream has no last event")
	}
}

// finish NAME: wait until the call has ended.
func waitSend(l *line) error {
	p := l.call()
	select {
	case <-p.done:
		return nil
	case <-time.After(callLimit):
		return fmt.Errorf("call %s has not ended", l.word(0))
	}
}

func (l *line) call() *pending {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	p := l.s.calls[l.word(0)]
	if p == nil {
		l.ts.Fatalf("no call %q", l.word(0))
	}
	return p
}

// reply NAME KEY VALUE: KEY being status, outcome, cause, state, field, whole
// (text of N tokens, its own), receipt (its own), broken, retry or ticket (save
// under VALUE). Values divided by | are alternatives.
func reply(l *line) error {
	p := l.call()
	if l.word(1) == "broken" {
		if p.err == nil {
			return fmt.Errorf("call %s has a reply: %d", l.word(0), p.status)
		}
		return nil
	}
	if p.err != nil {
		return fmt.Errorf("call %s: %w", l.word(0), p.err)
	}
	var got string
	switch l.word(1) {
	case "status":
		got = fmt.Sprint(p.status)
	case "outcome":
		got = p.problem.Outcome
	case "cause":
		got = p.problem.Cause
	case "state":
		got = p.problem.State
	case "field":
		got = p.problem.Field
	case "whole":
		return p.whole(l.word(2))
	case "receipt":
		return p.receipt()
	case "retry":
		if p.problem.RetryMS <= 0 {
			return fmt.Errorf("call %s: not told when to come back: %s", l.word(0), p.body)
		}
		return nil
	case "ticket":
		if p.problem.Ticket == "" {
			return fmt.Errorf("call %s brought no ticket: %s", l.word(0), p.body)
		}
		l.s.values[l.word(2)] = p.problem.Ticket
		return nil
	}
	for want := range strings.SplitSeq(l.word(2), "|") {
		if got == want {
			return nil
		}
	}
	return fmt.Errorf("%s of %s is %q, expected %q: %.600s", l.word(1), l.word(0), got, l.word(2), p.body)
}

func (p *pending) whole(tokens string) error {
	var n int
	if _, err := fmt.Sscan(tokens, &n); err != nil {
		return err
	}
	if want := engine.Text(p.input, n); p.problem.Text != want {
		return fmt.Errorf("answer has %d bytes, not the %d of its own: %.300s", len(p.problem.Text), len(want), p.body)
	}
	return nil
}

func (p *pending) receipt() error {
	if !strings.Contains(string(p.problem.Result), engine.WordOf(p.input)) {
		return fmt.Errorf("receipt isn't its own: %.300s", p.body)
	}
	return nil
}

// effects INPUT is|at_most N: how often the plain services ran it.
func effects(l *line) error {
	total := 0
	for _, e := range l.s.fleet.Endpoints {
		if e.Kind != "service" {
			continue
		}
		got, err := l.s.fleet.Effects(e)
		if err != nil {
			return err
		}
		total += got.ByInput[l.word(0)]
	}
	return compare("effects of "+l.word(0), total, l.word(1), l.word(2))
}

// outcome TICKET entry=N OUTCOME: ask what became of a ticket, until it doesn't
// run any more and its agent can be asked.
func outcome(l *line) error {
	var got string
	return l.s.fleet.Await("outcome "+l.word(1)+" of "+l.word(0), func() bool {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.SetRequestURI("http://" + l.entry("entry-"+l.opts["entry"]).HTTP + "/v1/tickets/" + l.s.values[l.word(0)])
		if err := fasthttp.DoTimeout(req, resp, 5*time.Second); err != nil {
			return false
		}
		var a struct {
			Outcome string `json:"outcome"`
		}
		if json.Unmarshal(resp.Body(), &a) == nil && resp.StatusCode() == fasthttp.StatusOK {
			got = a.Outcome
		}
		return got == l.word(1)
	})
}

// ticketUse is one POST under a ticket, for the check of the history.
type ticketUse struct {
	ticket       string
	digest       string
	began, ended int64
	reply        *pending
}

func (s *stage) use(u ticketUse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, u)
}

// ticketState is what the model knows of one ticket.
type ticketState struct {
	ran    bool
	voided bool
	maybe  bool // a use ended without word of whether it ran
	digest string
	answer string
}

// checkOnce checks the history of all uses of tickets against a model in which
// a ticket is used at most once and every answer is the one of that use.
func checkOnce(l *line) error {
	model := porcupine.Model{
		Partition: partition,
		Init:      func() any { return ticketState{} },
		Step: func(state, in, out any) (bool, any) {
			return stepTicket(state.(ticketState), in.(ticketUse), out.(string))
		},
	}
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	ops := make([]porcupine.Operation, 0, len(l.s.history))
	for i, u := range l.s.history {
		ops = append(ops, porcupine.Operation{ClientId: i, Input: u, Call: u.began, Output: summary(u.reply), Return: u.ended})
	}
	if !porcupine.CheckOperations(model, ops) {
		return fmt.Errorf("the history of tickets has no order in which each is used once: %+v", ops)
	}
	return nil
}

func partition(ops []porcupine.Operation) [][]porcupine.Operation {
	by := make(map[string][]porcupine.Operation)
	for _, op := range ops {
		t := op.Input.(ticketUse).ticket
		by[t] = append(by[t], op)
	}
	out := make([][]porcupine.Operation, 0, len(by))
	for _, part := range by {
		out = append(out, part)
	}
	return out
}

func summary(p *pending) string {
	switch {
	case p.err != nil:
		return "broken"
	case p.status == fasthttp.StatusOK:
		return "answer:" + string(p.problem.Result)
	case p.problem.State == "conflict":
		return "conflict"
	default:
		return p.problem.Outcome
	}
}

// stepTicket says whether a reply is possible in a state, and the state after.
func stepTicket(st ticketState, u ticketUse, out string) (bool, ticketState) {
	answer, answered := strings.CutPrefix(out, "answer:")
	switch {
	case answered && st.ran:
		return st.digest == u.digest && st.answer == answer, st
	case answered:
		return !st.voided, ticketState{ran: true, digest: u.digest, answer: answer}
	case out == "conflict":
		return (st.ran || st.maybe) && st.digest != u.digest, st
	case out == "not_run":
		return !st.ran, ticketState{voided: true}
	case st.ran || st.voided:
		return true, st
	default:
		return true, ticketState{maybe: true, digest: u.digest}
	}
}

// load rate=R duration=D seed=N [tries=N]: send the plan's mix in the
// background.
func startLoad(l *line) error {
	f := l.s.fleet
	var rate float64
	var seed uint64
	if _, err := fmt.Sscan(l.opts["rate"], &rate); err != nil {
		return err
	}
	if _, err := fmt.Sscan(l.opts["seed"], &seed); err != nil {
		return err
	}
	l.s.loaded = make(chan loadResult, 1)
	p := &load.Plan{
		Targets:  f.Targets(),
		Rate:     rate,
		Duration: l.duration("duration", "2s"),
		Mix:      f.Plan.LoadMix(f.Doc),
		Seed:     seed,
		Tries:    8,
		Patience: 20 * time.Second,
		Check:    verify.Checker(f.Doc),
	}
	go func() {
		rep, err := load.Run(context.Background(), p)
		l.s.loaded <- loadResult{rep, err}
	}()
	return nil
}

// loaded [answered=all|some]: the load has ended; nothing is wrong, doubled,
// missing or untruly refused, and no connection broke for good.
func endLoad(l *line) error {
	r := <-l.s.loaded
	if r.err != nil {
		return r.err
	}
	v, err := verify.Run(l.s.fleet, l.s.fleet.Doc, r.report)
	if err != nil {
		return err
	}
	if !v.OK() {
		return fmt.Errorf("%+v", *v)
	}
	if l.opts["answered"] != "all" {
		return nil
	}
	for _, e := range r.report.Ended() {
		if !e.Ran || e.Tries > 1 && l.opts["tries"] == "one" {
			return fmt.Errorf("%s %q ended as %s after %d tries: %w", e.Share.Pipeline, e.Input, e.Final, e.Tries, e.Err)
		}
	}
	return nil
}
