// Package fetch reads the published configuration document and the instance list
// from the services of the platform. It never writes to them.
package fetch

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/base/body"
	"wigeonplank.example/base/http1"
	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/roster"
)

const (
	readTimeout  = 2 * time.Second
	watchWait    = 20 * time.Second // how long the service may hold a watch request
	watchTimeout = watchWait + 5*time.Second
	maxListBytes = 16 << 20
)

// StatusError reports that a service of the platform responded with an
// unexpected HTTP status.
type StatusError struct {
	URL    string
	Status int
}

// Error returns a message with the URL and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s responded with status %d", e.URL, e.Status)
}

// ErrUnchanged reports that no newer revision was published during a watch.
var ErrUnchanged = errors.New("no newer revision")

// Platform is a client of the platform's services. Set the addresses before use.
// It is safe for concurrent use.
type Platform struct {
	ConfigAddr string // IP:port of the configuration service
	ListAddr   string // IP:port of the instance list service

	setUp  sync.Once
	client fasthttp.Client
}

// ReadConfig returns the published configuration document, still encoded.
func (p *Platform) ReadConfig() ([]byte, error) {
	return p.get("http://"+p.ConfigAddr+"/v1/config", readTimeout, conf.MaxDocumentBytes)
}

// WatchConfig waits until a revision above after is published and returns its
// document, still encoded. If none is published within 20 s, it returns
// ErrUnchanged. It blocks.
func (p *Platform) WatchConfig(after uint64) ([]byte, error) {
	url := fmt.Sprintf("http://%s/v1/config?after=%d&wait=%s", p.ConfigAddr, after, watchWait)
	return p.get(url, watchTimeout, conf.MaxDocumentBytes)
}

// Revision returns the number of the published revision. It doesn't transfer the
// document.
func (p *Platform) Revision() (uint64, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + p.ConfigAddr + "/v1/config")
	req.Header.SetMethod(fasthttp.MethodHead)
	if err := p.do(req, resp, readTimeout); err != nil {
		return 0, fmt.Errorf("read revision: %w", err)
	}
	n, err := strconv.ParseUint(string(resp.Header.Peek("Revision")), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read revision: %w", err)
	}
	return n, nil
}

// ReadList returns the instance list. If the error is a *roster.DamageError, the list is
// returned as well.
func (p *Platform) ReadList() (roster.List, error) {
	raw, err := p.get("http://"+p.ListAddr+"/v1/instances", readTimeout, maxListBytes)
	if err != nil {
		return roster.List{}, err
	}
	l, err := roster.Parse(raw)
	if err != nil {
		return l, fmt.Errorf("read instance list: %w", err)
	}
	return l, nil
}

func (p *Platform) do(req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration) error {
	p.setUp.Do(func() { p.client.DialTimeout = http1.Dial })
	return p.client.DoTimeout(req, resp, timeout)
}

func (p *Platform) get(url string, timeout time.Duration, maxBytes int) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	resp.StreamBody = true
	if err := p.do(req, resp, timeout); err != nil {
		return nil, fmt.Errorf("read %s: %w", url, err)
	}
	defer func() { _ = resp.CloseBodyStream() }() // what is left unread doesn't matter
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
	case fasthttp.StatusNoContent:
		return nil, ErrUnchanged
	default:
		return nil, &StatusError{URL: url, Status: resp.StatusCode()}
	}
	b, framed, err := body.Read(resp, maxBytes, nil)
	switch {
	case err != nil:
		return nil, fmt.Errorf("read %s: %w", url, err)
	case !framed: // a part of a document may be a valid one
		return nil, fmt.Errorf("read %s: body has neither a length nor chunks", url)
	}
	return b, nil
}
