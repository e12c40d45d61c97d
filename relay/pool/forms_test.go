package pool_test

import (
	"context"
	"testing"
	"time"

	"wigeonplank.example/base/http1/forms"
	"wigeonplank.example/relay/pool"
)

// TestForms guards against bytes of an endpoint in trouble that callers get as its answer, such as a
// status of 000 or a field whose name holds a blank, and against sound answers that are refused.
func TestForms(t *testing.T) {
	err := forms.Each(func(f forms.Form, addr string) {
		var p pool.Pool
		conn, err := p.Get(context.Background(), pool.KindStage, "e", addr, true)
		if err != nil {
			t.Fatal(err)
		}
		c := &pool.Call{Conn: conn}
		deadline := time.Now().Add(time.Minute)
		if _, err := c.Send([]byte("GET / HTTP/1.1\r\n\r\n"), nil, deadline); err != nil {
			t.Fatal(err)
		}
		body, err := c.ReceiveUnnamed(true, deadline)
		if (err == nil) != f.Whole || (f.Whole && string(body) != "{}") {
			t.Errorf("%s: got %q, %v", f.Name, body, err)
		}
		c.Finish(&p)
	})
	if err != nil {
		t.Fatal(err)
	}
}
