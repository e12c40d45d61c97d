package fleet

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	agentctrl "wigeonplank.example/agent/ctrl"
	"wigeonplank.example/entry/report"
	"wigeonplank.example/fakes/config"
	fakeload "wigeonplank.example/fakes/load"
	"wigeonplank.example/fakes/plain"
)

const httpTimeout = 2 * time.Second

// post sends a POST request and returns an error unless the status is 200.
func post(addr, path string, body []byte) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBody(body)
	if err := fasthttp.DoTimeout(req, resp, httpTimeout); err != nil {
		return fmt.Errorf("post %s: %w", path, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("post %s: status %d: %s", path, resp.StatusCode(), resp.Body())
	}
	return nil
}

// get sends a GET request and decodes the JSON body of a response with status 200.
func get[T any](addr, path string) (T, error) {
	var v T
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	if err := fasthttp.DoTimeout(req, resp, httpTimeout); err != nil {
		return v, fmt.Errorf("get %s: %w", path, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return v, fmt.Errorf("get %s: status %d", path, resp.StatusCode())
	}
	if err := json.Unmarshal(resp.Body(), &v); err != nil {
		return v, fmt.Errorf("get %s: %w", path, err)
	}
	return v, nil
}

// EntryStatus reads the status page of an entry.
func (f *Fleet) EntryStatus(e *Entry) (report.Status, error) {
	return get[report.Status](e.AdminAddr, "/status")
}

// AgentStatus reads the status page of an endpoint's agent.
func (f *Fleet) AgentStatus(e *Endpoint) (agentctrl.Status, error) {
	return get[agentctrl.Status](e.AgentAdmin, "/status")
}

// Effects reads the effects that calls had on a plain service.
func (f *Fleet) Effects(e *Endpoint) (plain.Effects, error) {
	return get[plain.Effects](e.Addr, "/effects")
}

// History reads the load statistics of a back end.
func (f *Fleet) History(e *Endpoint) (fakeload.History, error) {
	return get[fakeload.History](e.Addr, "/history")
}

// ConfigCounts reads the request counts of the configuration service.
func (f *Fleet) ConfigCounts() (config.Counts, error) {
	return get[config.Counts](f.ConfigAddr, "/counts")
}
