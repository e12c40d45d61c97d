// Package notice holds what endpoints announce about themselves in their
// responses, apart from what the platform's store says of them.
package notice

import "time"

// Leaving tells whether an endpoint is said to leave.
type Leaving string

// Values of Leaving.
const (
	LeavingNo    Leaving = ""      // it has not said so
	LeavingHeard Leaving = "heard" // it has said so to another relay
	LeavingTold  Leaving = "told"  // it has said so in a response to this relay
)

// Hold is the kind of announcement that keeps requests from an endpoint.
type Hold string

// Holds.
const (
	HoldLeaving Hold = "leaving" // it leaves, as it or another relay has said
	HoldClosed  Hold = "closed"  // it wants no requests from this relay for a while
	HoldLimit   Hold = "limit"   // this relay has used up its part of the limit, or has none
)

// Notice is what one incarnation of an endpoint has announced. It is immutable;
// the zero value announces nothing. A restart of the endpoint ends it, and so does
// a restart of this relay, which then learns it again from others or from the next
// response.
type Notice struct {
	rateLimit   float64
	limited     bool
	at          time.Time // of rateLimit and limited
	leaving     Leaving
	closedUntil time.Time
	source      string
}

// WithRateLimit returns a copy that limits the requests per second which all relays
// together may send to the endpoint.
func (n Notice) WithRateLimit(rate float64) Notice {
	n.rateLimit, n.limited = rate, true
	return n
}

// WithTime returns a copy that orders the limit, or that there is none, among others
// of the same endpoint: the later one is in force, and of two with the same time the
// one that allows fewer requests.
func (n Notice) WithTime(at time.Time) Notice {
	n.at = at
	return n
}

// WithLeaving returns a copy that says whether the endpoint leaves. An endpoint that
// has said so once leaves for good.
func (n Notice) WithLeaving(l Leaving) Notice {
	n.leaving = l
	return n
}

// WithClosedUntil returns a copy by which the endpoint wants no requests from this
// relay until a time. It is not for other relays.
func (n Notice) WithClosedUntil(t time.Time) Notice {
	n.closedUntil = t
	return n
}

// WithSource returns a copy that was learned from the relay with the given instance
// ID, or from a response to this relay if it is empty.
func (n Notice) WithSource(instance string) Notice {
	n.source = instance
	return n
}

// RateLimit returns the requests per second that all relays together may send to
// the endpoint. It reports false if the endpoint names no limit.
func (n Notice) RateLimit() (float64, bool) { return n.rateLimit, n.limited }

// Leaving tells whether the endpoint is said to leave.
func (n Notice) Leaving() Leaving { return n.leaving }

// ClosedUntil returns the time until which the endpoint wants no requests from this
// relay. It is zero, or may have passed, if the endpoint is open.
func (n Notice) ClosedUntil() time.Time { return n.closedUntil }

// Source returns the instance ID of the relay from which the notice was learned, or
// "" if it was a response to this relay.
func (n Notice) Source() string { return n.source }

// Time returns the time set by WithTime.
func (n Notice) Time() time.Time { return n.at }

// SameLimit reports whether n and other name the same limit, or none.
func (n Notice) SameLimit(other Notice) bool {
	return n.limited == other.limited && n.rateLimit == other.rateLimit
}

// Says reports whether n and other announce the same to all relays.
func (n Notice) Says(other Notice) bool {
	return n.SameLimit(other) && (n.leaving == LeavingNo) == (other.leaving == LeavingNo)
}

// after returns the notice in force once n is learned while old is in force.
func (n Notice) after(old Notice) Notice {
	if n.at.Before(old.at) || (n.at.Equal(old.at) && !n.stricterThan(old)) {
		n.rateLimit, n.limited, n.at = old.rateLimit, old.limited, old.at
	}
	if n.leaving == LeavingNo || old.leaving == LeavingTold {
		n.leaving = old.leaving
	}
	if n.closedUntil.Before(old.closedUntil) {
		n.closedUntil = old.closedUntil
	}
	return n
}

// stricterThan reports whether n allows fewer requests than other.
func (n Notice) stricterThan(other Notice) bool {
	return n.limited && (!other.limited || n.rateLimit < other.rateLimit)
}

// Response is what a response to this relay says of its endpoint.
type Response struct {
	RateLimit  *float64 // requests per second; nil: none named
	Leaving    bool
	ClosedFor  time.Duration // it wants no requests from this relay for this long after ReceivedAt; 0: not said
	SentAt     time.Time     // of the request
	ReceivedAt time.Time
}

// Notice returns the notice of a response. The endpoint made the response between
// SentAt and ReceivedAt. A limit counts from ReceivedAt and its end from SentAt, so
// that a response which was made before a limit was named doesn't end it.
func (r Response) Notice() Notice {
	n := Notice{}.WithTime(r.SentAt)
	if r.RateLimit != nil {
		n = n.WithRateLimit(*r.RateLimit).WithTime(r.ReceivedAt)
	}
	if r.Leaving {
		n = n.WithLeaving(LeavingTold)
	}
	if r.ClosedFor > 0 {
		n = n.WithClosedUntil(r.ReceivedAt.Add(r.ClosedFor))
	}
	return n
}
