// Package batch puts the stage items of many requests together into calls, and
// says which endpoint gets the next one.
package batch

import (
	"slices"
	"time"

	"wigeonplank.example/core/fleet"
)

const (
	fullWait = 150 * time.Millisecond // an endpoint that refused a call gets none for so long
	overflow = 100 * time.Millisecond // items that waited so long may go to another zone
)

// Item is one piece of work of a stage.
type Item struct {
	Request  string // attempt of a caller
	Stage    int
	Index    int
	Key      string   // of items that take no inputs
	Inputs   []string // references to results
	Chain    bool     // takes inputs
	Due      time.Time
	Deadline time.Time
	Added    time.Time
	Flow     any // of whoever added it
}

// Call is a set of items for one endpoint.
type Call struct {
	Service  *fleet.Service
	Endpoint *fleet.Endpoint
	Items    []*Item
	Began    time.Time
}

type server struct {
	calls     int       // of this process under way
	fullUntil time.Time // it refused a call
}

type queue struct {
	items []*Item // by due time
}

// Scheduler holds the items that wait. The zero value is ready to use. It is not
// safe for concurrent use.
type Scheduler struct {
	Zone string // of this process

	queues  map[string]*queue
	servers map[string]*server
}

func (s *Scheduler) queue(service string) *queue {
	if s.queues == nil {
		s.queues = make(map[string]*queue)
		s.servers = make(map[string]*server)
	}
	q := s.queues[service]
	if q == nil {
		q = &queue{}
		s.queues[service] = q
	}
	return q
}

func (s *Scheduler) server(id string) *server {
	v := s.servers[id]
	if v == nil {
		v = &server{}
		s.servers[id] = v
	}
	return v
}

// Add queues items of one request.
func (s *Scheduler) Add(service string, items ...*Item) {
	if len(items) == 0 {
		return
	}
	q := s.queue(service)
	at, _ := slices.BinarySearchFunc(q.items, items[0], func(a, b *Item) int {
		if a.Due.After(b.Due) {
			return 1
		}
		return -1
	})
	q.items = slices.Insert(q.items, at, items...)
}

// Remove drops the items of a request that wait.
func (s *Scheduler) Remove(request string) {
	for _, q := range s.queues {
		q.items = slices.DeleteFunc(q.items, func(it *Item) bool { return it.Request == request })
	}
}

// Waiting returns the number of items that wait for a service.
func (s *Scheduler) Waiting(service string) int { return len(s.queue(service).items) }

// Expired takes out the items whose deadline has passed.
func (s *Scheduler) Expired(now time.Time) []*Item {
	var out []*Item
	for _, q := range s.queues {
		q.items = slices.DeleteFunc(q.items, func(it *Item) bool {
			if now.Before(it.Deadline) {
				return false
			}
			out = append(out, it)
			return true
		})
	}
	return out
}

// Next returns a call to start now, or nil. usable are the endpoints that may
// be given work.
func (s *Scheduler) Next(now time.Time, svc *fleet.Service, usable []*fleet.Endpoint) *Call {
	q := s.queue(svc.Name)
	if len(q.items) == 0 {
		return nil
	}
	e := s.choose(now, svc, q, usable)
	if e == nil {
		return nil
	}
	n := min(svc.Batch.Size, len(q.items))
	c := &Call{Service: svc, Endpoint: e, Items: slices.Clone(q.items[:n]), Began: now}
	q.items = slices.Delete(q.items, 0, n)
	s.server(e.ID).calls++
	return c
}

// choose returns an idle endpoint: of this zone if there is one, of another if
// items wait for more than a call, or for too long.
func (s *Scheduler) choose(now time.Time, svc *fleet.Service, q *queue, usable []*fleet.Endpoint) *fleet.Endpoint {
	var far, near *fleet.Endpoint
	home := false
	for _, e := range usable {
		home = home || e.Zone == s.Zone
		v := s.server(e.ID)
		if v.calls > 0 || now.Before(v.fullUntil) {
			continue
		}
		if e.Zone == s.Zone {
			near = e
		} else if far == nil {
			far = e
		}
	}
	if near != nil {
		return near
	}
	pressed := len(q.items) > svc.Batch.Size || now.Sub(q.items[0].Added) > overflow
	if !home || pressed {
		return far
	}
	return nil
}

// Done records the end of a call. full says that the endpoint refused it.
func (s *Scheduler) Done(now time.Time, c *Call, full bool) {
	v := s.server(c.Endpoint.ID)
	v.calls = max(0, v.calls-1)
	if full {
		v.fullUntil = now.Add(fullWait)
	}
}

// Services returns the services for which items wait.
func (s *Scheduler) Services() []string {
	var out []string
	for name, q := range s.queues {
		if len(q.items) > 0 {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
