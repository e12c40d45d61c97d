package proxy

import (
	"testing"
	"time"

	"wigeonplank.example/core/origin"
	"wigeonplank.example/relay/peers"
)

// TestPresumptionOfFormerRelease guards against a stream that goes on at another version while relays
// are replaced: one of the former release has recorded the incarnation that its view listed, at an
// endpoint that had come back with another version and hasn't registered yet.
func TestPresumptionOfFormerRelease(t *testing.T) {
	const listed, told = 1, 2
	req, _, e, _ := newStream(t, listed, told)
	req.deadline = time.Now().Add(100 * time.Millisecond)
	o := peers.OriginFromWire(&peers.StreamOrigin{
		Stream: "first", Service: "s", Version: "v1", Endpoint: e.ID, Incarnation: listed, AgeUs: time.Millisecond.Microseconds(),
	})
	if o, known := req.resolveOrigin(t.Context(), o); known {
		t.Errorf("origin %+v is known, although the endpoint tells another incarnation", o)
	}
	if own := (origin.Origin{Service: "s", Presumed: origin.Incarnation{Endpoint: e.ID, StartUnixMs: listed}}); peers.OriginFromWire(peers.OriginToWire("a", own)) != own {
		t.Error("a presumption of this release isn't passed on")
	}
}
