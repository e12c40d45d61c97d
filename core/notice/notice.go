// Package notice holds what endpoints announce about themselves in their
// responses, apart from what the platform's store says of them.
package notice

import "time"

// Notice is what one incarnation of an endpoint has announced. It is immutable;
// the zero value announces nothing. A restart of the endpoint ends it, and so does
// a restart of this relay, which then learns it again from others or from the next
// response.
type Notice struct {
	rateLimit float64
	limited   bool
	at        time.Time
	source    string
}

// WithRateLimit returns a copy that limits the requests per second which all relays
// together may send to the endpoint.
func (n Notice) WithRateLimit(rate float64) Notice {
	n.rateLimit, n.limited = rate, true
	return n
}

// WithSource returns a copy that was learned from the relay with the given instance
// ID, or from a response to this relay if it is empty.
func (n Notice) WithSource(instance string) Notice {
	n.source = instance
	return n
}

// WithTime returns a copy that orders the notice among others of the same
// endpoint: the later one is in force, and of two with the same time the one
// that allows fewer requests.
func (n Notice) WithTime(at time.Time) Notice {
	n.at = at
	return n
}

// RateLimit returns the requests per second that all relays together may send to
// the endpoint. It reports false if the endpoint names no limit.
func (n Notice) RateLimit() (float64, bool) { return n.rateLimit, n.limited }

// Source returns the instance ID of the relay from which the notice was learned, or
// "" if it was a response to this relay.
func (n Notice) Source() string { return n.source }

// Time returns the time set by WithTime.
func (n Notice) Time() time.Time { return n.at }

// Says reports whether n and other announce the same.
func (n Notice) Says(other Notice) bool {
	return n.limited == other.limited && n.rateLimit == other.rateLimit
}

// stricterThan reports whether n allows fewer requests than other.
func (n Notice) stricterThan(other Notice) bool {
	return n.limited && (!other.limited || n.rateLimit < other.rateLimit)
}

// FromResponse returns the notice of a response that names rateLimit, or no limit
// if it is nil. The request was sent at sentAt and the response received at
// receivedAt. The endpoint made the response between the two. A limit counts from
// receivedAt and its end from sentAt, so that a response which was made before a
// limit was named doesn't end it.
func FromResponse(rateLimit *float64, sentAt, receivedAt time.Time) Notice {
	if rateLimit == nil {
		return Notice{}.WithTime(sentAt)
	}
	return Notice{}.WithRateLimit(*rateLimit).WithTime(receivedAt)
}
