package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/conf"
)

const maxResumes = 2

// Job is one call to the endpoint.
type Job struct {
	Request  string // unique for the endpoint
	Stage    *conf.Stage
	Body     []byte // an Envelope
	Priority int
	Timeout  time.Duration
}

// Envelope is what one stage hands to the next.
type Envelope struct {
	Input  string          `json:"input"`            // of the caller
	Result json.RawMessage `json:"result,omitempty"` // of the stage before
}

// Outcome is how a call ended.
type Outcome struct {
	Failure    string // empty: a whole answer
	NotStarted bool   // the endpoint's protocol says that nothing ran
	Rejected   bool   // the endpoint answered with an error of its own
	Units      int    // tokens, or 1
}

// Run does a call and passes the bytes of its answer to emit, in order. It
// blocks until the call ends or times out.
func (c *Client) Run(j Job, emit func([]byte)) Outcome {
	var env Envelope
	if err := json.Unmarshal(j.Body, &env); err != nil {
		return Outcome{Failure: fmt.Sprintf("decode stage input: %v", err), NotStarted: true}
	}
	if j.Stage.Kind == conf.KindGeneration {
		return c.generate(j, env, emit)
	}
	return c.call(j, env, emit)
}

type previous struct {
	Embedding json.RawMessage `json:"embedding,omitempty"`
	Documents []string        `json:"documents,omitempty"`
}

type encodeBody struct {
	Input string `json:"input"`
}

type searchBody struct {
	Query     string          `json:"query"`
	Embedding json.RawMessage `json:"embedding,omitempty"`
}

type rerankBody struct {
	Query     string   `json:"query"`
	Documents []string `json:"documents"`
}

func requestFor(s *conf.Stage, env Envelope) (path string, body any) {
	var prev previous
	// A result of another shape leaves the fields empty; the endpoint judges it.
	_ = json.Unmarshal(env.Result, &prev)
	switch s.Kind {
	case conf.KindEncoding:
		return "/v1/embeddings", encodeBody{Input: env.Input}
	case conf.KindRetrieval:
		return "/v1/search", searchBody{Query: env.Input, Embedding: prev.Embedding}
	case conf.KindReranking:
		return "/v1/rerank", rerankBody{Query: env.Input, Documents: prev.Documents}
	default:
		return s.Path, env
	}
}

func (c *Client) call(j Job, env Envelope, emit func([]byte)) Outcome {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	path, body := requestFor(j.Stage, env)
	if err := c.prepare(req, path, body); err != nil {
		return Outcome{Failure: err.Error(), NotStarted: true}
	}
	req.Header.Set("Request-Id", j.Request)
	if err := c.unary.DoTimeout(req, resp, j.Timeout); err != nil {
		return Outcome{Failure: fmt.Sprintf("call endpoint: %v", err), NotStarted: errors.Is(err, fasthttp.ErrDialTimeout)}
	}
	if out, bad := judge(j.Stage, resp.StatusCode()); bad {
		return out
	}
	emit(resp.Body())
	return Outcome{Units: 1}
}

// judge tells what an error status of the endpoint means. Only the protocol of
// model engines and pools says that 429 means "not started"; a plain service
// may answer so after it has begun.
func judge(s *conf.Stage, status int) (Outcome, bool) {
	switch {
	case status < fasthttp.StatusMultipleChoices:
		return Outcome{}, false
	case status == fasthttp.StatusTooManyRequests && s.Kind != conf.KindService:
		return Outcome{Failure: "endpoint is full", NotStarted: true}, true
	case status < fasthttp.StatusInternalServerError:
		return Outcome{Failure: fmt.Sprintf("endpoint answered %d", status), Rejected: true}, true
	default:
		return Outcome{Failure: fmt.Sprintf("endpoint answered %d", status)}, true
	}
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	RequestID string `json:"request_id"`
	Priority  int    `json:"priority"`
	Resume    int    `json:"resume_from,omitempty"` // tokens that arrived already
}

type completionEvent struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// generate reads a stream of tokens. If it breaks, the engine is asked to
// resume after the last token that arrived.
func (c *Client) generate(j Job, env Envelope, emit func([]byte)) Outcome {
	body := completionBody{
		Model:     j.Stage.Model.String(),
		Prompt:    prompt(env),
		MaxTokens: j.Stage.MaxTokens,
		Stream:    true,
		RequestID: j.Request,
		Priority:  j.Priority,
	}
	deadline := time.Now().Add(j.Timeout)
	tokens := 0
	for try := 0; ; try++ {
		body.Resume = tokens
		n, out, whole := c.streamOnce(j, body, deadline, emit)
		tokens += n
		out.Units = tokens
		if whole {
			return out
		}
		if try > 0 {
			// What is refused here is the resume, not the request.
			out.NotStarted, out.Rejected = false, false
		}
		if out.NotStarted || out.Rejected || try == maxResumes || time.Now().After(deadline) {
			return out
		}
	}
}

func prompt(env Envelope) string {
	var prev previous
	_ = json.Unmarshal(env.Result, &prev)
	p := env.Input
	for _, d := range prev.Documents {
		p += "\n" + d
	}
	return p
}

// streamOnce reads one stream and returns how many tokens it brought and
// whether it came to its end.
func (c *Client) streamOnce(j Job, body completionBody, deadline time.Time, emit func([]byte)) (int, Outcome, bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.prepare(req, "/v1/completions", body); err != nil {
		return 0, Outcome{Failure: err.Error(), NotStarted: true}, false
	}
	if err := c.stream.DoDeadline(req, resp, deadline); err != nil {
		return 0, Outcome{Failure: fmt.Sprintf("call engine: %v", err)}, false
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if out, bad := judge(j.Stage, resp.StatusCode()); bad {
		return 0, out, false
	}
	return readTokens(resp.BodyStream(), body.Resume, emit)
}

var (
	dataPrefix = []byte("data: ")
	doneMark   = []byte("[DONE]")
)

// readTokens passes on the tokens of a stream from number next on.
func readTokens(r io.Reader, next int, emit func([]byte)) (int, Outcome, bool) {
	sc := bufio.NewScanner(r)
	n := 0
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMark) {
			return n, Outcome{}, true
		}
		var ev completionEvent
		if err := json.Unmarshal(data, &ev); err != nil {
			return n, Outcome{Failure: fmt.Sprintf("decode token: %v", err)}, false
		}
		switch {
		case ev.Index < next:
			continue // doubled
		case ev.Index > next:
			return n, Outcome{Failure: fmt.Sprintf("engine skipped from token %d to %d", next, ev.Index)}, false
		}
		emit([]byte(ev.Text))
		next++
		n++
	}
	return n, Outcome{Failure: "engine's stream broke off"}, false
}
