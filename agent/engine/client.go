// Package engine speaks with the endpoint beside the agent: model engines,
// pools of encoders, retrievers and rerankers, and plain services.
package engine

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/place"
)

const (
	readTimeout  = 800 * time.Millisecond
	orderTimeout = 2 * time.Second
	maxConns     = 4096
)

// Client speaks with one endpoint, by IP:port. It is safe for concurrent use.
type Client struct {
	addr   string
	unary  *fasthttp.HostClient
	stream *fasthttp.HostClient
}

// NewClient returns a client of the endpoint at addr.
func NewClient(addr string) *Client {
	return &Client{
		addr:   addr,
		unary:  newHostClient(addr, false),
		stream: newHostClient(addr, true),
	}
}

// newHostClient never repeats a call by itself: whether a call may be repeated
// is not the client's to decide.
func newHostClient(addr string, stream bool) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          addr,
		MaxConns:                      maxConns,
		StreamResponseBody:            stream,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
	}
}

// Load is an endpoint's load report.
type Load struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Cold    bool  `json:"cold"`
	AgeMS   int64 `json:"age_ms"` // how long ago it was measured
}

// ReadLoad returns the endpoint's load report.
func (c *Client) ReadLoad() (Load, error) {
	var l Load
	err := c.getJSON("/load", &l)
	return l, err
}

// engineState is an engine's answer on its orders.
type engineState struct {
	Model   string `json:"model"`
	Loading string `json:"loading"`
	Fence   uint64 `json:"fence"`
}

// ReadEngine returns what an engine has loaded.
func (c *Client) ReadEngine() (place.EngineStatus, error) {
	var s engineState
	if err := c.getJSON("/orders", &s); err != nil {
		return place.EngineStatus{}, err
	}
	return place.EngineStatus{Model: s.Model, Loading: s.Loading, Fence: s.Fence}, nil
}

// Order is what an engine is told to load.
type Order struct {
	Fence uint64 `json:"fence"`
	Model string `json:"model"`
}

// OrderRefusedError says that an engine refused an order, and when to try again.
type OrderRefusedError struct {
	Status     int
	RetryAfter time.Duration
}

// Error names the status.
func (e *OrderRefusedError) Error() string {
	return fmt.Sprintf("engine refused the order with status %d", e.Status)
}

// SendOrder gives an engine an order. It returns *OrderRefusedError if the engine
// or the weight store behind it says no.
func (c *Client) SendOrder(o Order) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.prepare(req, "/orders", o); err != nil {
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

func retryAfter(resp *fasthttp.Response) time.Duration {
	s, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64)
	if err != nil {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// Cancel tells an engine that a request's answer is of no use any more.
func (c *Client) Cancel(request string) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := c.prepare(req, "/v1/cancel", cancelBody{RequestID: request}); err != nil {
		return err
	}
	if err := c.unary.DoTimeout(req, resp, readTimeout); err != nil {
		return fmt.Errorf("cancel: %w", err)
	}
	return nil
}

type cancelBody struct {
	RequestID string `json:"request_id"`
}

func (c *Client) prepare(req *fasthttp.Request, path string, body any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode body of %s: %w", path, err)
	}
	req.SetRequestURI("http://" + c.addr + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(raw)
	return nil
}

func (c *Client) getJSON(path string, v any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.addr + path)
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
