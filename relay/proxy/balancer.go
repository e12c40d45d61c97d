package proxy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/notice"
	"wigeonplank.example/core/origin"
	"wigeonplank.example/core/pick"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/sets"
)

// maxReopenDelay bounds the random time that is added to that for which an endpoint
// wants no requests, so that relays don't come back to it all at once.
const maxReopenDelay = time.Second

// Balancer lets concurrent requests share one pick.Picker, and thus one estimate
// of each endpoint's load and health. Set the exported fields before use. It is
// safe for concurrent use.
type Balancer struct {
	Clock  clock.Clock
	Picker pick.Picker
	// Policy returns the active policy. If it is nil, the defaults apply.
	Policy func() sets.Policy

	mu       sync.Mutex // guards Picker and the fields below
	versions origin.Versions
}

// Pick chooses an endpoint of svc from list for a request with the given
// criteria. The endpoint of the choice is nil if none can take the request.
func (b *Balancer) Pick(svc *fleet.Service, list []*fleet.Endpoint, criteria pick.Criteria) pick.Choice {
	criteria.ByTime = b.choosesByTime(svc)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Picker.Pick(b.Clock.Now(), svc, list, criteria)
}

// Acquire chooses an endpoint as Pick does and records that the request is about to
// be sent there. If there is an endpoint, the call must be followed by one of End.
func (b *Balancer) Acquire(svc *fleet.Service, list []*fleet.Endpoint, criteria pick.Criteria) pick.Choice {
	criteria.ByTime = b.choosesByTime(svc)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	c := b.Picker.Pick(now, svc, list, criteria)
	if c.Endpoint != nil {
		b.Picker.Begin(now, svc, c.Endpoint, false) // Pick returns only endpoints that admit the request
	}
	return c
}

// Admits reports whether what an endpoint has announced allows this relay a request
// now. sole tells that no other relay sends requests to the endpoint.
func (b *Balancer) Admits(e *fleet.Endpoint, sole bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Picker.Admits(b.Clock.Now(), e, sole)
}

// Held tells how many endpoints get no request now because of what they have
// announced, such as "closed=1 limit=2". It returns "" if there are none.
func (b *Balancer) Held(list []*fleet.Endpoint) string {
	b.mu.Lock()
	held := b.Picker.Held(b.Clock.Now(), list)
	b.mu.Unlock()
	parts := make([]string, 0, len(held))
	for h, n := range held {
		parts = append(parts, fmt.Sprintf("%s=%d", h, n))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}

// OpensAt returns the time from which what an endpoint has announced allows this relay
// a request, and false if there is none. sole tells that no other relay sends requests
// to the endpoint.
func (b *Balancer) OpensAt(e *fleet.Endpoint, sole bool) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Picker.OpensAt(e, sole)
}

// IsLeaving reports whether an endpoint has told this relay that it leaves.
func (b *Balancer) IsLeaving(e *fleet.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Picker.Leaving(e) == notice.LeavingTold
}

// RateLimit returns the requests per second that all relays together may send to an
// endpoint, which is positive, and false if it names no limit.
func (b *Balancer) RateLimit(e *fleet.Endpoint) (float64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Picker.RateLimit(e)
}

// Warm returns the endpoints that criteria allow and that are neither cold nor
// suspect. It reports false if they are so few that cold ones are used as well.
func (b *Balancer) Warm(svc *fleet.Service, list []*fleet.Endpoint, criteria pick.Criteria) ([]*fleet.Endpoint, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Picker.Warm(b.Clock.Now(), svc, list, criteria)
}

// Load returns the estimated share of an endpoint's slots that are in use.
func (b *Balancer) Load(e *fleet.Endpoint) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Picker.Load(e, b.Clock.Now())
}

// IsSuspect reports whether an endpoint is suspect now, so that requests should
// go to other endpoints.
func (b *Balancer) IsSuspect(e *fleet.Endpoint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Picker.IsSuspect(e, b.Clock.Now())
}

// Begin records that a request is about to be sent to an endpoint, unless what
// the endpoint has announced doesn't allow it, in which case it returns false. Each call that
// returns true must be followed by one of End. sole tells that no other relay sends
// requests to the endpoint.
func (b *Balancer) Begin(svc *fleet.Service, e *fleet.Endpoint, sole bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Picker.Begin(b.Clock.Now(), svc, e, sole)
}

// End records the result of a request that Begin recorded.
func (b *Balancer) End(e *fleet.Endpoint, r pick.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Picker.End(b.Clock.Now(), e, r)
}

// MarkUnreachable records that an endpoint can't be reached at its address. It
// becomes suspect at once.
func (b *Balancer) MarkUnreachable(e *fleet.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Picker.MarkUnreachable(b.Clock.Now(), e)
}

// RecordResponse records what an endpoint says of itself in the header of a
// response: its load, and what it announces. sentAt is when the request was sent.
func (b *Balancer) RecordResponse(e *fleet.Endpoint, resp plat.Response, sentAt time.Time) {
	if resp.Misdirected {
		return // another endpoint has responded
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	if resp.Load != nil {
		b.Picker.RecordLoad(now, e, pick.Load(*resp.Load))
	}
	r := notice.Response{RateLimit: resp.RateLimit, Leaving: resp.Leaving, ClosedFor: resp.ClosedFor, SentAt: sentAt, ReceivedAt: now}
	if r.ClosedFor > 0 {
		r.ClosedFor += rand.N(min(maxReopenDelay, r.ClosedFor/2) + 1)
	}
	b.Picker.RecordNotice(notice.Entry{Endpoint: e.ID, Incarnation: e.StartUnixMs, Notice: r.Notice()})
}

// IsTimed reports whether the endpoints of a service are chosen by expected completion
// time.
func (b *Balancer) IsTimed(service string) bool {
	switch b.schedule() {
	case sets.ScheduleLoad:
		return false
	case sets.ScheduleTime:
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Picker.IsTimed(service)
}

// choosesByTime reports whether the endpoints of a service are chosen by expected
// completion time here. Those of engines depend on prompts; see assign.Assigner.
func (b *Balancer) choosesByTime(svc *fleet.Service) bool {
	return svc.Engine == nil && svc.Batch == nil && b.IsTimed(svc.Name)
}

// RecordAnswer learns from the time that a request took at an endpoint that was chosen by
// expected completion time, from being sent to the end of its answer. A cold endpoint's
// times say little about its speed.
func (b *Balancer) RecordAnswer(c pick.Choice, resp plat.Response, took time.Duration) {
	if c.Predicted == 0 || c.Reason == pick.ReasonCold {
		return
	}
	pace := 0.0
	if resp.Load != nil {
		pace = resp.Load.Pace
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Picker.RecordTime(c.Endpoint, took, c.Ahead, pace)
}

// EndpointStatus describes an endpoint for people, as the admin address serves it.
type EndpointStatus struct {
	Endpoint  string  `json:"endpoint"`
	Service   string  `json:"service"`
	Zone      string  `json:"zone"`
	ByTime    bool    `json:"by_time"`     // whether its service is served by expected completion time
	Speed     float64 `json:"speed"`       // in multiples of the median of its service
	Samples   int     `json:"samples"`     // answers that Speed is based on, the recent ones
	Pace      float64 `json:"pace"`        // last reported, in multiples of the usual time of work; 0: none
	PaceAgeMs float64 `json:"pace_age_ms"` // time since Pace was reported
	Trust     float64 `json:"trust"`       // weight of Pace by how well it agrees with the times of answers, 0 to 1
	Load      float64 `json:"load"`        // estimated share of its slots in use
}

// Endpoints describes the endpoints of a view, by service and ID.
func (b *Balancer) Endpoints(v *fleet.View) []EndpointStatus {
	b.mu.Lock()
	now := b.Clock.Now()
	out := make([]EndpointStatus, 0, len(v.All()))
	for _, e := range v.All() {
		est := b.Picker.Speeds.Get(now, e)
		out = append(out, EndpointStatus{
			Endpoint: e.ID, Service: e.Service, Zone: e.Zone, Speed: est.Speed, Samples: est.Samples, Pace: est.Pace,
			PaceAgeMs: float64(est.PaceAge) / float64(time.Millisecond), Trust: est.Trust, Load: b.Picker.Load(e, now),
		})
	}
	b.mu.Unlock()
	if v.Config != nil {
		for i := range out {
			svc := v.Config.Service(out[i].Service)
			out[i].ByTime = svc != nil && b.choosesByTime(svc)
		}
	}
	slices.SortFunc(out, func(x, y EndpointStatus) int {
		return cmp.Or(strings.Compare(x.Service, y.Service), strings.Compare(x.Endpoint, y.Endpoint))
	})
	return out
}

// Timed returns the services of which an endpoint has reported its pace, as far as this
// relay knows.
func (b *Balancer) Timed() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Picker.Timed()
}

// SetTimed records that another relay knows a service as timed.
func (b *Balancer) SetTimed(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Picker.SetTimed(service)
}

// SharesStage reports whether a stage service is scheduled by shares and by urgency:
// the configuration calls for it, or endpoints of the deployment report their pace.
func (b *Balancer) SharesStage(cfg *fleet.Config, service string) bool {
	switch b.schedule() {
	case sets.ScheduleLoad:
		return false
	case sets.ScheduleTime:
		return true
	}
	if cfg.IsContended(service) {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Picker.HasTimed()
}

func (b *Balancer) schedule() sets.Schedule {
	if b.Policy == nil {
		return sets.ScheduleAuto
	}
	return b.Policy().Schedule
}

// Notices returns what endpoints have announced since a version, and the current
// version.
func (b *Balancer) Notices(after int) ([]notice.Entry, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Picker.Notices(after)
}

// RecordNotices records what another relay has learned of endpoints.
func (b *Balancer) RecordNotices(list []notice.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range list {
		b.Picker.RecordNotice(e)
	}
}

// ChooseVersion returns the software version at which a new stream begins, or nil if no
// endpoint of the service accepts work.
func (b *Balancer) ChooseVersion(service, stream string) *string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v, ok := b.versions.Choose(service, stream); ok {
		return &v
	}
	return nil
}

// Observe records the software versions of the endpoints that v lists, and drops the
// load and health of those that it doesn't.
func (b *Balancer) Observe(v *fleet.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.versions.Observe(v)
	b.Picker.Prune(b.Clock.Now(), v.All())
}
