package deploy

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
)

// AttemptEnd tells how an attempt of a caller ended.
type AttemptEnd string

// Ends of attempts.
const (
	EndComplete    AttemptEnd = "complete"     // the whole response arrived, whatever its status
	EndNotAccepted AttemptEnd = "not accepted" // no relay accepted the connection
	EndNoResponse  AttemptEnd = "no response"  // a relay accepted the connection, but no complete head of a response arrived
	EndBrokenOff   AttemptEnd = "broken off"   // the response ended within its body
)

// Attempt is one sending of a request by its caller.
type Attempt struct {
	Addr    string // of the relay, IP:port; empty: none accepted the connection
	SentAt  time.Time
	EndedAt time.Time
	End     AttemptEnd
	Err     error // nil if the attempt is complete
}

// newAttempt returns an attempt that ends now. headArrived tells whether the head of the
// response did.
func newAttempt(resp *fasthttp.Response, sentAt time.Time, headArrived bool, err error) Attempt {
	a := Attempt{SentAt: sentAt, EndedAt: time.Now(), Err: err}
	if addr := resp.RemoteAddr(); addr != nil {
		a.Addr = addr.String()
	}
	switch {
	case err == nil:
		a.End = EndComplete
	case headArrived:
		a.End = EndBrokenOff
	case a.Addr == "":
		a.End = EndNotAccepted
	default:
		a.End = EndNoResponse
	}
	return a
}

// String describes the attempt without its times of day.
func (a Attempt) String() string {
	s := fmt.Sprintf("%s after %s", a.End, a.EndedAt.Sub(a.SentAt).Round(time.Millisecond))
	if a.Addr != "" {
		s += " at " + a.Addr
	}
	if a.Err != nil {
		s += ": " + a.Err.Error()
	}
	return s
}

// PlannedStop is a stop of a relay by SIGTERM.
type PlannedStop struct {
	Relay    *Relay
	SignalAt time.Time
	EndAt    time.Time // when the process had ended
}

// Meets reports whether the relay had the attempt, or a part of it, during the stop.
func (s PlannedStop) Meets(a Attempt) bool {
	return a.Addr == s.Relay.Settings.HTTP.Listen && a.EndedAt.After(s.SignalAt) && a.SentAt.Before(s.EndAt)
}

// Cuts reports whether the relay left the attempt without a complete response during the
// stop.
func (s PlannedStop) Cuts(a Attempt) bool { return a.End != EndComplete && s.Meets(a) }
