package proxy

import (
	"context"
	"testing"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/front"
	"wigeonplank.example/relay/life"
	"wigeonplank.example/relay/pool"

	"github.com/valyala/fasthttp"
)

// tableOrigins remembers the origins of streams as a relay does.
type tableOrigins struct{ table origin.Table }

func (o *tableOrigins) RecordOrigin(stream string, at origin.Origin) {
	o.table.Put(time.Now(), stream, at)
}

func (o *tableOrigins) FindOrigin(_ context.Context, stream string, _ time.Duration) origin.Finding {
	if at, ok := o.table.Get(time.Now(), stream); ok {
		return origin.Finding{Result: origin.Own, Origin: at}
	}
	return origin.Finding{Result: origin.Unrecorded}
}

// TestStreamOfMovedRoute guards against a stream that holds events of two software versions of
// a service: its route has moved to that service, the stream went on there, and is taken up
// once more.
func TestStreamOfMovedRoute(t *testing.T) {
	origins := &tableOrigins{}
	origins.RecordOrigin("first", origin.Origin{Service: "former", Version: "v1"})
	e := &fleet.Endpoint{ID: "e", Service: "s", Version: "v1", Addr: startEndpoint(t, 1), Slots: 1, State: fleet.StateReady, StartUnixMs: 1}
	takeUp := func(id string) *request {
		req := newPanicking(t, &fleet.Service{Name: "s"}, e)
		req.route = &fleet.Route{Kind: fleet.KindStream, Resumable: true, Targets: []fleet.Target{{Service: "s"}}}
		req.Pool = &pool.Pool{}
		req.Origins, req.Refresh = origins, func(context.Context, time.Duration) bool { return true }
		req.Incarnations = &life.Ledger{}
		req.headers = plat.Request{ID: id, Resumes: "first", LastEventID: 3}
		return req
	}
	bind := func(req *request) (bound bool) {
		exchangeWith(t, req, func(x *front.Exchange) {
			req.exchange = x
			if bound = req.bindToOrigin(x.Context); bound {
				x.Reject(fasthttp.StatusOK, 0)
			}
		})
		return bound
	}
	second := takeUp("second")
	if !bind(second) || second.version != nil {
		t.Fatalf("the stream of a service that the route no longer has is bound to %v", second.version)
	}
	c, err := second.connect(t.Context(), e)
	if err != nil {
		t.Fatal(err)
	}
	second.recordVersion(e, c) // it goes on at version v1 of the service s
	third := takeUp("third")
	if bind(third) && third.version == nil {
		t.Error("the stream may go on at any version of the service at which it went on before")
	}
}
