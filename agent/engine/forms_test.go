package engine

import (
	"testing"
	"time"

	"wigeonplank.example/base/http1/forms"
	"wigeonplank.example/core/conf"
)

// TestForms guards against bytes of an endpoint in trouble that count as its answer or its load.
func TestForms(t *testing.T) {
	call := Call{RequestID: "r", Stage: &conf.Stage{Kind: conf.KindService, Path: "/"}, Timeout: time.Second, Body: []byte(`{"input":"a"}`)}
	err := forms.Each(func(f forms.Form, addr string) {
		c := NewClient(addr)
		answer := ""
		out := c.Do(call, func(p []byte) { answer += string(p) })
		if (out.Failure == "") != f.Whole || (f.Whole && answer != "{}") {
			t.Errorf("%s: call: got %q, %+v", f.Name, answer, out)
		}
		if _, err := c.ReadLoad(); (err == nil) != f.Whole {
			t.Errorf("%s: load: %v", f.Name, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}
