// Package fleet defines a relay's view of its deployment: the current
// configuration, the endpoints, and the drained availability zones. All values
// are immutable once published.
package fleet

import "time"

// Kind specifies whether a request may run more than once.
type Kind string

// Request kinds.
const (
	KindIdempotent Kind = "idempotent" // may run any number of times
	KindAtMostOnce Kind = "once"       // runs at most once for each attempt of a caller
	KindStream     Kind = "stream"     // the response is a stream of events; runs once unless the route is resumable
)

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name             string
	Host             string
	Prefix           string
	Kind             Kind
	Targets          []Target
	Timeout          time.Duration // maximum time to the final response; 0: not set
	LatencyObjective time.Duration // target for the time to the response, or to the first event of a stream
	MaxEventGap      time.Duration // maximum time between two events of a stream; 0: not set
	MaxAttempts      int           // maximum number of endpoints that one attempt of a caller is sent to
	Priority         int           // 0 is the most urgent
	Public           bool          // requests need no key
	Sticky           bool          // requests name the parts of their prompt, and those with a common prefix prefer the same endpoint
	Resumable        bool          // a stream may continue at another endpoint
	Stages           []Stage       // run before the request is sent to a target
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStream && r.Resumable)
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  float64 // relative to the other targets of the route
}

// Stage is a preprocessing step of a request. It runs before the request is
// sent to a target.
type Stage struct {
	Service     string
	DependsOn   []int // indexes of the stages whose results are its inputs
	ResultBytes int64 // approximate size of one result
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name       string
	MaxConns   int           // maximum connections of one endpoint, over all callers
	ColdPeriod time.Duration // how long an endpoint stays cold after its start; 0: never cold
	ColdRate   float64       // requests per second that a cold endpoint sustains; 0: no limit
	Batch      *Batch        // set for services that run stages
	Engine     *Engine       // set for model engines
}

// Batch describes the capacity and speed of one endpoint of a stage service.
type Batch struct {
	Slots        int           // maximum concurrent calls
	MaxQueued    int           // maximum queued calls
	MaxItems     int           // maximum items per call
	CallOverhead time.Duration // processing time of a call apart from its items
	ItemTime     time.Duration // approximate processing time of one item
	MemoryBytes  int64         // memory for retained results; 0: no limit
	Retention    time.Duration // results are dropped after this time
}

// Engine describes the capacity of one model engine.
type Engine struct {
	Slots       int // maximum concurrent requests
	CacheTokens int // capacity of the KV cache, in tokens
}

// Team is a customer.
type Team struct {
	Name     string
	Priority *int // overrides the priority of a route; nil: not set
}

// Limits bounds the requests of callers. The relay uses its defaults for zero
// fields.
type Limits struct {
	HeaderBytes   int           // maximum size of the header
	BodyBytes     int           // maximum size of the body
	HeaderTimeout time.Duration // maximum time to read the header
	IdleTimeout   time.Duration // an idle connection is closed after this time
}

// State is the state that an endpoint reports of itself.
type State string

// Endpoint states.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Endpoint is a back end as registered in the platform's store.
type Endpoint struct {
	ID          string
	Service     string
	Addr        string // IP:port
	Zone        string
	Version     string // of its software; endpoints of several versions may serve side by side
	Slots       int
	State       State
	ColdUntil   time.Time // end of the cold period; zero: not cold
	StartUnixMs int64     // start of this incarnation, in milliseconds since 1970
	Seq         int64     // counts what this incarnation wrote to the store
	Revision    int64     // store revision of the item that registers the endpoint
}

// NewerThan reports whether the endpoint wrote e later than other, which has the same
// ID. An incarnation that drains is not ready again.
func (e *Endpoint) NewerThan(other *Endpoint) bool {
	switch {
	case e.StartUnixMs != other.StartUnixMs:
		return e.StartUnixMs > other.StartUnixMs
	case e.Seq != other.Seq:
		return e.Seq > other.Seq
	}
	return e.State == StateDraining && other.State == StateReady
}

// ColdAt reports whether the endpoint is cold at now.
func (e *Endpoint) ColdAt(now time.Time) bool { return now.Before(e.ColdUntil) }
