// Package batch puts the stage items of many requests together into calls. It
// says where items should wait, and which endpoint gets the next call with which
// of them.
package batch

import (
	"slices"
	"time"

	"wigeonplank.example/core/fleet"
)

const (
	fullWait       = 150 * time.Millisecond // an endpoint that refused a call gets none for so long
	roomWait       = 50 * time.Millisecond  // an endpoint without room gets no call for so long
	leastMemory    = 0.25                   // share of an endpoint's memory that is always reckoned with
	memoryGrowth   = 1.02                   // with each call whose results found room
	crossZonePerMB = 40 * time.Millisecond  // a result that crosses zones costs the users about as much as so much delay
	bytesPerMB     = 1_000_000
	leastPerZone   = 3 // endpoints of a service; with fewer in a zone, all zones are one pool
	ranks          = 3
	busyShare      = 0.5 // of what all endpoints take at once: when so much waits, zones don't count
	patientCalls   = 2   // an item waits for its zone while it has time for so many calls
)

// Pool is endpoints of one service, for which items wait together: those of one
// availability zone, or of all where a zone has only a few.
type Pool struct {
	Service string
	Zone    string // empty: all zones
}

// Holds reports whether an endpoint belongs to the pool.
func (p Pool) Holds(e *fleet.Endpoint) bool {
	return e.Service == p.Service && (p.Zone == "" || e.Zone == p.Zone)
}

// Zoned reports whether a service with so many endpoints in so many zones has a
// pool for each zone.
func Zoned(endpoints, zones int) bool { return endpoints >= leastPerZone*zones }

// Item is one piece of work of a stage.
type Item struct {
	Request  string // attempt of a caller
	Stage    int
	Index    int
	Key      string   // of items that take no inputs
	Inputs   []string // references to results
	Chain    bool     // takes inputs
	Bytes    int64    // approximate size of the result
	Zone     string   // where it should run; empty: wherever the first of its request and stage runs
	Cross    int64    // bytes that cross zones if the items of its request and stage run elsewhere
	Holds    bool     // its inputs take up much of the room where they lie
	Added    time.Time
	Due      time.Time
	GiveUp   time.Time // unless it holds room, it is not started after this
	Deadline time.Time
	Flow     any // of whoever added it
}

// Call is a set of items for one endpoint.
type Call struct {
	Service  *fleet.Service
	Endpoint *fleet.Endpoint
	Pool     Pool
	Items    []*Item
	Began    time.Time
}

// Load is how much waits for a pool.
type Load struct {
	Servers int // endpoints that take calls
	Items   int // items that wait or are at work
}

type held struct {
	bytes   int64
	expires time.Time // the result is dropped by then
}

type server struct {
	calls     int             // under way
	coming    int64           // bytes of the results of calls under way
	fullUntil time.Time       // it refused a call, or had no room
	results   map[string]held // by reference
	memory    int64           // bytes of results that it was seen to have room for; 0: all
}

// Scheduler holds the items that wait for the pools that this process serves.
// The zero value is ready to use. It is not safe for concurrent use.
type Scheduler struct {
	queues  map[Pool][]*Item   // by due time
	atWork  map[Pool]int       // items in calls
	servers map[string]*server // by endpoint ID
}

func (s *Scheduler) prepare() {
	if s.queues == nil {
		s.queues = make(map[Pool][]*Item)
		s.atWork = make(map[Pool]int)
		s.servers = make(map[string]*server)
	}
}

func (s *Scheduler) server(id string) *server {
	s.prepare()
	v := s.servers[id]
	if v == nil {
		v = &server{results: make(map[string]held)}
		s.servers[id] = v
	}
	return v
}

// Add queues items for a pool.
func (s *Scheduler) Add(p Pool, items ...*Item) {
	s.prepare()
	q := s.queues[p]
	for _, it := range items {
		at, _ := slices.BinarySearchFunc(q, it, func(a, b *Item) int {
			if a.Due.After(b.Due) {
				return 1
			}
			return -1
		})
		q = slices.Insert(q, at, it)
	}
	s.queues[p] = q
}

// Remove drops the items of a request that wait.
func (s *Scheduler) Remove(request string) {
	for p, q := range s.queues {
		s.queues[p] = slices.DeleteFunc(q, func(it *Item) bool { return it.Request == request })
	}
}

// TakeAll returns all items that wait for a pool, and forgets them.
func (s *Scheduler) TakeAll(p Pool) []*Item {
	q := s.queues[p]
	delete(s.queues, p)
	return q
}

// Pools returns the pools for which items wait, in a fixed order.
func (s *Scheduler) Pools() []Pool {
	var out []Pool
	for p, q := range s.queues {
		if len(q) > 0 {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b Pool) int {
		if a.Service != b.Service {
			return compare(a.Service, b.Service)
		}
		return compare(a.Zone, b.Zone)
	})
	return out
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// Items returns how many items of a pool wait or are at work.
func (s *Scheduler) Items(p Pool) int { return len(s.queues[p]) + s.atWork[p] }

// Expired takes out the items that are not worth a call any more: those whose
// deadline has passed, and those that were to be given up by now.
func (s *Scheduler) Expired(now time.Time) []*Item {
	var out []*Item
	for p, q := range s.queues {
		s.queues[p] = slices.DeleteFunc(q, func(it *Item) bool {
			if now.Before(it.Deadline) && (it.Holds || now.Before(it.GiveUp)) {
				return false
			}
			out = append(out, it)
			return true
		})
	}
	return out
}

// Next returns a call to start now for a pool, or nil. usable are the pool's
// endpoints that may be given work.
func (s *Scheduler) Next(now time.Time, svc *fleet.Service, p Pool, usable []*fleet.Endpoint) *Call {
	q := s.queues[p]
	if len(q) == 0 {
		return nil
	}
	wanted := make(map[string]int) // items by the zone that wants them
	for _, it := range q {
		wanted[it.Zone]++
	}
	idle := make([]*fleet.Endpoint, 0, len(usable))
	served := make(map[string]bool) // zones with a usable endpoint
	for _, e := range usable {
		served[e.Zone] = true
		if v := s.server(e.ID); v.calls < max(1, svc.Batch.Slots) && !now.Before(v.fullUntil) {
			idle = append(idle, e)
		}
	}
	slices.SortStableFunc(idle, func(a, b *fleet.Endpoint) int { return wanted[b.Zone] - wanted[a.Zone] })
	calm := calmness(len(q), len(usable)*svc.Batch.Size)
	for _, e := range idle {
		v := s.server(e.ID)
		items := s.take(now, svc.Batch, p, e.Zone, v.room(now, svc.Batch.MemoryBytes), served, calm)
		if len(items) == 0 {
			continue
		}
		v.calls++
		for _, it := range items {
			v.coming += it.Bytes
		}
		s.atWork[p] += len(items)
		return &Call{Service: svc, Endpoint: e, Pool: p, Items: items, Began: now}
	}
	return nil
}

// room returns the bytes that are free for results.
func (v *server) room(now time.Time, memory int64) int64 {
	if v.memory > 0 {
		memory = min(memory, v.memory)
	}
	free := memory - v.coming
	for ref, h := range v.results {
		if now.After(h.expires) {
			delete(v.results, ref)
			continue
		}
		free -= h.bytes
	}
	return free
}

// rank orders the items of a pool: those that give room back come first, late or
// not; then those that can still be in time; then those that are late.
func (it *Item) rank(soonest time.Time) int {
	switch {
	case it.Holds:
		return 0
	case !it.Due.Before(soonest):
		return 1
	}
	return 2
}

// calmness returns how much of their patience items keep when so many wait for
// endpoints that take so many at once: from 1 to 0. Under load calls have to be
// full, wherever their items belong.
func calmness(waiting, size int) float64 {
	return max(0, 1-float64(waiting)/(busyShare*float64(max(1, size))))
}

// mayGo reports whether an item may go to an endpoint of a zone: of its own, or
// of any once it has waited as long as crossing is worth, or has no more time to
// wait.
func (it *Item) mayGo(now time.Time, b *fleet.Batch, zone string, served map[string]bool, calm float64) bool {
	patience := time.Duration(calm * float64(crossing(it.Cross)))
	if it.Zone == "" || it.Zone == zone || !served[it.Zone] || now.Sub(it.Added) >= patience {
		return true
	}
	return now.Add(patientCalls * fullCall(b)).After(it.Due)
}

func fullCall(b *fleet.Batch) time.Duration { return b.Call + time.Duration(b.Size)*b.Item }

// crossing returns the delay that a result which crosses zones is worth.
func crossing(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / bytesPerMB * float64(crossZonePerMB))
}

// take takes the items of the next call to an endpoint of a zone, by rank and
// then by due time, as far as there is room for their results.
func (s *Scheduler) take(now time.Time, b *fleet.Batch, p Pool, zone string, room int64, served map[string]bool, calm float64) []*Item {
	q := s.queues[p]
	soonest := now.Add(b.Call + b.Item)
	var out []*Item
	taken := make(map[*Item]bool)
	pick := func(rank int, near bool) {
		for _, it := range q {
			if len(out) >= b.Size {
				return
			}
			if taken[it] || it.rank(soonest) != rank || (b.MemoryBytes > 0 && it.Bytes > room) ||
				(near && it.Zone != zone) || !it.mayGo(now, b, zone, served, calm) {
				continue
			}
			room -= it.Bytes
			out = append(out, it)
			taken[it] = true
		}
	}
	for rank := range ranks {
		pick(rank, true)
		pick(rank, false)
	}
	q = slices.DeleteFunc(q, func(it *Item) bool { return taken[it] })
	together(out, q, zone)
	s.queues[p] = q
	return out
}

// together has the rest of what was taken in parts wait for the same zone.
func together(taken, rest []*Item, zone string) {
	type group struct {
		request string
		stage   int
	}
	begun := make(map[group]bool)
	for _, it := range taken {
		if it.Zone == "" {
			begun[group{it.Request, it.Stage}] = true
		}
	}
	for _, it := range rest {
		if it.Zone == "" && begun[group{it.Request, it.Stage}] {
			it.Zone = zone
		}
	}
}

// Outcome is how a call ended.
type Outcome struct {
	Refs   []string // results by item, empty where there is none; nil: the call failed
	Full   bool     // the endpoint refused the call
	NoRoom bool     // the endpoint had no room for some results
}

// Done records the end of a call.
func (s *Scheduler) Done(now time.Time, c *Call, o Outcome) {
	v := s.server(c.Endpoint.ID)
	v.calls = max(0, v.calls-1)
	s.atWork[c.Pool] = max(0, s.atWork[c.Pool]-len(c.Items))
	for i, it := range c.Items {
		v.coming = max(0, v.coming-it.Bytes)
		if o.Refs != nil && o.Refs[i] != "" {
			v.results[o.Refs[i]] = held{bytes: it.Bytes, expires: now.Add(c.Service.Batch.Keep)}
		}
	}
	if o.Full {
		v.fullUntil = now.Add(fullWait)
	}
	v.learnMemory(now, c.Service.Batch.MemoryBytes, o)
}

// learnMemory lowers what an endpoint is reckoned to have room for to what it
// held when it had none left, and raises it again slowly: sizes of results are
// approximate, and others may hold some.
func (v *server) learnMemory(now time.Time, memory int64, o Outcome) {
	switch {
	case o.NoRoom:
		v.fullUntil = now.Add(roomWait)
		total := int64(0)
		for _, h := range v.results {
			total += h.bytes
		}
		v.memory = max(total, int64(float64(memory)*leastMemory))
	case o.Refs != nil && v.memory > 0:
		v.memory = int64(float64(v.memory) * memoryGrowth)
		if v.memory >= memory {
			v.memory = 0
		}
	}
}

// Freed records that results of an endpoint were given up.
func (s *Scheduler) Freed(endpoint string, refs []string) {
	v := s.server(endpoint)
	for _, ref := range refs {
		delete(v.results, ref)
	}
}

// Choice is a pool that items could go to.
type Choice struct {
	Zone string
	Load Load
}

// Place returns the zone of the pool in which n items should wait, and false if
// there is none: where they get their turn first, but rather in the zone that
// wants their results, of so many bytes.
func Place(b *fleet.Batch, choices []Choice, want string, n int, bytes int64) (string, bool) {
	best, found := "", false
	var bestCost time.Duration
	for _, c := range choices {
		if c.Load.Servers == 0 {
			continue
		}
		cost := Wait(b, c.Load, n)
		if c.Zone != want && c.Zone != "" {
			cost += crossing(bytes)
		}
		if !found || cost < bestCost || (cost == bestCost && c.Zone == want) {
			best, bestCost, found = c.Zone, cost, true
		}
	}
	return best, found
}

// Best returns the shortest wait for n items in any of some pools.
func Best(b *fleet.Batch, choices []Choice, n int) time.Duration {
	best := time.Duration(-1)
	for _, c := range choices {
		if w := Wait(b, c.Load, n); c.Load.Servers > 0 && (best < 0 || w < best) {
			best = w
		}
	}
	return max(0, best)
}

// Wait estimates how long n more items take at a pool.
func Wait(b *fleet.Batch, l Load, n int) time.Duration {
	full := fullCall(b)
	perItem := full / time.Duration(b.Size)
	own := b.Call + time.Duration(min(n, b.Size))*b.Item
	return own + time.Duration(l.Items)*perItem/time.Duration(max(1, l.Servers*max(1, b.Slots)))
}

// Loads returns how many items wait or are at work, by pool.
func (s *Scheduler) Loads() map[Pool]int {
	out := make(map[Pool]int)
	for p := range s.queues {
		if n := s.Items(p); n > 0 {
			out[p] = n
		}
	}
	for p := range s.atWork {
		if n := s.Items(p); n > 0 {
			out[p] = n
		}
	}
	return out
}
