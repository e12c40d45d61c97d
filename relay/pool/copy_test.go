package pool_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"wigeonplank.example/fakes/site"
	"wigeonplank.example/relay/pool"
)

// TestKeptConnections guards against a response that is taken for that to the next request
// on its connection: a second copy of a not-run response, which may lack an ID, would make
// the next request count as not run and be run again elsewhere. It also guards against
// connections that are given up without need.
func TestKeptConnections(t *testing.T) {
	const full, empty = "503 Service Unavailable", "Content-Length: 0\r\n\r\n"
	notRun := site.RefusalHead(full, "")
	sound := site.ResponseHead("r1") + empty
	interim := site.RefusalHead("103 Early Hints", "") + "\r\n"
	for name, tc := range map[string]struct {
		raw      string
		notRun   bool // the response says so
		rejected bool // the response isn't accepted
		kept     bool
	}{
		"response":                     {raw: sound, kept: true},
		"interim response first":       {raw: interim + sound, kept: true},
		"not run":                      {raw: site.NotRunResponse, notRun: true},
		"not run with ID":              {raw: site.RefusalHead(full, "r1") + empty, notRun: true},
		"not run after interim":        {raw: interim + notRun + empty, notRun: true},
		"not run after that of others": {raw: site.RefusalHead(full, "r2") + empty + notRun + empty, notRun: true},
		"misdirected":                  {raw: "HTTP/1.1 421 Misdirected Request\r\n" + empty, notRun: true},
		"inputs missing":               {raw: site.RefusalHead("409 Conflict", "") + empty, notRun: true},
		"not run at another's request": {raw: site.RefusalHead(full, "r2") + empty + sound},
		"response to another first":    {raw: site.ResponseHead("r2") + empty + sound},
		"copy at once":                 {raw: sound + sound},
		"more bytes at once":           {raw: sound + "x"},
		"not accepted":                 {raw: sound, rejected: true},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serveRaw(t, func(conn net.Conn) {
				if _, err := conn.Write([]byte(tc.raw)); err == nil {
					_, _ = conn.Read(make([]byte, 1)) // until the call closes the connection
				}
			})
			p := &pool.Pool{}
			c := &pool.Call{Conn: get(t, p, addr)}
			deadline := time.Now().Add(time.Minute)
			if _, err := c.Send([]byte("GET / HTTP/1.1\r\n\r\n"), nil, deadline); err != nil {
				t.Fatal(err)
			}
			if err := c.Receive("r1", deadline); err != nil {
				t.Fatal(err)
			}
			if _, err := c.ReadAll(); err != nil || c.Response.NotRun != tc.notRun {
				t.Fatalf("not run: %v, error %v", c.Response.NotRun, err)
			}
			if !tc.rejected {
				c.Accept()
			}
			c.Finish(p)
			next := get(t, p, addr)
			defer func() { _ = next.Close() }()
			if next.Reused != tc.kept {
				t.Errorf("the connection is kept: %v, want %v", next.Reused, tc.kept)
			}
		})
	}
}

func get(t *testing.T, p *pool.Pool, addr string) *pool.Conn {
	t.Helper()
	conn, err := p.Get(context.Background(), pool.KindRequest, "e", addr, false)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestCopyBeforeUnnamedResponse guards against a late second copy of a stage call's
// response that is taken for the response to a later call on the connection.
func TestCopyBeforeUnnamedResponse(t *testing.T) {
	for name, bodies := range map[string][]string{
		"last response":    {"a", "a", "b"},
		"earlier response": {"a", "b", "a", "c"},
		"two copies":       {"a", "b", "b", "a", "c"},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := net.Pipe()
			defer func() { _ = client.Close() }()
			go func() {
				for _, body := range bodies {
					// A failed write fails the call.
					_, _ = fmt.Fprintf(server, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				}
			}()
			conn := &pool.Conn{Conn: client, Reader: bufio.NewReader(client)}
			for _, want := range slices.Compact(slices.Sorted(slices.Values(bodies))) {
				c := &pool.Call{Conn: conn}
				if body, err := c.ReceiveUnnamed(true, time.Now().Add(10*time.Second)); err != nil || string(body) != want {
					t.Errorf("got %q, error %v, want %q", body, err, want)
				}
			}
		})
	}
}

// TestRefusalAfterRelease guards against a refusal of a stage call that is skipped, since its
// body is empty like that of the response to a release before.
func TestRefusalAfterRelease(t *testing.T) {
	client, server := net.Pipe()
	defer func() { _ = client.Close() }()
	go func() {
		_, _ = fmt.Fprint(server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"+site.NotRunResponse) // a failed write fails the call
	}()
	conn := &pool.Conn{Conn: client, Reader: bufio.NewReader(client)}
	for _, unique := range []bool{false, true} {
		c := &pool.Call{Conn: conn}
		if _, err := c.ReceiveUnnamed(unique, time.Now().Add(10*time.Second)); err != nil || c.Response.NotRun != unique {
			t.Errorf("not run: %v, error %v", c.Response.NotRun, err)
		}
	}
}

// TestUnnamedResponsesBounded guards against a connection that remembers more and more
// responses.
func TestUnnamedResponsesBounded(t *testing.T) {
	addr := serveRaw(t, func(conn net.Conn) {
		r := bufio.NewReader(conn)
		for i := 1000; ; i++ {
			if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n%d", i); err != nil {
				return
			}
			if _, err := r.ReadString('!'); err != nil {
				return
			}
		}
	})
	p := &pool.Pool{}
	for range 3000 {
		c := &pool.Call{Conn: get(t, p, addr)}
		deadline := time.Now().Add(time.Minute)
		if _, err := c.Send([]byte("GET / !"), nil, deadline); err != nil {
			t.Fatal(err)
		}
		if _, err := c.ReceiveUnnamed(true, deadline); err != nil {
			t.Fatal(err)
		}
		c.Accept()
		c.Finish(p)
	}
	if n := p.Dials(); n != 3 {
		t.Errorf("%d connections for 3000 calls, want 3", n)
	}
}
