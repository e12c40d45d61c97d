// Package batch groups the stage items of many requests into calls. It chooses
// the pool in which items wait, and which endpoint gets the next call with which
// of them.
package batch

import (
	"slices"
	"time"

	"wigeonplank.example/core/fleet"
)

const (
	rejectionBackoff    = 150 * time.Millisecond // an endpoint that rejected a call gets no call for this long
	memoryBackoff       = 50 * time.Millisecond  // an endpoint that ran out of memory for results gets no call for this long
	minMemoryShare      = 0.25                   // of the configured memory; the learned memory limit is never lower
	crossZoneDelayPerMB = 40 * time.Millisecond  // sending 1 MB to another zone costs users about as much as this delay
	bytesPerMB          = 1_000_000
	minEndpointsPerZone = 6   // on average; a service with fewer has one pool for all zones
	priorities          = 4   // values of Item.priority
	maxZoneWaitLoad     = 0.5 // items don't wait for their zone once the queue holds this share of a full call to every endpoint
	minZoneWaitCalls    = 2   // an item waits for its zone only while this many full calls would end by its Due time
)

// Pool identifies a group of endpoints of one service that share a queue of
// items: the endpoints of one availability zone, or those of all zones if the
// service has few endpoints per zone.
type Pool struct {
	Service string
	Zone    string // empty: all zones
}

// Contains reports whether an endpoint belongs to the pool.
func (p Pool) Contains(e *fleet.Endpoint) bool {
	return e.Service == p.Service && (p.Zone == "" || e.Zone == p.Zone)
}

// HasZonePools reports whether a service has a pool for each zone, given the
// numbers of its endpoints and of their zones. With few endpoints per zone, items
// would wait for a busy endpoint while endpoints in other zones are free.
func HasZonePools(endpoints, zones int) bool { return endpoints >= minEndpointsPerZone*zones }

// Item is the smallest unit of a stage's work. It produces one result.
type Item struct {
	Request        string // ID of the caller's attempt
	Stage          int
	Index          int       // within the stage
	Key            string    // identifies the input of a stage that takes no results of other stages
	Inputs         []string  // references to the results that the item reads
	Chain          bool      // the stage takes results of other stages
	ResultBytes    int64     // approximate size of the result
	Zone           string    // preferred zone; empty: the zone where the first item of the same request and stage runs
	CrossZoneBytes int64     // bytes sent between zones if the items of the same request and stage run in another zone
	FreesMemory    bool      // once it has run, inputs that take up much memory can be released
	EnqueuedAt     time.Time // when the item was first queued at this process
	Due            time.Time // when the item should be done for its request to be in time
	StartBy        time.Time // the item expires if it has not started by then; ignored if FreesMemory is set
	Deadline       time.Time // the item expires if it has not started by then
	Set            int       // only items of the same set run in one call; 0: those that no crash has set apart
	Team           string    // team of the request; empty: none is known
	Data           any       // value of the caller of Scheduler.Add; not used by this package

	overShare bool // the team uses more than its share of the crowded pool, with what others lend
	borrows   bool // the team uses more than an equal share of the crowded pool
}

// Call is a set of items that one endpoint runs together.
type Call struct {
	Service   *fleet.Service
	Endpoint  *fleet.Endpoint
	Pool      Pool
	Items     []*Item
	StartedAt time.Time

	previousStart time.Time     // of the pool's call before this one, if the pool is shared
	charged       time.Duration // endpoint time that was added to the use of the items' teams
}

// Load is the load of a pool.
type Load struct {
	Endpoints int // endpoints that accept calls
	Items     int // queued and in flight
}

// retainedResult is a result that an endpoint retains until it is released or
// expires.
type retainedResult struct {
	bytes   int64
	expires time.Time // the endpoint has dropped the result after this
}

// endpointState is what the scheduler tracks of one endpoint.
type endpointState struct {
	calls        int                       // in flight
	pendingBytes int64                     // size of the results of calls in flight
	backoffUntil time.Time                 // it gets no calls before this
	results      map[string]retainedResult // by reference
	memoryLimit  int64                     // bytes of results it had memory for when it ran out last
	limitedAt    time.Time                 // when it ran out of memory last; zero: never
}

// Scheduler holds the queued items of the pools that this process owns. The zero
// value is ready to use. It is not safe for concurrent use.
type Scheduler struct {
	queues    map[Pool][]*Item          // sorted by Item.Due
	inFlight  map[Pool]int              // items in calls
	endpoints map[string]*endpointState // by endpoint ID
	shared    map[Pool]*sharedPool      // pools whose calls are spaced
	lastSet   int                       // last value of Item.Set
}

func (s *Scheduler) init() {
	if s.queues == nil {
		s.queues = make(map[Pool][]*Item)
		s.inFlight = make(map[Pool]int)
		s.endpoints = make(map[string]*endpointState)
		s.shared = make(map[Pool]*sharedPool)
	}
}

// endpoint returns the state of the endpoint with an ID, and creates it if
// needed.
func (s *Scheduler) endpoint(id string) *endpointState {
	s.init()
	st := s.endpoints[id]
	if st == nil {
		st = &endpointState{results: make(map[string]retainedResult)}
		s.endpoints[id] = st
	}
	return st
}

// Add queues items for a pool.
func (s *Scheduler) Add(p Pool, items ...*Item) {
	s.init()
	q := s.queues[p]
	for _, it := range items {
		i, _ := slices.BinarySearchFunc(q, it, func(a, b *Item) int {
			if a.Due.After(b.Due) {
				return 1
			}
			return -1
		})
		q = slices.Insert(q, i, it)
	}
	s.queues[p] = q
}

// AddApart queues the items of a call under which an endpoint crashed again. The requests
// that they belong to are halved, and each half runs apart from the other and from all
// other items. Repeated, this leaves the request alone whose items crash endpoints.
func (s *Scheduler) AddApart(p Pool, items []*Item) {
	var requests []string
	for _, it := range items {
		if !slices.Contains(requests, it.Request) {
			requests = append(requests, it.Request)
		}
	}
	first := requests[:(len(requests)+1)/2]
	s.lastSet += 2
	for _, it := range items {
		it.Set = s.lastSet
		if slices.Contains(first, it.Request) {
			it.Set--
		}
	}
	s.Add(p, items...)
}

// IsAlone reports whether the call has the items of a single request, which were set
// apart after a crash.
func (c *Call) IsAlone() bool {
	return !slices.ContainsFunc(c.Items, func(it *Item) bool { return it.Set == 0 || it.Request != c.Items[0].Request })
}

// RemoveRequest removes the queued items of a request.
func (s *Scheduler) RemoveRequest(request string) {
	for p, q := range s.queues {
		s.queues[p] = slices.DeleteFunc(q, func(it *Item) bool { return it.Request == request })
	}
}

// RemovePool removes and returns all queued items of a pool.
func (s *Scheduler) RemovePool(p Pool) []*Item {
	q := s.queues[p]
	delete(s.queues, p)
	return q
}

// Pools returns the pools that have queued items, sorted by service and zone.
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

// compare orders two different strings.
func compare(a, b string) int {
	if a < b {
		return -1
	}
	return 1
}

// ItemCount returns the number of a pool's items that are queued or in flight.
func (s *Scheduler) ItemCount(p Pool) int { return len(s.queues[p]) + s.inFlight[p] }

// RemoveExpired removes and returns the queued items that have expired: those
// past their Deadline, and those past StartBy unless FreesMemory is set.
func (s *Scheduler) RemoveExpired(now time.Time) []*Item {
	var out []*Item
	for p, q := range s.queues {
		s.queues[p] = slices.DeleteFunc(q, func(it *Item) bool {
			if !it.expiredAt(now) {
				return false
			}
			out = append(out, it)
			return true
		})
	}
	return out
}

// RemoveUnstartable removes and returns the queued items of a pool that will have
// expired at a time before which none can start.
func (s *Scheduler) RemoveUnstartable(p Pool, start time.Time) []*Item {
	var out []*Item
	s.queues[p] = slices.DeleteFunc(s.queues[p], func(it *Item) bool {
		if !it.expiredAt(start) {
			return false
		}
		out = append(out, it)
		return true
	})
	return out
}

// expiredAt reports whether it is too late to start an item.
func (it *Item) expiredAt(t time.Time) bool {
	return !t.Before(it.Deadline) || (!it.FreesMemory && !t.Before(it.StartBy))
}

// Next removes items from the queue of a pool and returns the call to start with
// them now, or nil if there is none. The caller reports the end of the call to
// Finish. A shared pool may hold a call back until NextStart. usable are the pool's endpoints that may get calls; those in the zones
// that most items prefer are tried first.
func (s *Scheduler) Next(now time.Time, svc *fleet.Service, p Pool, usable []*fleet.Endpoint) *Call {
	sp := s.shared[p]
	if sp != nil {
		sp.heldUntil = time.Time{}
	}
	q := s.queues[p]
	if len(q) == 0 {
		return nil
	}
	preferred := make(map[string]int) // items by preferred zone
	for _, it := range q {
		preferred[it.Zone]++
	}
	available := make([]*fleet.Endpoint, 0, len(usable))
	usableZones := make(map[string]bool) // zones with a usable endpoint
	slots, free := max(1, svc.Batch.Slots), 0
	for _, e := range usable {
		usableZones[e.Zone] = true
		if st := s.endpoint(e.ID); st.calls < slots && !now.Before(st.backoffUntil) {
			available = append(available, e)
			free += slots - st.calls
		}
	}
	slices.SortStableFunc(available, func(a, b *fleet.Endpoint) int { return preferred[b.Zone] - preferred[a.Zone] })
	waitFactor := zoneWaitFactor(len(q), len(usable)*slots*svc.Batch.MaxItems)
	earliestDone := now.Add(callTime(svc.Batch, 1))
	if sp != nil && len(available) > 0 {
		sp.order(now, svc.Batch, q, len(usable)*slots)
		earliestDone = now.Add(sp.expectedTime(svc.Batch, min(len(q), svc.Batch.MaxItems)))
	}
	for _, e := range available {
		st := s.endpoint(e.ID)
		items, blocked := s.choose(now, svc.Batch, p, earliestDone, e.Zone, st.freeMemory(now, svc.Batch), usableZones, waitFactor)
		if len(items) == 0 {
			continue
		}
		if sp != nil && free == 1 && !blocked && sp.hold(now, svc.Batch, items, len(usable)*slots) {
			return nil
		}
		s.dequeue(p, items, e.Zone)
		st.calls++
		for _, it := range items {
			st.pendingBytes += it.ResultBytes
		}
		s.inFlight[p] += len(items)
		c := &Call{Service: svc, Endpoint: e, Pool: p, Items: items, StartedAt: now}
		if sp != nil {
			sp.begin(c)
		}
		return c
	}
	return nil
}

// freeMemory returns the free memory for results in bytes, given the configured
// memory of the endpoint. It forgets results that have expired.
func (st *endpointState) freeMemory(now time.Time, b *fleet.Batch) int64 {
	free := st.usableMemory(now, b) - st.pendingBytes
	for ref, r := range st.results {
		if now.After(r.expires) {
			delete(st.results, ref)
			continue
		}
		free -= r.bytes
	}
	return free
}

// priority returns the priority of an item, 0 being the highest: items that free
// memory, late or not; then items that can still be done by their Due time, those of
// teams over their share last; then late items. earliestDone is when a call that starts
// now is done.
func (it *Item) priority(earliestDone time.Time) int {
	switch {
	case it.FreesMemory:
		return 0
	case it.Due.Before(earliestDone):
		return 3
	case it.overShare:
		return 2
	}
	return 1
}

// zoneWaitFactor returns the factor by which the zone wait of items is shortened
// under load: from 1 for an empty queue down to 0. capacity is the number of items
// in one full call to each endpoint. Under load, full calls matter more than the
// zone in which items run.
func zoneWaitFactor(queued, capacity int) float64 {
	return max(0, 1-float64(queued)/(maxZoneWaitLoad*float64(max(1, capacity))))
}

// mayRunIn reports whether an item may run in a zone. It may run in any zone if it
// prefers none, if its preferred zone has no usable endpoint, if its zone wait is
// over, or if minZoneWaitCalls full calls would end after its Due time. The zone
// wait is the delay that costs users as much as sending the item's data to another
// zone, times waitFactor.
func (it *Item) mayRunIn(now time.Time, b *fleet.Batch, zone string, usableZones map[string]bool, waitFactor float64) bool {
	zoneWait := time.Duration(waitFactor * float64(crossZoneDelay(it.CrossZoneBytes)))
	if it.Zone == "" || it.Zone == zone || !usableZones[it.Zone] || now.Sub(it.EnqueuedAt) >= zoneWait {
		return true
	}
	return now.Add(minZoneWaitCalls * FullCallTime(b)).After(it.Due)
}

// FullCallTime returns the processing time of a call with as many items as it can
// have.
func FullCallTime(b *fleet.Batch) time.Duration {
	return b.CallOverhead + time.Duration(b.MaxItems)*b.ItemTime
}

// crossZoneDelay returns the delay that costs users as much as sending a number
// of bytes to another zone.
func crossZoneDelay(bytes int64) time.Duration {
	return time.Duration(float64(bytes) / bytesPerMB * float64(crossZoneDelayPerMB))
}

// choose returns the items of the next call to an endpoint in a zone with
// freeMemory bytes for their results. Items whose results don't fit are left out,
// unless the configured memory is 0, which means no limit; one that is larger than the
// configured memory takes all of it. Items are taken by
// priority; within a priority, those that prefer the zone come first, and then the
// order is by Due time. blocked reports whether the call would get no more items if
// it started later: it is full or runs apart, or memory is short.
func (s *Scheduler) choose(
	now time.Time, b *fleet.Batch, p Pool, earliestDone time.Time, zone string, freeMemory int64, usableZones map[string]bool, waitFactor float64,
) (out []*Item, blocked bool) {
	q := s.queues[p]
	taken := make(map[*Item]bool)
	take := func(priority int, sameZone bool) {
		for _, it := range q {
			if len(out) >= b.MaxItems {
				return
			}
			if len(out) > 0 && it.Set != out[0].Set {
				continue
			}
			if taken[it] || it.priority(earliestDone) != priority {
				continue
			}
			need := min(it.ResultBytes, b.MemoryBytes) // the sizes of results are approximate
			if b.MemoryBytes > 0 && need > freeMemory {
				blocked = true
				continue
			}
			if (sameZone && it.Zone != zone) || !it.mayRunIn(now, b, zone, usableZones, waitFactor) {
				continue
			}
			freeMemory -= need
			out = append(out, it)
			taken[it] = true
		}
	}
	for priority := range priorities {
		take(priority, true)
		take(priority, false)
	}
	return out, blocked || len(out) >= b.MaxItems || (len(out) > 0 && out[0].Set != 0)
}

// dequeue removes the items of a call to an endpoint in a zone from a pool's queue.
func (s *Scheduler) dequeue(p Pool, items []*Item, zone string) {
	taken := make(map[*Item]bool, len(items))
	for _, it := range items {
		taken[it] = true
	}
	q := slices.DeleteFunc(s.queues[p], func(it *Item) bool { return taken[it] })
	assignZone(items, q, zone)
	s.queues[p] = q
}

// assignZone sets the zone of queued items that preferred none, if some of the
// taken items belong to the same request and stage. The results of a stage are
// read together, so its items should run in one zone.
func assignZone(taken, queued []*Item, zone string) {
	type group struct {
		request string
		stage   int
	}
	started := make(map[group]bool)
	for _, it := range taken {
		if it.Zone == "" {
			started[group{it.Request, it.Stage}] = true
		}
	}
	for _, it := range queued {
		if it.Zone == "" && started[group{it.Request, it.Stage}] {
			it.Zone = zone
		}
	}
}

// Outcome describes how a call ended.
type Outcome struct {
	Refs        []string // references to the results by item, empty for an item without one; nil: the call failed
	Rejected    bool     // the endpoint rejected the call
	OutOfMemory bool     // the endpoint had no memory for some results
}

// Finish records the end of a call that Next returned.
func (s *Scheduler) Finish(now time.Time, c *Call, o Outcome) {
	st := s.endpoint(c.Endpoint.ID)
	st.calls = max(0, st.calls-1)
	s.inFlight[c.Pool] = max(0, s.inFlight[c.Pool]-len(c.Items))
	for i, it := range c.Items {
		st.pendingBytes = max(0, st.pendingBytes-it.ResultBytes)
		if o.Refs != nil && o.Refs[i] != "" {
			st.results[o.Refs[i]] = retainedResult{bytes: it.ResultBytes, expires: now.Add(c.Service.Batch.Retention)}
		}
	}
	if o.Rejected {
		st.backoffUntil = now.Add(rejectionBackoff)
	}
	if sp := s.shared[c.Pool]; sp != nil {
		sp.finish(now, c, o)
	}
	if o.OutOfMemory {
		st.limitMemory(now, c.Service.Batch.MemoryBytes)
	}
}

// usableMemory returns the memory for results that this process reckons with. Results that
// made the endpoint run out of memory, but aren't known here, are those of processes that
// have ended or of others; all of them expire within the retention of results.
func (st *endpointState) usableMemory(now time.Time, b *fleet.Batch) int64 {
	since := now.Sub(st.limitedAt)
	if st.limitedAt.IsZero() || since >= b.Retention {
		return b.MemoryBytes
	}
	return st.memoryLimit + int64(float64(b.MemoryBytes-st.memoryLimit)*float64(since)/float64(b.Retention))
}

// limitMemory lowers the memory limit of an endpoint that ran out of memory to the size of
// the results that it is known to retain. The configured memory is not reliable, as the
// sizes of results are approximate and the endpoint may retain results of other processes.
func (st *endpointState) limitMemory(now time.Time, memory int64) {
	st.backoffUntil = now.Add(memoryBackoff)
	total := int64(0)
	for _, r := range st.results {
		total += r.bytes
	}
	st.memoryLimit, st.limitedAt = min(memory, max(total, int64(float64(memory)*minMemoryShare))), now
}

// Released records that results of an endpoint were released.
func (s *Scheduler) Released(endpoint string, refs []string) {
	st := s.endpoint(endpoint)
	for _, ref := range refs {
		delete(st.results, ref)
	}
}

// Candidate is a pool that items may be queued for.
type Candidate struct {
	Zone string
	Load Load
}

// ChooseZone returns the zone of the pool that n items should be queued for, or
// false if no candidate has an endpoint. It chooses the lowest estimated latency.
// To that of a pool of another zone than the preferred one, it adds the delay that
// costs users as much as sending the given number of bytes to another zone.
func ChooseZone(b *fleet.Batch, candidates []Candidate, preferred string, n int, bytes int64) (string, bool) {
	best, found := "", false
	var bestCost time.Duration
	for _, c := range candidates {
		if c.Load.Endpoints == 0 {
			continue
		}
		cost := EstimateLatency(b, c.Load, n)
		if c.Zone != preferred && c.Zone != "" {
			cost += crossZoneDelay(bytes)
		}
		if !found || cost < bestCost || (cost == bestCost && c.Zone == preferred) {
			best, bestCost, found = c.Zone, cost, true
		}
	}
	return best, found
}

// MinLatency returns the lowest estimated latency of n items among the
// candidates, or 0 if no candidate has an endpoint.
func MinLatency(b *fleet.Batch, candidates []Candidate, n int) time.Duration {
	best := time.Duration(-1)
	for _, c := range candidates {
		if d := EstimateLatency(b, c.Load, n); c.Load.Endpoints > 0 && (best < 0 || d < best) {
			best = d
		}
	}
	return max(0, best)
}

// EstimateLatency estimates the time from queueing n more items for a pool to
// their results. It is the time to run the pool's load in full calls on all slots
// of its endpoints, plus that of the calls with the new items, which run in turns of
// one call for each slot. A load without endpoints stands for a pool with a slot for
// each call.
func EstimateLatency(b *fleet.Batch, l Load, n int) time.Duration {
	full, slots := FullCallTime(b), l.Endpoints*max(1, b.Slots)
	perItem := full / time.Duration(b.MaxItems)
	turns := 0 // before that of the last call
	if perTurn := slots * b.MaxItems; perTurn > 0 && n > 0 {
		turns = (n - 1) / perTurn
		n -= turns * perTurn
	}
	return time.Duration(turns)*full + callTime(b, min(n, b.MaxItems)) + time.Duration(l.Items)*perItem/time.Duration(max(1, slots))
}

// ItemCounts returns the number of items that are queued or in flight, by pool.
func (s *Scheduler) ItemCounts() map[Pool]int {
	out := make(map[Pool]int)
	for p := range s.queues {
		if n := s.ItemCount(p); n > 0 {
			out[p] = n
		}
	}
	for p := range s.inFlight {
		if n := s.ItemCount(p); n > 0 {
			out[p] = n
		}
	}
	return out
}
