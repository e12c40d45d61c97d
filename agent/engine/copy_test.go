package engine

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/conf"
)

// serveCopies accepts connections on loopback and answers requests. Each response is sent
// again where the next one on its connection is expected.
func serveCopies(t *testing.T, respond func(path, body string) (status int, text string)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	serve := func(conn net.Conn) error {
		r := bufio.NewReader(conn)
		for late := ""; ; {
			var req fasthttp.Request
			if err := req.Read(r); err != nil {
				return err
			}
			if _, err := io.WriteString(conn, late); err != nil {
				return err
			}
			status, text := respond(string(req.URI().Path()), string(req.Body()))
			late = fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
			if _, err := io.WriteString(conn, late); err != nil || req.ConnectionClose() {
				return err
			}
		}
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				if err := serve(conn); err != nil && !errors.Is(err, io.EOF) {
					t.Logf("connection ended: %v", err)
				}
				_ = conn.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

// TestLateCopies guards against a response that is taken for that to the next request,
// since the endpoint has sent it twice: a refusal would report a job as not started that
// runs, a result would be another job's, and an engine's load would say which model it has.
func TestLateCopies(t *testing.T) {
	refusals := 1
	addr := serveCopies(t, func(path, body string) (int, string) {
		switch {
		case path == "/load":
			return fasthttp.StatusOK, `{"running":3,"waiting":4}`
		case path == "/orders":
			return fasthttp.StatusOK, `{"model":"m@1","fence":7}`
		case strings.Contains(body, "refused") && refusals > 0:
			refusals--
			return fasthttp.StatusTooManyRequests, ""
		case path == "/v1/completions":
			return fasthttp.StatusOK, event("0", body[strings.Index(body, "job-"):][:len("job-0")]) + doneLine
		}
		return fasthttp.StatusOK, body
	})
	c := NewClient(addr)
	do := func(kind conf.StageKind, input string) (string, Outcome) {
		var b strings.Builder
		out := c.Do(Call{
			RequestID: input, Stage: &conf.Stage{Kind: kind, Model: &conf.Model{}}, Timeout: time.Second, Body: []byte(`{"input":"` + input + `"}`),
		}, func(p []byte) { b.Write(p) })
		return b.String(), out
	}
	if _, out := do(conf.KindEncoding, "refused"); !out.NotStarted {
		t.Errorf("a refused job ended with %+v", out)
	}
	for _, kind := range []conf.StageKind{conf.KindEncoding, conf.KindGeneration} {
		for i := range 3 {
			input := fmt.Sprintf("job-%d", i)
			if got, out := do(kind, input); !strings.Contains(got, input) || out.Failure != "" {
				t.Errorf("%s %s: got %q, %+v", kind, input, got, out)
			}
		}
	}
	for range 2 {
		if l, err := c.ReadLoad(); err != nil || l.Running != 3 || l.Waiting != 4 {
			t.Errorf("load %+v, error %v", l, err)
		}
		if s, err := c.ReadEngine(); err != nil || s.Fence != 7 {
			t.Errorf("engine %+v, error %v", s, err)
		}
	}
}
