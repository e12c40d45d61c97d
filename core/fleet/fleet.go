// Package fleet holds what a relay knows of its deployment: the configuration
// in force, the endpoints, and the availability zones that are drained. All
// values are immutable once published.
package fleet

import "time"

// Kind says what may be repeated of a request.
type Kind string

// Kinds of requests.
const (
	KindIdempotent Kind = "idempotent"
	KindOnce       Kind = "once"   // runs at most once for each attempt of a caller
	KindStream     Kind = "stream" // a growing answer; runs once unless it is resumable
)

// Route says which service answers the requests of a host and path prefix.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        Kind
	Targets     []Target
	Timeout     time.Duration // longest time to a final answer
	Objective   time.Duration // time to the answer, or to the first event of a stream
	MaxPause    time.Duration // longest pause between two events
	MaxAttempts int           // endpoints that one attempt of a caller may be sent to
	Priority    int           // 0 is the most urgent
	Public      bool          // needs no key
	Sticky      bool          // requests name the parts of their prompt
	Resumable   bool          // a stream may go on at another endpoint
	Stages      []Stage
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Stage is work that is done before a request runs.
type Stage struct {
	Service     string
	After       []int // stages whose results it needs
	ResultBytes int64 // approximate size of one result
}

// Service is a set of endpoints that do the same.
type Service struct {
	Name     string
	MaxConns int           // connections that one endpoint takes from all callers
	Cold     time.Duration // how long a started endpoint stays cold; 0: never
	ColdRate float64       // requests a second that a cold endpoint bears
	Batch    *Batch        // set for services of stages
	Engine   *Engine       // set for model engines
}

// Batch describes how an endpoint of a stage works.
type Batch struct {
	Slots       int           // calls at work at the same time
	Queue       int           // calls that may wait
	Size        int           // items that one call may carry
	Call        time.Duration // work of a call beside its items
	Item        time.Duration // approximate work of an item
	MemoryBytes int64         // room for results
	Keep        time.Duration // results are dropped after this
}

// Engine describes a model engine.
type Engine struct {
	Slots       int
	CacheTokens int
}

// Team is a customer.
type Team struct {
	Name     string
	Priority *int // goes before the priority of a route; nil: not set
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// State is what an endpoint says of itself.
type State string

// States of an endpoint.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Endpoint is one back end as it registered itself.
type Endpoint struct {
	ID       string
	Service  string
	Addr     string // IP:port
	Zone     string
	Slots    int
	State    State
	ColdEnds time.Time // zero: not cold
	Born     int64     // start of this incarnation, ms since 1970
	Revision int64     // of the item that says so
}

// ColdAt reports whether the endpoint is cold at now.
func (e *Endpoint) ColdAt(now time.Time) bool { return now.Before(e.ColdEnds) }
