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

	"wigeonplank.example/base/body"
	"wigeonplank.example/core/conf"
)

const maxResumes = 2 // maximum number of resumes of one token stream

// Call is a call to the endpoint.
type Call struct {
	RequestID string // unique at the endpoint
	Stage     *conf.Stage
	Body      []byte // an Envelope as JSON
	Priority  int    // 0 is the highest
	Timeout   time.Duration
}

// StageInput is the input of a stage.
type StageInput struct {
	Input  string          `json:"input"`            // input in the caller's request
	Result json.RawMessage `json:"result,omitempty"` // result of the previous stage
}

// Outcome is how a call ended.
type Outcome struct {
	Failure    string // empty if the answer is complete
	NotStarted bool   // nothing ran: the call wasn't sent, or the endpoint's protocol guarantees it
	Rejected   bool   // the endpoint answered with a status from 300 to 499 that doesn't mean NotStarted
	Units      int    // tokens of a generation, otherwise 1
}

// Do makes a call and passes the bytes of its answer to emit, in order. It
// blocks until the call ends or times out.
func (c *Client) Do(call Call, emit func([]byte)) Outcome {
	var in StageInput
	if err := json.Unmarshal(call.Body, &in); err != nil {
		return Outcome{Failure: fmt.Sprintf("decode stage input: %v", err), NotStarted: true}
	}
	if call.Stage.Kind == conf.KindGeneration {
		return c.generate(call, in, emit)
	}
	return c.doUnary(call, in, emit)
}

// previousResult is the part of the previous stage's result that this stage may
// need.
type previousResult struct {
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

// unaryRequest returns the path and body of a call for a stage that isn't a
// generation.
func unaryRequest(s *conf.Stage, in StageInput) (path string, body any) {
	var prev previousResult
	// Fields that the result lacks stay empty; the endpoint validates the input.
	_ = json.Unmarshal(in.Result, &prev)
	switch s.Kind {
	case conf.KindEncoding:
		return "/v1/embeddings", encodeBody{Input: in.Input}
	case conf.KindRetrieval:
		return "/v1/search", searchBody{Query: in.Input, Embedding: prev.Embedding}
	case conf.KindReranking:
		return "/v1/rerank", rerankBody{Query: in.Input, Documents: prev.Documents}
	default:
		return s.Path, in
	}
}

// doUnary makes a call whose answer is a single response body.
func (c *Client) doUnary(call Call, in StageInput, emit func([]byte)) Outcome {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	path, content := unaryRequest(call.Stage, in)
	if err := c.preparePost(req, path, content); err != nil {
		return Outcome{Failure: err.Error(), NotStarted: true}
	}
	req.Header.Set("Request-Id", call.RequestID)
	if err := c.stream.DoTimeout(req, resp, call.Timeout); err != nil {
		return Outcome{Failure: fmt.Sprintf("call endpoint: %v", err), NotStarted: errors.Is(err, fasthttp.ErrDialTimeout)}
	}
	defer func() { _ = resp.CloseBodyStream() }() // the connection isn't used again
	if out, failed := checkStatus(call.Stage, resp.StatusCode()); failed {
		return out
	}
	held := c.Budget.Reserve(c.addr, nil)
	defer held.Release()
	answer, err := readAnswer(resp, held.Grow)
	if err != nil {
		return Outcome{Failure: err.Error()}
	}
	emit(answer)
	return Outcome{Units: 1}
}

// errNoFraming reports a response that may be incomplete.
var errNoFraming = errors.New("answer has neither a length nor chunks, and may not be whole")

// readAnswer reads the whole body of a response. grow is that of body.Collect. A body that ends with its connection, without a
// length or chunks, may have been cut off, unless its content shows where it ends.
func readAnswer(resp *fasthttp.Response, grow func(n int) error) ([]byte, error) {
	b, framed, err := body.Read(resp, maxAnswerBytes, grow)
	if err == nil && !framed && !isDelimitedJSON(b) {
		err = errNoFraming
	}
	return b, err
}

// isDelimitedJSON reports whether b is an object, an array or a string, which no part of it is.
func isDelimitedJSON(b []byte) bool {
	b = bytes.TrimSpace(b)
	return len(b) > 0 && bytes.IndexByte([]byte(`{["`), b[0]) >= 0 && json.Valid(b)
}

// checkStatus returns the outcome of a call that ended with an error status, and
// whether the status is one. Only the protocol of model engines and pools
// guarantees that 429 means "not started"; a plain service may respond with 429
// after it has begun.
func checkStatus(s *conf.Stage, status int) (Outcome, bool) {
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
	Model      string `json:"model"`
	Prompt     string `json:"prompt"`
	MaxTokens  int    `json:"max_tokens"`
	Stream     bool   `json:"stream"`
	RequestID  string `json:"request_id"`
	Priority   int    `json:"priority"`
	ResumeFrom int    `json:"resume_from,omitempty"` // index of the first token to send
}

// completionEvent is one event of the engine's stream: a token.
type completionEvent struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// generate reads a stream of tokens. If the stream breaks, it asks the engine to
// resume after the last token received, at most maxResumes times.
func (c *Client) generate(call Call, in StageInput, emit func([]byte)) Outcome {
	body := completionBody{
		Model:     call.Stage.Model.String(),
		Prompt:    prompt(in),
		MaxTokens: call.Stage.MaxTokens,
		Stream:    true,
		RequestID: call.RequestID,
		Priority:  call.Priority,
	}
	deadline := time.Now().Add(call.Timeout)
	tokens := 0
	for resumes := 0; ; resumes++ {
		body.ResumeFrom = tokens
		n, out, complete := c.streamOnce(call, body, deadline, emit)
		tokens += n
		out.Units = tokens
		if complete {
			return out
		}
		if resumes > 0 {
			// The engine refused the resume. The request itself was started
			// before.
			out.NotStarted, out.Rejected = false, false
		}
		if out.NotStarted || out.Rejected || resumes == maxResumes || time.Now().After(deadline) {
			return out
		}
	}
}

// prompt returns the caller's input, followed by the documents of the previous
// stage's result, one a line.
func prompt(in StageInput) string {
	var prev previousResult
	_ = json.Unmarshal(in.Result, &prev)
	p := in.Input
	for _, d := range prev.Documents {
		p += "\n" + d
	}
	return p
}

// streamOnce reads one stream. It returns the number of tokens received and
// whether the stream is complete.
func (c *Client) streamOnce(call Call, body completionBody, deadline time.Time, emit func([]byte)) (int, Outcome, bool) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.preparePost(req, "/v1/completions", body); err != nil {
		return 0, Outcome{Failure: err.Error(), NotStarted: true}, false
	}
	if err := c.stream.DoDeadline(req, resp, deadline); err != nil {
		return 0, Outcome{Failure: fmt.Sprintf("call engine: %v", err)}, false
	}
	defer func() { _ = resp.CloseBodyStream() }()
	if out, failed := checkStatus(call.Stage, resp.StatusCode()); failed {
		return 0, out, false
	}
	return readTokens(resp.BodyStream(), body.ResumeFrom, call.Stage.MaxTokens, emit)
}

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// readTokens reads server-sent events from r and emits the tokens from index
// next on. It drops duplicates, which have a lower index, and fails on a gap and
// on a token beyond limit, the number that the stage allows (0: any). It
// returns the number of tokens emitted and whether the stream is complete, that
// is, ended with the done marker.
func readTokens(r io.Reader, next, limit int, emit func([]byte)) (int, Outcome, bool) {
	sc := bufio.NewScanner(r)
	n := 0
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMarker) {
			return n, Outcome{}, true
		}
		var ev completionEvent
		if err := json.Unmarshal(data, &ev); err != nil {
			return n, Outcome{Failure: fmt.Sprintf("decode token: %v", err)}, false
		}
		switch {
		case ev.Index < next:
			continue // duplicate
		case ev.Index > next:
			return n, Outcome{Failure: fmt.Sprintf("engine skipped from token %d to %d", next, ev.Index)}, false
		case limit > 0 && next == limit:
			return n, Outcome{Failure: fmt.Sprintf("engine sent more than the %d tokens that the stage allows", limit)}, false
		}
		emit([]byte(ev.Text))
		next++
		n++
	}
	return n, Outcome{Failure: "engine's stream broke off"}, false
}
