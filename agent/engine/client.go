// Package engine is the agent's client of its endpoint: a model engine, an
// encoder, retriever or reranker, or a plain service. It calls the endpoint for
// the jobs of package ctrl, reads its load, and sends placement orders to
// engines.
package engine

import (
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/base/budget"
	"wigeonplank.example/base/http1"
	"wigeonplank.example/base/stall"
	"wigeonplank.example/core/place"
)

const (
	readTimeout  = 800 * time.Millisecond // limit for status reads and cancels
	orderTimeout = 2 * time.Second
	maxConns     = 4096

	maxStatusBytes = 256 << 10 // of a response to a status read, an order or a cancel
	maxAnswerBytes = 16 << 20  // of the answer to a call
)

// Client is an HTTP client of one endpoint. It is safe for concurrent use.
type Client struct {
	Budget budget.Budget // for the answers to all calls

	addr   string
	unary  *fasthttp.HostClient // reads whole responses
	stream *fasthttp.HostClient // leaves the response body to be read as a stream
}

// NewClient returns a client of the endpoint at addr, an IP:port.
func NewClient(addr string) *Client {
	return &Client{
		addr:   addr,
		unary:  newHostClient(addr, false),
		stream: newHostClient(addr, true),
	}
}

// newHostClient returns a client that never retries by itself: only the entry
// knows whether a call may be repeated.
func newHostClient(addr string, stream bool) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          addr,
		DialTimeout:                   dial,
		MaxResponseBodySize:           maxStatusBytes, // of whole responses only
		MaxConns:                      maxConns,
		StreamResponseBody:            stream,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
	}
}

// dial opens a connection. A response that arrives while this process stands still isn't late.
func dial(addr string, timeout time.Duration) (net.Conn, error) {
	c, err := fasthttp.DialTimeout(addr, timeout)
	if err != nil {
		return nil, err
	}
	return http1.NewConn(stall.New(c)), nil
}

// Load is an endpoint's load report.
type Load struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Cold    bool  `json:"cold"`
	AgeMS   int64 `json:"age_ms"` // time since the measurement
}

// ReadLoad reads the endpoint's load report.
func (c *Client) ReadLoad() (Load, error) {
	var l Load
	err := c.getJSON("/load", &l)
	return l, err
}

// engineStatus is the response to GET /orders.
type engineStatus struct {
	Model   string `json:"model"`
	Loading string `json:"loading"`
	Fence   uint64 `json:"fence"`
}

// ReadEngine reads which model an engine has loaded and which order it took
// last.
func (c *Client) ReadEngine() (place.EngineStatus, error) {
	var s engineStatus
	if err := c.getJSON("/orders", &s); err != nil {
		return place.EngineStatus{}, err
	}
	return place.EngineStatus{Model: s.Model, Loading: s.Loading, Fence: s.Fence}, nil
}

// Order is a placement order: the model that an engine has to load.
type Order struct {
	Fence uint64 `json:"fence"`
	Model string `json:"model"`
}

// OrderRefusedError is returned for an order that an engine refused.
type OrderRefusedError struct {
	Status     int           // HTTP status of the response
	RetryAfter time.Duration // 0 if the engine named none
}

// Error returns a message with the HTTP status.
func (e *OrderRefusedError) Error() string {
	return fmt.Sprintf("engine refused the order with status %d", e.Status)
}

// SendOrder sends an order to an engine. It returns an *OrderRefusedError if the
// engine, or the weight store that it loads from, refused it.
func (c *Client) SendOrder(o Order) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.preparePost(req, "/orders", o); err != nil {
		return err
	}
	if err := c.unary.DoTimeout(req, resp, orderTimeout); err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	if resp.StatusCode() >= fasthttp.StatusMultipleChoices {
		return &OrderRefusedError{Status: resp.StatusCode(), RetryAfter: retryAfter(resp)}
	}
	return nil
}

// retryAfter returns the value of the Retry-After header, in seconds with
// fractions, or 0 if there is none or it is malformed.
func retryAfter(resp *fasthttp.Response) time.Duration {
	s, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64)
	if err != nil {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// Cancel asks an engine to stop a request whose answer is no longer needed.
func (c *Client) Cancel(requestID string) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.preparePost(req, "/v1/cancel", cancelBody{RequestID: requestID}); err != nil {
		return err
	}
	if err := c.unary.DoTimeout(req, resp, readTimeout); err != nil {
		return fmt.Errorf("cancel request: %w", err)
	}
	return nil
}

type cancelBody struct {
	RequestID string `json:"request_id"`
}

// setTarget makes req a request to a path of the endpoint, on a connection of its own: as
// responses have no ID, a second copy of one would be taken for the next on its connection.
func (c *Client) setTarget(req *fasthttp.Request, path string) {
	req.SetRequestURI("http://" + c.addr + path)
	req.SetConnectionClose()
}

// preparePost makes req a POST of body, encoded as JSON, to a path of the
// endpoint.
func (c *Client) preparePost(req *fasthttp.Request, path string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode body of %s: %w", path, err)
	}
	c.setTarget(req, path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(raw)
	return nil
}

// getJSON reads a path of the endpoint and decodes the response into v.
func (c *Client) getJSON(path string, v any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.setTarget(req, path)
	if err := c.unary.DoTimeout(req, resp, readTimeout); err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("read %s: status %d", path, resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), v); err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	return nil
}
