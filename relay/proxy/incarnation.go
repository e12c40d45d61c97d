package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"syscall"
	"time"

	"wigeonplank.example/base/wait"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
	"wigeonplank.example/relay/ctrl"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/pool"
)

// errDoubted reports that the version of the software of an endpoint isn't known: the
// incarnation that it tells isn't the one that the view lists, or it tells none.
var errDoubted = errors.New("not known to be the incarnation that is listed")

// errEndedWithEndpoint reports a response without a length whose endpoint may have been killed. The
// endpoint has broken it off then.
var errEndedWithEndpoint = fmt.Errorf("endpoint has ended with its response: %w", io.ErrUnexpectedEOF)

const (
	// maxListedWait bounds the wait until the view lists the incarnation at which a stream began.
	maxListedWait  = time.Second
	listedInterval = 50 * time.Millisecond // between two looks at the view
	maxRefreshAge  = 500 * time.Millisecond
)

// leadsTo reports whether a connection leads to the incarnation of an endpoint that the view
// lists.
func leadsTo(c *pool.Conn, e *fleet.Endpoint) bool {
	return c.Incarnation() > 0 && c.Incarnation() == e.StartUnixMs
}

// readAnswer reads the whole answer of a call that isn't a stream.
func (req *request) readAnswer(ctx context.Context, e *fleet.Endpoint, call *pool.Call) ([]byte, error) {
	body, err := call.ReadAll()
	if err == nil && !call.Response.NotRun { // a refusal is told by its head alone
		err = req.checkEnd(ctx, e, call)
	}
	return body, err
}

// checkEnd returns an error if an endpoint may have been killed within the response that it has
// ended. The connections of a killed process end like one on which a response without a length
// is complete.
func (req *request) checkEnd(ctx context.Context, e *fleet.Endpoint, call *pool.Call) error {
	if call.IsFramed() {
		return nil
	}
	before := call.Conn.Incarnation()
	if before == 0 {
		before = e.StartUnixMs // it wasn't asked
	}
	start, err := req.Pool.Ask(ctx, e.ID, e.Addr, req.deadline)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", errEndedWithEndpoint, err)
	case start > 0 && before > 0 && start != before:
		return fmt.Errorf("%w: another incarnation has followed", errEndedWithEndpoint)
	}
	return nil
}

// listedVersion returns the version of the software of an incarnation, and false if the view
// doesn't list it.
func (req *request) listedVersion(in origin.Incarnation) (string, bool) {
	e := req.View().Endpoint(in.Endpoint)
	if e == nil || e.StartUnixMs != in.StartUnixMs {
		return "", false
	}
	return e.Version, true
}

// awaitListed is listedVersion on a view that is up to date. It waits for a short time until
// the incarnation is listed.
func (req *request) awaitListed(ctx context.Context, in origin.Incarnation) (string, bool) {
	until := earlier(req.Clock.Now().Add(maxListedWait), req.deadline)
	for {
		if version, ok := req.listedVersion(in); ok {
			return version, true
		}
		if !req.Clock.Now().Before(until) || !req.Refresh(ctx, maxRefreshAge) {
			return req.listedVersion(in)
		}
		if version, ok := req.listedVersion(in); ok || !wait.For(ctx, listedInterval) {
			return version, ok
		}
	}
}

// resolveOrigin returns an origin whose version is known, or false.
func (req *request) resolveOrigin(ctx context.Context, o origin.Origin) (origin.Origin, bool) {
	if o.Presumed == (origin.Incarnation{}) {
		return o, true
	}
	if o.Version != "" { // of a relay of the former release: the endpoint hasn't told this incarnation
		return o, false
	}
	version, ok := req.awaitListed(ctx, o.Presumed)
	if !ok {
		return o, false
	}
	o = origin.Origin{Service: o.Service, Version: version}
	req.recordOrigin(o)
	return o, true
}

// recordVersion binds the request to the software version of the endpoint that sent its first
// event over a connection, and remembers it for callers that take the stream up. If the view
// doesn't list the incarnation that the endpoint has told, the version follows once it does.
func (req *request) recordVersion(e *fleet.Endpoint, c *pool.Conn) {
	if !req.route.Resumable {
		return
	}
	o := origin.Origin{Service: e.Service}
	if req.version != nil { // it goes on over a connection to an endpoint of that version
		o.Version = *req.version
		req.recordOrigin(o)
		return
	}
	req.version = &o.Version
	if c.Incarnation() == 0 {
		req.unsure = true
		req.recordOrigin(origin.Origin{})
		return
	}
	o.Presumed = origin.Incarnation{Endpoint: e.ID, StartUnixMs: c.Incarnation()}
	req.beginning = &o
	if !req.settleBeginning() {
		req.recordOrigin(o)
	}
}

// settleBeginning records the version at which the stream began if the view tells it, and
// reports whether it is known.
func (req *request) settleBeginning() bool {
	if req.beginning == nil {
		return !req.unsure
	}
	version, ok := req.listedVersion(req.beginning.Presumed)
	if ok {
		o := origin.Origin{Service: req.beginning.Service, Version: version}
		req.beginning, req.version = nil, &o.Version
		req.recordOrigin(o)
	}
	return ok
}

// confirmBeginning reports whether the version at which the stream began is known, before
// it goes on elsewhere. It waits for a short time until it is.
func (req *request) confirmBeginning(ctx context.Context) bool {
	if req.beginning != nil {
		req.awaitListed(ctx, req.beginning.Presumed)
	}
	return req.settleBeginning()
}

// canGoOn reports whether there is an endpoint at which the stream may go on.
func (req *request) canGoOn() bool {
	for _, e := range req.View().Endpoints(req.service) {
		if e.Version == *req.version && !req.Incarnations.Doubted(e) {
			return true
		}
	}
	return false
}

// excluded returns the IDs of the endpoints to which the request must not be sent: those
// that were tried, and those that have ended if a stream goes on.
func (req *request) excluded() map[string]bool {
	if req.version == nil {
		return req.tried
	}
	out := req.tried
	for _, e := range req.View().Endpoints(req.service) {
		if e.Version != *req.version || out[e.ID] || !req.Incarnations.Doubted(e) {
			continue
		}
		if len(out) == len(req.tried) {
			out = maps.Clone(req.tried)
		}
		out[e.ID] = true
	}
	return out
}

// connect returns a connection to an endpoint. If another endpoint may have to go on with the
// response, the incarnation to which it leads is known, unless the endpoint doesn't tell. If
// a stream goes on, it leads to the listed incarnation.
func (req *request) connect(ctx context.Context, e *fleet.Endpoint) (*pool.Conn, error) {
	if req.route.Kind != fleet.KindStream || !req.route.Resumable {
		return req.Pool.Get(ctx, pool.KindRequest, e.ID, e.Addr, false)
	}
	for {
		c, err := req.Pool.GetAsked(ctx, e.ID, e.Addr, req.deadline)
		if err != nil {
			return nil, err
		}
		other := c.Incarnation() > 0 && !leadsTo(c, e)
		if other && c.Reused {
			_ = c.Close() // it leads to a former incarnation
			continue
		}
		if other {
			req.Incarnations.Ended(e)
		}
		if leadsTo(c, e) || req.version == nil && !req.mustBeListed(ctx, e) {
			return c, nil
		}
		req.Pool.Put(c, 0)
		return nil, errDoubted
	}
}

// mustBeListed reports whether a stream may only begin at the listed incarnation of an endpoint, as
// others might conclude its version from the history of the store; see concludeOrigin.
func (req *request) mustBeListed(ctx context.Context, e *fleet.Endpoint) bool {
	if e.StartUnixMs == 0 {
		return false // nothing is concluded for a service with such an endpoint
	}
	h, err := req.History(ctx)
	if err != nil {
		return !errors.Is(err, ctrl.ErrNoHistory)
	}
	_, sole := h.SoleVersion(req.service)
	return sole
}

// concludeOrigin returns where a stream began that nobody remembers any more, if its service has only
// ever had one version. That holds for a stream that a relay began by a view of any age: its endpoint
// was listed once, and the history of the store is whole.
func (req *request) concludeOrigin(ctx context.Context) (origin.Origin, origin.Result) {
	h, err := req.History(ctx)
	switch {
	case errors.Is(err, ctrl.ErrNoHistory):
		return origin.Origin{}, origin.Unrecorded
	case err != nil:
		return origin.Origin{}, origin.Unanswered
	}
	version, sole := h.SoleVersion(req.service)
	host, path := req.hostAndPath()
	if !sole || !h.LeadsOnlyTo(req.service, host, path) || !h.HasAll(req.View().Endpoints(req.service)) {
		return origin.Origin{}, origin.Unrecorded
	}
	req.Log.Event(logs.OriginConcluded).Str("request", req.headers.ID).Str("stream", req.headers.Resumes).Str("endpoint_version", version).Int("entries", len(h.Endpoints)).Msg("")
	return origin.Origin{Service: req.service, Version: version}, origin.Found
}

// isUnreached reports whether an error of a connection tells that the endpoint can't be
// reached, and records whether it has ended.
func (req *request) isUnreached(e *fleet.Endpoint, err error) bool {
	misdirected := errors.Is(err, pool.ErrMisdirected)
	if misdirected || errors.Is(err, syscall.ECONNREFUSED) {
		req.Incarnations.Ended(e)
	}
	return misdirected || errors.Is(err, pool.ErrUnreachable)
}
