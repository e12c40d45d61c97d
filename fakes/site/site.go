package site

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Site simulates the platform of one deployment on loopback: its store and the
// endpoints that are registered in it. New returns a running site, Close ends
// it.
type Site struct {
	Store      Store
	StoreAddr  string
	RemoteAddr string // of the store too, unless CutRemote has cut it off

	mu              sync.Mutex
	endpoints       map[string]*Endpoint // by endpoint ID
	endpointsByAddr map[string]*Endpoint
	poisonedPart    string // ID of the prompt part that crashes engines; empty: none
	poisonedURI     string // URI of the request that crashes endpoints, with poisonedBody; empty: none
	poisonedBody    string
	poisonedKey     string // key of the items that crash endpoints of stages; empty: none
	exposures       []Exposure
	remoteCut       bool // RemoteAddr doesn't respond
	closed          chan struct{}
	storeListeners  []net.Listener
}

// discardLogger discards the log lines of fasthttp about connections that an
// injected fault has closed.
type discardLogger struct{}

// Printf discards its arguments.
func (discardLogger) Printf(string, ...any) {}

// New starts a site that has a store and no endpoints.
func New() (*Site, error) {
	s := &Site{endpoints: make(map[string]*Endpoint), endpointsByAddr: make(map[string]*Endpoint), closed: make(chan struct{})}
	var err error
	if s.StoreAddr, err = s.serveStore(s.Store.Handler); err != nil {
		return nil, err
	}
	s.RemoteAddr, err = s.serveStore(func(ctx *fasthttp.RequestCtx) {
		s.Store.Handler(ctx)
		s.mu.Lock()
		cut := s.remoteCut
		s.mu.Unlock()
		if cut {
			time.Sleep(hangTime)
			_ = ctx.Conn().Close() // the caller has timed out
		}
	})
	return s, err
}

// serveStore serves requests to the store on an address, which it returns.
func (s *Site) serveStore(handle fasthttp.RequestHandler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for the store: %w", err)
	}
	s.storeListeners = append(s.storeListeners, ln)
	srv := &fasthttp.Server{Handler: handle, Logger: discardLogger{}}
	go func() { _ = srv.Serve(ln) }() // returns when Close closes the listener
	return ln.Addr().String(), nil
}

// CutRemote lets requests to RemoteAddr go without a response, or ends that.
func (s *Site) CutRemote(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remoteCut = cut
}

// StartEndpoint starts an endpoint and registers it in the store as ready.
func (s *Site) StartEndpoint(spec Spec) (*Endpoint, error) {
	if spec.Version == "" {
		spec.Version = DefaultVersion
	}
	e, err := s.startAt("127.0.0.1:0", spec)
	if err != nil {
		return nil, err
	}
	return e, s.Register(spec.ID, "ready")
}

// startAt starts an endpoint at an address.
func (s *Site) startAt(addr string, spec Spec) (*Endpoint, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", spec.ID, err)
	}
	e := &Endpoint{Spec: spec, Addr: ln.Addr().String(), site: s, ln: ln, results: make(map[string]bool), copies: make(map[net.Conn]string), startUnixMs: time.Now().UnixMilli()}
	e.http = &fasthttp.Server{Handler: e.handle, NoDefaultServerHeader: true, Logger: discardLogger{}}
	s.mu.Lock()
	s.endpoints[spec.ID], s.endpointsByAddr[e.Addr] = e, e
	s.mu.Unlock()
	go func() { _ = e.http.Serve(&trackingListener{Listener: ln, endpoint: e}) }() // returns when the endpoint stops
	return e, nil
}

// StartAgain starts a crashed endpoint again at its address, with another software version.
// Its store entry stays as it is. What the crashed one has executed counts as executed by it.
func (s *Site) StartAgain(id, version string) error {
	former := s.Endpoint(id)
	if former == nil {
		return fmt.Errorf("no endpoint %q", id)
	}
	spec := former.Spec
	spec.Version = version
	e, err := s.startAt(former.Addr, spec)
	if err != nil {
		return err
	}
	executed := former.ExecutedRequests()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executed = append(executed, e.executed...)
	return nil
}

// Register writes the store entry of an endpoint with the given state.
func (s *Site) Register(id, state string) error { return s.RegisterAgain(id, state, 1) }

// RegisterAgain writes the store entry of an endpoint that has written to the store seq
// times, this one included.
func (s *Site) RegisterAgain(id, state string, seq int) error {
	e := s.Endpoint(id)
	if e == nil {
		return fmt.Errorf("no endpoint %q", id)
	}
	raw, err := json.Marshal(map[string]any{
		"service": e.Service, "address": e.Addr, "zone": e.Zone, "version": e.Version, "slots": e.Slots,
		"state": state, "coldLeftMs": 0, "seq": seq, "born": e.startedAtMs(),
	})
	if err != nil {
		return fmt.Errorf("encode entry of %s: %w", id, err)
	}
	s.Store.Put("servers/"+id, raw)
	return nil
}

// Endpoint returns the endpoint with an ID, or nil.
func (s *Site) Endpoint(id string) *Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[id]
}

// Endpoints returns all endpoints, in no particular order.
func (s *Site) Endpoints() []*Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*Endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		out = append(out, e)
	}
	return out
}

// PublishConfig writes a configuration document into the store.
func (s *Site) PublishConfig(config map[string]any) error {
	raw, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	s.Store.Put("op/config", raw)
	return nil
}

// CrashEndpoint stops an endpoint and closes its connections. Its store entry stays as
// it is.
func (s *Site) CrashEndpoint(id string) error {
	e := s.Endpoint(id)
	if e == nil {
		return fmt.Errorf("no endpoint %q", id)
	}
	return e.stop()
}

// Close stops all endpoints, ends requests that FaultHang keeps waiting, and closes
// the listener of the store.
func (s *Site) Close() error {
	close(s.closed)
	endpoints := s.Endpoints()
	errs := make([]error, 0, len(endpoints)+1)
	for _, e := range endpoints {
		errs = append(errs, e.stop())
	}
	for _, ln := range s.storeListeners {
		errs = append(errs, ln.Close())
	}
	return errors.Join(errs...)
}
