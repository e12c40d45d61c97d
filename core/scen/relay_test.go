package scen_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/event"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/peer"
	"wigeonplank.example/core/pick"
	"wigeonplank.example/core/quota"
)

// relayWorld is what scripts of the relay's decisions act on.
type relayWorld struct {
	view   fleet.View
	config *fleet.Config
	picker pick.Picker
	sched  batch.Scheduler
	calls  map[string]*batch.Call // by endpoint
	groups map[string]*peer.Group
	refs   int
}

var scriptBatch = fleet.Batch{
	Slots: 1, MaxQueued: 2, MaxItems: 4, CallOverhead: 150 * time.Millisecond, ItemTime: 10 * time.Millisecond,
	MemoryBytes: 1000, Retention: 4 * time.Second,
}

func scriptService(name string) *fleet.Service {
	return &fleet.Service{Name: name, Batch: &scriptBatch, ColdRate: 9, ColdPeriod: 3 * time.Second}
}

func viewCmd(w *world, a *args) error {
	r, now := &w.relay, w.clock.Now()
	switch a.word(0) {
	case "put":
		e := &fleet.Endpoint{
			ID: a.word(1), Service: a.opt("service", "s"), Zone: a.opt("zone", "z1"), Slots: a.int("slots", 4),
			State: fleet.State(a.opt("state", "ready")), StartUnixMs: int64(a.int("born", 1)),
		}
		if d := a.duration("cold", 0); d > 0 {
			e.ColdUntil = now.Add(d)
		}
		r.view = r.view.WithChange(fleet.Change{Put: []*fleet.Endpoint{e}})
	case "drop":
		r.view = r.view.WithChange(fleet.Change{Remove: a.words[1:]})
	case "lapse":
		r.view = r.view.WithChange(fleet.Change{Missing: map[string]time.Time{a.word(1): now.Add(a.duration("grace", time.Second))}})
	case "drain":
		zones := make(map[string]bool)
		for _, z := range a.words[1:] {
			zones[z] = true
		}
		r.view = r.view.WithChange(fleet.Change{Drained: zones})
	case "usable":
		return want("usable endpoints", endpointIDs(r.view.Endpoints(a.opt("service", "s"))), strings.Join(a.words[1:], " "))
	case "lapsed":
		return want("lapsed endpoints", strings.Join(r.view.Overdue(now), " "), strings.Join(a.words[1:], " "))
	default:
		return fmt.Errorf("view: unknown word %q", a.word(0))
	}
	return nil
}

func endpointIDs(list []*fleet.Endpoint) string {
	out := make([]string, 0, len(list))
	for _, e := range list {
		out = append(out, e.ID)
	}
	return strings.Join(out, " ")
}

func (a *args) opt(key, otherwise string) string {
	if v, ok := a.opts[key]; ok {
		return v
	}
	return otherwise
}

func configCmd(w *world, a *args) error {
	r := &w.relay
	switch a.word(0) {
	case "routes":
		var parts fleet.Parts
		for _, def := range a.words[1:] {
			host, prefix, _ := strings.Cut(def, "/")
			parts.Routes = append(parts.Routes, &fleet.Route{
				Name: def, Host: host, Prefix: "/" + prefix, Targets: []fleet.Target{{Service: "s", Weight: 1}},
			})
		}
		cfg, err := fleet.NewConfig(1, 1, fleet.Limits{}, parts)
		r.config = cfg
		return err
	case "stages":
		route := &fleet.Route{Name: "r", Host: "h", Prefix: "/", Targets: []fleet.Target{{Service: "s"}}}
		for _, def := range a.words[1:] {
			service, after, _ := strings.Cut(def, ":")
			s := fleet.Stage{Service: service}
			if n, err := strconv.Atoi(after); err == nil {
				s.DependsOn = []int{n}
			}
			route.Stages = append(route.Stages, s)
		}
		_, err := fleet.NewConfig(1, 1, fleet.Limits{}, fleet.Parts{Routes: []*fleet.Route{route}, Services: []*fleet.Service{scriptService("b")}})
		return err
	case "match":
		got := "none"
		if m := r.config.Match(a.word(1), a.word(2)); m != nil {
			got = m.Name
		}
		return want("route", got, a.word(3))
	}
	return fmt.Errorf("config: unknown word %q", a.word(0))
}

func pickCmd(w *world, a *args) error {
	r, now := &w.relay, w.clock.Now()
	svc := scriptService("s")
	r.picker.ColdShare = func(*fleet.Service, *fleet.Endpoint) int { return a.int("cold_share", 2) }
	switch a.word(0) {
	case "choose":
		ask := pick.Criteria{Zone: a.opt("zone", "z1"), Exclude: make(map[string]bool)}
		for _, id := range strings.Split(a.opts["not"], ",") {
			ask.Exclude[id] = true
		}
		if p := a.opts["prompt"]; p != "" {
			ask.Affinity = xxhash.Sum64String(p)
		}
		got := "none"
		if e := r.picker.Pick(now, svc, r.view.Endpoints("s"), ask).Endpoint; e != nil {
			got = e.ID
			if a.opts["begin"] != "no" {
				r.picker.Begin(now, svc, e)
			}
		}
		if a.word(1) == "any" {
			return nil
		}
		return want("choice", got, a.word(1))
	case "begin":
		r.picker.Begin(now, svc, r.view.Endpoint(a.word(1)))
	case "end":
		r.picker.End(now, r.view.Endpoint(a.word(1)), pick.Result(a.word(2)))
	case "unreachable":
		r.picker.Unreachable(now, r.view.Endpoint(a.word(1)))
	case "report":
		r.picker.Report(now, r.view.Endpoint(a.word(1)), pick.Load{Running: a.int("running", 0), Waiting: a.int("waiting", 0), Slots: 4})
	case "suspect":
		return want("suspect", r.picker.Suspect(r.view.Endpoint(a.word(1)), now), a.word(2) == "yes")
	default:
		return fmt.Errorf("pick: unknown word %q", a.word(0))
	}
	return nil
}

func batchCmd(w *world, a *args) error {
	r, now := &w.relay, w.clock.Now()
	p := batch.Pool{Service: "s", Zone: a.opts["pool"]}
	switch a.word(0) {
	case "add":
		items := make([]*batch.Item, a.int("n", 1))
		for i := range items {
			items[i] = &batch.Item{
				Request: a.word(1), Index: i, ResultBytes: int64(a.int("bytes", 10)), FreesMemory: a.opts["holds"] == "yes", Zone: a.opts["zone"], CrossZoneBytes: int64(a.int("cross", 0)),
				EnqueuedAt: now, Due: now.Add(a.duration("due", time.Second)), StartBy: now.Add(a.duration("give_up", time.Second)),
				Deadline: now.Add(a.duration("deadline", 5*time.Second)),
			}
		}
		r.sched.Add(p, items...)
	case "next":
		c := r.sched.Next(now, scriptService("s"), p, r.view.Endpoints("s"))
		if c == nil {
			return want("call", "none", strings.Join(a.words[1:], " "))
		}
		if r.calls == nil {
			r.calls = make(map[string]*batch.Call)
		}
		r.calls[c.Endpoint.ID] = c
		return want("call", c.Endpoint.ID+" "+itemNames(c.Items), strings.Join(a.words[1:], " "))
	case "done":
		c := r.calls[a.word(1)]
		o := batch.Outcome{Rejected: a.opts["full"] == "yes", OutOfMemory: a.opts["no_room"] == "yes"}
		for range c.Items {
			r.refs++
			o.Refs = append(o.Refs, fmt.Sprint("ref", r.refs))
		}
		if o.OutOfMemory {
			o.Refs[len(o.Refs)-1] = ""
		}
		r.sched.Finish(now, c, o)
	case "freed":
		r.sched.Released(a.word(1), a.words[2:])
	case "drop":
		r.sched.RemoveRequest(a.word(1))
	case "expired":
		return want("expired", itemNames(r.sched.RemoveExpired(now)), strings.Join(a.words[1:], " "))
	case "place":
		return w.place(a)
	default:
		return fmt.Errorf("batch: unknown word %q", a.word(0))
	}
	return nil
}

// place reads pools of the form zone=servers:items.
func (w *world) place(a *args) error {
	var choices []batch.Candidate
	for _, z := range slices.Sorted(mapKeys(a.opts)) {
		if !strings.HasPrefix(z, "z") {
			continue
		}
		var l batch.Load
		if _, err := fmt.Sscanf(a.opts[z], "%d:%d", &l.Endpoints, &l.Items); err != nil {
			return fmt.Errorf("pool %s: %w", z, err)
		}
		choices = append(choices, batch.Candidate{Zone: z, Load: l})
	}
	got, ok := batch.ChooseZone(&scriptBatch, choices, a.opts["want"], a.int("n", 1), int64(a.int("bytes", 0)))
	if !ok {
		got = "none"
	}
	return want("zone", got, a.word(1))
}

func mapKeys(m map[string]string) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// itemNames counts items by request, in the order of their first.
func itemNames(items []*batch.Item) string {
	var order []string
	n := make(map[string]int)
	for _, it := range items {
		if n[it.Request] == 0 {
			order = append(order, it.Request)
		}
		n[it.Request]++
	}
	out := make([]string, 0, len(order))
	for _, r := range order {
		out = append(out, fmt.Sprintf("%s:%d", r, n[r]))
	}
	return strings.Join(out, " ")
}

func groupCmd(w *world, a *args) error {
	r, now := &w.relay, w.clock.Now()
	if r.groups == nil {
		r.groups = make(map[string]*peer.Group)
	}
	name := a.word(1)
	g := r.groups[name]
	member := func(i int) peer.Member {
		id, zone, _ := strings.Cut(a.word(i), "@")
		return peer.Member{Instance: id, Zone: zone, Addr: "10.0.0.1:" + id}
	}
	switch a.word(0) {
	case "new":
		id, zone, _ := strings.Cut(name, "@")
		r.groups[id] = &peer.Group{Self: peer.Member{Instance: id, Zone: zone}, ExpectedSize: a.int("expect", 1), Started: now}
	case "up":
		for i := 2; i < len(a.words); i++ {
			g.MarkUp(now, member(i), a.opts["leaving"] == "yes")
		}
	case "heard":
		g.Observe(now, member(2))
	case "down":
		g.MarkDown(a.word(2))
	case "leave":
		g.Leave()
	case "expire":
		g.Expire(now)
	case "size":
		return want("size", g.Size(now), a.int("is", 0))
	case "owner":
		return want("owner", g.Owner(a.opt("key", "s"), a.opts["zone"]).Instance, a.word(2))
	case "agree":
		first := g.Owner(a.opt("key", "s"), a.opts["zone"]).Instance
		for _, other := range a.words[2:] {
			if err := want("owner at "+other, r.groups[other].Owner(a.opt("key", "s"), a.opts["zone"]).Instance, first); err != nil {
				return err
			}
		}
	default:
		return fmt.Errorf("group: unknown word %q", a.word(0))
	}
	return nil
}

// shareCmd adds up the shares of all members.
func shareCmd(_ *world, a *args) error {
	sum := 0
	for rank := range a.int("size", 1) {
		sum += quota.Share(float64(a.int("limit", 0)), a.int("size", 1), rank)
	}
	return want("sum of shares", sum, a.int("sum", 0))
}

// eventsCmd reads a stream from a file of the script and names its events.
func eventsCmd(_ *world, a *args) error {
	raw := strings.ReplaceAll(a.ts.ReadFile(a.word(0)), "$", "")
	r := event.Reader{R: bufio.NewReaderSize(strings.NewReader(raw), 16), LastID: int64(a.int("after", -1))}
	var got []string
	for {
		_, id, err := r.Next()
		var order *event.OrderError
		switch {
		case errors.Is(err, io.EOF):
			return want("events", strings.Join(append(got, "end"), " "), strings.Join(a.words[1:], " "))
		case errors.Is(err, io.ErrUnexpectedEOF):
			return want("events", strings.Join(append(got, "cut"), " "), strings.Join(a.words[1:], " "))
		case errors.As(err, &order):
			return want("events", strings.Join(append(got, "disorder"), " "), strings.Join(a.words[1:], " "))
		case err != nil:
			return err
		}
		got = append(got, fmt.Sprint(id))
	}
}
