package front

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/feed"
	"wigeonplank.example/core/stage"
	"wigeonplank.example/entry/exec"
)

const unknownOutcome = `"outcome":"unknown"`

// TestPanicEndsOneRequest guards against a panic in a handler that ends the process, and with it all other
// requests. The server has no Control, which the handler uses.
func TestPanicEndsOneRequest(t *testing.T) {
	s, addr := startServer(t)
	for range 2 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		request := "POST /v1/pipelines/p HTTP/1.1\r\nHost: h\r\nContent-Length: 24\r\n\r\n" + `{"team":"t","input":"i"}`
		if _, err := io.WriteString(c, request); err != nil {
			t.Fatal(err)
		}
		var resp fasthttp.Response
		if err := resp.Read(bufio.NewReader(c)); err != nil {
			t.Fatalf("read response: %v", err)
		}
		if resp.StatusCode() != fasthttp.StatusGatewayTimeout || !bytes.Contains(resp.Body(), []byte(unknownOutcome)) || !resp.ConnectionClose() {
			t.Fatalf("got %s%s", resp.Header.String(), resp.Body())
		}
	}
	if n := s.Active(); n != 0 {
		t.Fatalf("%d requests are counted as in flight", n)
	}
}

// TestPanicEndsOneStream guards against a panic in the execution of a streamed request, or while its events
// are written, that ends the process. The executor has no Control.
func TestPanicEndsOneStream(t *testing.T) {
	s, _ := startServer(t)
	s.NoFairShare = true
	var ctx fasthttp.RequestCtx
	s.handleStream(&ctx, &call{stream: true})
	if got := ctx.Response.StatusCode(); got != fasthttp.StatusGatewayTimeout || !bytes.Contains(ctx.Response.Body(), []byte(unknownOutcome)) {
		t.Fatalf("execution: status %d: %s", got, ctx.Response.Body())
	}

	f := &feed.Feed[exec.Result]{}
	f.End(exec.Result{End: stage.End{Outcome: stage.OutcomePartial}})
	var out bytes.Buffer
	callerGone := make(chan struct{})
	s.writeEvents(bufio.NewWriter(&out), nil, f, callerGone)
	if got := out.String(); !strings.HasPrefix(got, "event: error\n") || !strings.Contains(got, unknownOutcome) {
		t.Fatalf("last event: %s", got)
	}
	select {
	case <-callerGone:
	default:
		t.Fatal("the execution was not cancelled")
	}
}
