package fetch_test

import (
	"testing"

	"wigeonplank.example/base/fetch"
	"wigeonplank.example/base/http1/forms"
)

// TestForms guards against bytes of a service in trouble that count as a configuration.
func TestForms(t *testing.T) {
	err := forms.Each(func(f forms.Form, addr string) {
		p := fetch.Platform{ConfigAddr: addr}
		got, err := p.ReadConfig()
		if err == nil && (!f.Whole || string(got) != "{}") {
			t.Errorf("%s: got %q", f.Name, got)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}
