// Package fetch reads what the platform publishes: the configuration service
// and the instance list. It never writes.
package fetch

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/roster"
)

const (
	readTimeout  = 2 * time.Second
	watchWait    = 20 * time.Second
	watchTimeout = watchWait + 5*time.Second
	maxListBytes = 16 << 20
)

// StatusError says that a service of the platform answered with another status
// than expected.
type StatusError struct {
	URL    string
	Status int
}

// Error names the URL and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s answered with status %d", e.URL, e.Status)
}

// ErrUnchanged says that a watch ended with nothing newer.
var ErrUnchanged = errors.New("no newer revision")

// Platform reads from the platform's services, given as IP:port. The zero value
// of the other fields is ready to use. It is safe for concurrent use.
type Platform struct {
	Config string
	List   string

	client fasthttp.Client
}

// ReadConfig returns the published document as bytes.
func (p *Platform) ReadConfig() ([]byte, error) {
	return p.get("http://"+p.Config+"/v1/config", readTimeout, conf.MaxDocumentBytes)
}

// WatchConfig waits until a revision above after is published and returns the
// document, or ErrUnchanged after about 20 s. It blocks.
func (p *Platform) WatchConfig(after uint64) ([]byte, error) {
	url := fmt.Sprintf("http://%s/v1/config?after=%d&wait=%s", p.Config, after, watchWait)
	return p.get(url, watchTimeout, conf.MaxDocumentBytes)
}

// Revision returns the published revision without the document.
func (p *Platform) Revision() (uint64, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + p.Config + "/v1/config")
	req.Header.SetMethod(fasthttp.MethodHead)
	if err := p.client.DoTimeout(req, resp, readTimeout); err != nil {
		return 0, fmt.Errorf("read revision: %w", err)
	}
	n, err := strconv.ParseUint(string(resp.Header.Peek("Revision")), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("read revision: %w", err)
	}
	return n, nil
}

// ReadList returns the instance list.
func (p *Platform) ReadList() (roster.List, error) {
	raw, err := p.get("http://"+p.List+"/v1/instances", readTimeout, maxListBytes)
	if err != nil {
		return roster.List{}, err
	}
	l, err := roster.Parse(raw)
	if err != nil {
		return roster.List{}, fmt.Errorf("read instance list: %w", err)
	}
	return l, nil
}

func (p *Platform) get(url string, timeout time.Duration, most int) ([]byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(url)
	if err := p.client.DoTimeout(req, resp, timeout); err != nil {
		return nil, fmt.Errorf("read %s: %w", url, err)
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
	case fasthttp.StatusNoContent:
		return nil, ErrUnchanged
	default:
		return nil, &StatusError{URL: url, Status: resp.StatusCode()}
	}
	if n := len(resp.Body()); n > most {
		return nil, fmt.Errorf("read %s: %d bytes, at most %d are allowed", url, n, most)
	}
	return append([]byte(nil), resp.Body()...), nil
}
