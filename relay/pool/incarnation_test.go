package pool_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"wigeonplank.example/fakes/site"
	"wigeonplank.example/relay/pool"
)

// serveAsked answers the requests on each connection with the texts of answers, in turn, and
// keeps the connection open.
func serveAsked(t *testing.T, answers ...string) string {
	t.Helper()
	return serveRaw(t, func(conn net.Conn) {
		for _, a := range answers {
			_, _ = io.WriteString(conn, a) // fails only if the test has ended
			if _, err := conn.Read(make([]byte, 4096)); err != nil {
				return
			}
		}
	})
}

func report(head, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// TestAskedIncarnation guards against an endpoint that counts as another incarnation than it
// tells, and one that gets no streams as it tells none or ends the connection then.
func TestAskedIncarnation(t *testing.T) {
	late := site.ResponseHead("earlier") + "Content-Length: 10\r\n\r\n{\"born\":5}"
	for name, test := range map[string]struct {
		answer string
		want   int64
		dials  int64
	}{
		"answered":              {report("200 OK", `{"seq":2,"born":1700000000123}`), 1700000000123, 1},
		"after a late response": {late + report("200 OK", `{"born":6}`), 6, 1},
		"not found":             {report("404 Not Found", `{"born":5}`), 0, 1},
		"bad request, closing":  {report("400 Bad Request\r\nConnection: close", ""), 0, 2},
		"no start":              {report("200 OK", `{"seq":2}`), 0, 1},
		"a start before 1970":   {report("200 OK", `{"born":-1}`), 0, 1},
		"a fraction":            {report("200 OK", `{"born":1.5}`), 0, 1},
		"a text":                {report("200 OK", `{"born":"5"}`), 0, 1},
		"no object":             {report("200 OK", `not found`), 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			p := &pool.Pool{}
			addr := serveAsked(t, test.answer)
			c, err := p.GetAsked(context.Background(), "e", addr, time.Now().Add(5*time.Second))
			if err != nil || c.Incarnation() != test.want || p.Dials() != test.dials {
				t.Fatalf("incarnation %d, %d dials, error %v", c.Incarnation(), p.Dials(), err)
			}
			p.Put(c, 0)
			if again, err := p.GetAsked(context.Background(), "e", addr, time.Now().Add(5*time.Second)); err != nil || again != c {
				t.Errorf("asked again: %v", err)
			}
		})
	}
}

// TestUnansweredIncarnation guards against a connection that is used, or waited on for long,
// although the endpoint doesn't answer properly.
func TestUnansweredIncarnation(t *testing.T) {
	for name, test := range map[string]struct {
		respond func(conn net.Conn)
		want    error
	}{
		"silent":          {func(net.Conn) { time.Sleep(5 * time.Second) }, nil},
		"ends":            {func(net.Conn) {}, io.EOF},
		"garbage":         {func(c net.Conn) { _, _ = io.WriteString(c, "\x00\x01\r\n\r\n") }, nil},
		"endless head":    {func(c net.Conn) { repeatWrites(c, "a: b\r\n") }, nil},
		"endless body":    {func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"); repeatWrites(c, " ") }, nil},
		"endless interim": {func(c net.Conn) { repeatWrites(c, "HTTP/1.1 102 Processing\r\n\r\n") }, pool.ErrResponse},
		"bytes after it": {func(c net.Conn) {
			_, _ = io.WriteString(c, report("200 OK", `{"born":5}`)+"x")
			time.Sleep(time.Second)
		}, pool.ErrResponse},
		"another endpoint": {func(c net.Conn) {
			_, _ = io.WriteString(c, report("421 Misdirected Request", ""))
			time.Sleep(time.Second)
		}, pool.ErrMisdirected},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			begun := time.Now()
			c, err := (&pool.Pool{}).GetAsked(context.Background(), "e", serveRaw(t, test.respond), begun.Add(time.Minute))
			if err == nil || test.want != nil && !errors.Is(err, test.want) || time.Since(begun) > 3*time.Second {
				t.Errorf("connection %v after %v, error %v", c, time.Since(begun), err)
			}
		})
	}
}

// TestAskedOnClosedConnection guards against a stream that isn't sent as the endpoint has closed
// a kept connection.
func TestAskedOnClosedConnection(t *testing.T) {
	p := &pool.Pool{}
	first := make(chan bool, 1)
	first <- true
	addr := serveRaw(t, func(c net.Conn) {
		select {
		case <-first: // reads the request and ends
		default:
			_, _ = io.WriteString(c, report("200 OK", `{"born":5}`))
			_, _ = c.Read(make([]byte, 10))
		}
	})
	c, err := p.Get(context.Background(), pool.KindRequest, "e", addr, true)
	if err != nil {
		t.Fatal(err)
	}
	p.Put(c, 0)
	if c, err := p.GetAsked(context.Background(), "e", addr, time.Now().Add(5*time.Second)); err != nil || c.Incarnation() != 5 || p.Dials() != 2 {
		t.Errorf("%d dials, error %v", p.Dials(), err)
	}
}

// TestReportCopy guards against a stream that fails as a second copy of the report comes before
// its response, and against other responses that name no request and are skipped.
func TestReportCopy(t *testing.T) {
	r, head := report("200 OK", `{"born":5}`), site.ResponseHead("r1")+"\r\n"
	for name, test := range map[string]struct {
		answer string
		ok     bool
	}{
		"copy":          {r + head, true},
		"another":       {report("200 OK", `{"born":6}`) + head, false},
		"a refusal":     {report("404 Not Found", `{"born":5}`) + head, false},
		"without copy":  {head, true},
		"several times": {r + r + r + r + head, false},
	} {
		t.Run(name, func(t *testing.T) {
			deadline := time.Now().Add(2 * time.Second)
			c, err := (&pool.Pool{}).GetAsked(context.Background(), "e", serveAsked(t, r, test.answer), deadline)
			if err != nil {
				t.Fatal(err)
			}
			call := &pool.Call{Conn: c}
			if _, err := call.Send([]byte("GET / HTTP/1.1\r\n\r\n"), nil, deadline); err != nil {
				t.Fatal(err)
			}
			if err := call.Receive("r1", deadline); (err == nil) != test.ok {
				t.Errorf("error %v, want a response: %v", err, test.ok)
			}
		})
	}
}
