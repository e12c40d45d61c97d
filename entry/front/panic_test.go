package front

import (
	"testing"

	"github.com/valyala/fasthttp"
)

// TestPanicEndsOneRequest guards against a request whose handling panics and that ends the
// process with the requests of all other callers, as fasthttp's server recovers nothing.
func TestPanicEndsOneRequest(t *testing.T) {
	var s Server
	defer func() {
		if v := recover(); v != nil {
			t.Errorf("the handler's panic %q reaches the server", v)
		}
	}()
	s.countInFlight(func(*fasthttp.RequestCtx) { panic("handler") })(&fasthttp.RequestCtx{})
}
