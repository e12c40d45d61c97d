package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/relay/front"
	"wigeonplank.example/relay/logs"
)

// TestStopCountsReading guards against a request that a stopping relay takes although it outlasts
// the stop, as the time that its caller took to send it counts as time that it has run.
func TestStopCountsReading(t *testing.T) {
	route := &fleet.Route{Name: "r", Prefix: "/", Targets: []fleet.Target{{Service: "s", Weight: 1}}}
	cfg, err := fleet.NewConfig(1, 1, fleet.Limits{}, fleet.Parts{Routes: []*fleet.Route{route}, Services: []*fleet.Service{{Name: "s"}}})
	if err != nil {
		t.Fatal(err)
	}
	log := logs.New(io.Discard, clock.System{}, "a")
	f := &Forwarder{Clock: clock.System{}, Log: log}
	srv := &front.Server{Limits: func() fleet.Limits { return fleet.Limits{} }, Log: log}
	srv.Handle = func(x *front.Exchange) {
		now := time.Now()
		x.StartedAt, x.ReceivedAt = now.Add(-time.Hour), now
		req := &request{Forwarder: f, exchange: x, startedAt: x.StartedAt, route: route, config: cfg, deadline: now.Add(3 * time.Hour)}
		for range 20 {
			req.routeState().RecordDuration(now, time.Hour)
		}
		if !req.rejectOutlasting() {
			x.Reject(fasthttp.StatusOK, 0)
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve(ln) }() // returns when the server stops
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	accept, endAccept := context.WithCancel(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		srv.Stop(ctx, accept)
	}()
	for !srv.Stopping() {
		time.Sleep(time.Millisecond)
	}
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	var resp fasthttp.Response
	if err := resp.Read(bufio.NewReader(c)); err != nil || resp.StatusCode() != fasthttp.StatusServiceUnavailable {
		t.Errorf("status %d, error %v, want 503", resp.StatusCode(), err)
	}
	_ = c.Close()
	endAccept()
	<-stopped
}
