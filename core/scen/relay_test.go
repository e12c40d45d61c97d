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
	"wigeonplank.example/core/notice"
	"wigeonplank.example/core/peer"
	"wigeonplank.example/core/pick"
	"wigeonplank.example/core/prompt"
	"wigeonplank.example/core/quota"
)

// relayState is the state of the commands that drive a relay's decisions.
type relayState struct {
	view     fleet.View
	config   *fleet.Config
	picker   pick.Picker
	sched    batch.Scheduler
	board    prompt.Board
	calls    map[string]*batch.Call // newest call, by endpoint ID
	groups   map[string]*peer.Group // by instance
	refCount int                    // result references given out so far
}

// testBatch describes the endpoints of the service in all scripts.
var testBatch = fleet.Batch{
	Slots: 1, MaxQueued: 2, MaxItems: 4, CallOverhead: 150 * time.Millisecond, ItemTime: 10 * time.Millisecond,
	MemoryBytes: 1000, Retention: 4 * time.Second,
}

func newTestService(name string) *fleet.Service {
	return &fleet.Service{Name: name, Batch: &testBatch, ColdRate: 9, ColdPeriod: 3 * time.Second}
}

// runView implements the command view, which changes and checks the relay's view
// of the endpoints:
//
//	view put ID service=S zone=Z slots=N state=STATE born=MS cold=DURATION version=V
//	                               adds or replaces an endpoint
//	view drop ID...                removes endpoints
//	view lapse ID grace=DURATION   marks an endpoint as missing from the store
//	view drain ZONE...             sets the drained zones
//	view usable ID... service=S    checks the endpoints that may get new work
//	view lapsed ID...              checks the missing endpoints whose grace period is over
func runView(st *scriptState, a *args) error {
	relay, now := &st.relay, st.clock.Now()
	switch a.arg(0) {
	case "put":
		e := &fleet.Endpoint{
			ID: a.arg(1), Service: a.stringOption("service", "s"), Zone: a.stringOption("zone", "z1"), Slots: a.intOption("slots", 4),
			State: fleet.State(a.stringOption("state", "ready")), StartUnixMs: int64(a.intOption("born", 1)),
			Version: a.options["version"],
		}
		if d := a.durationOption("cold", 0); d > 0 {
			e.ColdUntil = now.Add(d)
		}
		relay.view = relay.view.WithChange(fleet.Change{Put: []*fleet.Endpoint{e}})
	case "drop":
		relay.view = relay.view.WithChange(fleet.Change{Remove: a.positional[1:]})
	case "lapse":
		relay.view = relay.view.WithChange(fleet.Change{
			Missing: map[string]time.Time{a.arg(1): now.Add(a.durationOption("grace", time.Second))},
		})
	case "drain":
		zones := make(map[string]bool)
		for _, z := range a.positional[1:] {
			zones[z] = true
		}
		relay.view = relay.view.WithChange(fleet.Change{Drained: zones})
	case "usable":
		return checkEqual("usable endpoints",
			joinEndpointIDs(relay.view.Endpoints(a.stringOption("service", "s"))), strings.Join(a.positional[1:], " "))
	case "lapsed":
		return checkEqual("overdue endpoints", strings.Join(relay.view.Overdue(now), " "), strings.Join(a.positional[1:], " "))
	default:
		return fmt.Errorf("view: unknown subcommand %q", a.arg(0))
	}
	return nil
}

func joinEndpointIDs(list []*fleet.Endpoint) string {
	out := make([]string, 0, len(list))
	for _, e := range list {
		out = append(out, e.ID)
	}
	return strings.Join(out, " ")
}

func (a *args) stringOption(key, defaultValue string) string {
	if v, ok := a.options[key]; ok {
		return v
	}
	return defaultValue
}

// runConfig implements the command config:
//
//	config routes HOST/PREFIX...     sets a configuration with these routes
//	config stages SERVICE[:N]...     checks a route of these stages; a stage may depend on stage N
//	config match HOST PATH ROUTE     checks the route of a request, or none
//
// Service b is the only one that takes stage calls.
func runConfig(st *scriptState, a *args) error {
	relay := &st.relay
	switch a.arg(0) {
	case "routes":
		var parts fleet.Parts
		for _, def := range a.positional[1:] {
			host, prefix, _ := strings.Cut(def, "/")
			parts.Routes = append(parts.Routes, &fleet.Route{
				Name: def, Host: host, Prefix: "/" + prefix, Targets: []fleet.Target{{Service: "s", Weight: 1}},
			})
		}
		cfg, err := fleet.NewConfig(1, 1, fleet.Limits{}, parts)
		relay.config = cfg
		return err
	case "stages":
		route := &fleet.Route{Name: "r", Host: "h", Prefix: "/", Targets: []fleet.Target{{Service: "s"}}}
		for _, def := range a.positional[1:] {
			service, dependency, _ := strings.Cut(def, ":")
			stage := fleet.Stage{Service: service}
			if n, err := strconv.Atoi(dependency); err == nil {
				stage.DependsOn = []int{n}
			}
			route.Stages = append(route.Stages, stage)
		}
		_, err := fleet.NewConfig(1, 1, fleet.Limits{}, fleet.Parts{
			Routes: []*fleet.Route{route}, Services: []*fleet.Service{newTestService("b")},
		})
		return err
	case "match":
		got := "none"
		if route := relay.config.Match(a.arg(1), a.arg(2)); route != nil {
			got = route.Name
		}
		return checkEqual("route", got, a.arg(3))
	}
	return fmt.Errorf("config: unknown subcommand %q", a.arg(0))
}

// runPick implements the command pick, which chooses endpoints of service s:
//
//	pick choose ID|none|any zone=Z not=ID,... prompt=TEXT version=V begin=no
//	                                     checks the choice, unless it may be any, and starts a request there
//	pick begin ID                        starts a request at an endpoint
//	pick end ID good|full|failed|none    ends a request with a result; born=MS: of that incarnation
//	pick unreachable ID                  records that no connection could be made
//	pick report ID running=N waiting=N   applies a load report
//	pick suspect ID yes|no               checks whether an endpoint is suspect
//	pick limit ID RATE|none sent=D       records that an endpoint named a limit, or none, in its response to a
//	                                     request that was sent D ago
//	pick closed ID D                     records that an endpoint rejected a request and wants none for D
//	pick leaving ID told|heard           records that an endpoint said that it leaves
//	pick opens D|never                   checks when the limit of an endpoint allows the next request
//	pick sole ID yes|no                  starts a request as the only sender, and checks whether it is admitted
//
// The option cold_share of any of them is how many requests in a second this
// relay may send to a cold endpoint; of is the number of relays that share limits,
// and rank the position of this one.
func runPick(st *scriptState, a *args) error {
	relay, now := &st.relay, st.clock.Now()
	svc := newTestService("s")
	relay.picker.ColdShare = func(*fleet.Service, *fleet.Endpoint) int { return a.intOption("cold_share", 2) }
	relay.picker.LimitShare = func(_ *fleet.Endpoint, requests int) int {
		return quota.Share(float64(requests), a.intOption("of", 1), a.intOption("rank", 0))
	}
	switch a.arg(0) {
	case "limit":
		var rate *float64
		if a.arg(2) != "none" {
			r, err := strconv.ParseFloat(a.arg(2), 64)
			if err != nil {
				return err
			}
			rate = &r
		}
		e := relay.view.Endpoint(a.arg(1))
		relay.picker.RecordNotice(notice.Entry{
			Endpoint: e.ID, Incarnation: int64(a.intOption("born", int(e.StartUnixMs))),
			Notice: notice.Response{RateLimit: rate, SentAt: now.Add(-a.durationOption("sent", 0)), ReceivedAt: now}.Notice(),
		})
	case "closed":
		d, err := time.ParseDuration(a.arg(2))
		if err != nil {
			return err
		}
		e := relay.view.Endpoint(a.arg(1))
		relay.picker.RecordNotice(notice.Entry{
			Endpoint: e.ID, Incarnation: e.StartUnixMs, Notice: notice.Response{ClosedFor: d, SentAt: now, ReceivedAt: now}.Notice(),
		})
	case "leaving":
		e := relay.view.Endpoint(a.arg(1))
		relay.picker.RecordNotice(notice.Entry{
			Endpoint: e.ID, Incarnation: e.StartUnixMs, Notice: notice.Notice{}.WithTime(now).WithLeaving(notice.Leaving(a.arg(2))).WithSource(a.options["from"]),
		})
	case "opens":
		got := "never"
		if c := relay.picker.Pick(now, svc, relay.view.Endpoints("s"), pick.Criteria{}); !c.OpensAt.IsZero() {
			got = c.OpensAt.Sub(now).String()
		}
		return checkEqual("opens", got, a.arg(1))
	case "sole":
		return checkEqual("admitted", relay.picker.Begin(now, svc, relay.view.Endpoint(a.arg(1)), true), a.arg(2) == "yes")
	case "choose":
		criteria := pick.Criteria{Zone: a.stringOption("zone", "z1"), Exclude: make(map[string]bool)}
		for _, id := range strings.Split(a.options["not"], ",") {
			criteria.Exclude[id] = true
		}
		if v, ok := a.options["version"]; ok {
			criteria.Version = &v
		}
		if prompt := a.options["prompt"]; prompt != "" {
			criteria.Affinity = xxhash.Sum64String(prompt)
		}
		got := "none"
		if e := relay.picker.Pick(now, svc, relay.view.Endpoints("s"), criteria).Endpoint; e != nil {
			got = e.ID
			if a.options["begin"] != "no" {
				relay.picker.Begin(now, svc, e, false)
			}
		}
		if a.arg(1) == "any" {
			return nil
		}
		return checkEqual("choice", got, a.arg(1))
	case "begin":
		relay.picker.Begin(now, svc, relay.view.Endpoint(a.arg(1)), false)
	case "end":
		e := *relay.view.Endpoint(a.arg(1))
		e.StartUnixMs = int64(a.intOption("born", int(e.StartUnixMs)))
		relay.picker.End(now, &e, pick.Result(a.arg(2)))
	case "unreachable":
		relay.picker.MarkUnreachable(now, relay.view.Endpoint(a.arg(1)))
	case "report":
		relay.picker.RecordLoad(now, relay.view.Endpoint(a.arg(1)), pick.Load{
			Running: a.intOption("running", 0), Waiting: a.intOption("waiting", 0), Slots: 4,
		})
	case "suspect":
		return checkEqual("suspect", relay.picker.IsSuspect(relay.view.Endpoint(a.arg(1)), now), a.arg(2) == "yes")
	default:
		return fmt.Errorf("pick: unknown subcommand %q", a.arg(0))
	}
	return nil
}

// runBatch implements the command batch, which schedules stage items of service
// s. The option pool is the zone of the pool; without it the pool has all zones.
// ITEMS are written as REQUEST:COUNT for each request, in the order of the call:
//
//	batch add REQUEST n=N bytes=N holds=yes zone=Z cross=BYTES due=D give_up=D deadline=D
//	                                     queues items; holds=yes: running them frees memory; cross: bytes that
//	                                     cross zones if they run outside zone; give_up: latest start; each D from now
//	batch next ENDPOINT ITEMS...|none    starts a call and checks it
//	batch done ENDPOINT full=yes no_room=yes
//	                                     ends a call: with results ref1, ref2 and so on, counted over the script;
//	                                     full: it was rejected; no_room: the last result didn't fit in memory
//	batch freed ENDPOINT REF...          releases results
//	batch drop REQUEST                   removes the items of a request
//	batch expired ITEMS...               removes and checks the expired items
//	batch place ZONE|none ...            checks the choice of a pool; see checkPoolChoice
func runBatch(st *scriptState, a *args) error {
	relay, now := &st.relay, st.clock.Now()
	pool := batch.Pool{Service: "s", Zone: a.options["pool"]}
	switch a.arg(0) {
	case "add":
		items := make([]*batch.Item, a.intOption("n", 1))
		for i := range items {
			items[i] = &batch.Item{
				Request: a.arg(1), Index: i, ResultBytes: int64(a.intOption("bytes", 10)),
				FreesMemory: a.options["holds"] == "yes", Zone: a.options["zone"], CrossZoneBytes: int64(a.intOption("cross", 0)),
				EnqueuedAt: now, Due: now.Add(a.durationOption("due", time.Second)),
				StartBy:  now.Add(a.durationOption("give_up", time.Second)),
				Deadline: now.Add(a.durationOption("deadline", 5*time.Second)),
			}
		}
		relay.sched.Add(pool, items...)
	case "next":
		call := relay.sched.Next(now, newTestService("s"), pool, relay.view.Endpoints("s"))
		if call == nil {
			return checkEqual("call", "none", strings.Join(a.positional[1:], " "))
		}
		if relay.calls == nil {
			relay.calls = make(map[string]*batch.Call)
		}
		relay.calls[call.Endpoint.ID] = call
		return checkEqual("call", call.Endpoint.ID+" "+formatItems(call.Items), strings.Join(a.positional[1:], " "))
	case "done":
		call := relay.calls[a.arg(1)]
		outcome := batch.Outcome{Rejected: a.options["full"] == "yes", OutOfMemory: a.options["no_room"] == "yes"}
		for range call.Items {
			relay.refCount++
			outcome.Refs = append(outcome.Refs, fmt.Sprint("ref", relay.refCount))
		}
		if outcome.OutOfMemory {
			outcome.Refs[len(outcome.Refs)-1] = ""
		}
		relay.sched.Finish(now, call, outcome)
	case "freed":
		relay.sched.Released(a.arg(1), a.positional[2:])
	case "drop":
		relay.sched.RemoveRequest(a.arg(1))
	case "expired":
		return checkEqual("expired", formatItems(relay.sched.RemoveExpired(now)), strings.Join(a.positional[1:], " "))
	case "place":
		return st.checkPoolChoice(a)
	default:
		return fmt.Errorf("batch: unknown subcommand %q", a.arg(0))
	}
	return nil
}

// checkPoolChoice implements batch place: it checks which zone's pool gets n
// items whose results, of a size in bytes, are wanted in a zone. Each pool is
// an option with its endpoints and its queued or running items:
//
//	batch place ZONE|none want=ZONE n=N bytes=N ZONE=ENDPOINTS:ITEMS...
func (st *scriptState) checkPoolChoice(a *args) error {
	var candidates []batch.Candidate
	for _, zone := range slices.Sorted(mapKeys(a.options)) {
		if !strings.HasPrefix(zone, "z") {
			continue
		}
		var load batch.Load
		if _, err := fmt.Sscanf(a.options[zone], "%d:%d", &load.Endpoints, &load.Items); err != nil {
			return fmt.Errorf("pool %s: %w", zone, err)
		}
		candidates = append(candidates, batch.Candidate{Zone: zone, Load: load})
	}
	got, ok := batch.ChooseZone(&testBatch, candidates, a.options["want"], a.intOption("n", 1), int64(a.intOption("bytes", 0)))
	if !ok {
		got = "none"
	}
	return checkEqual("zone", got, a.arg(1))
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

// formatItems returns the number of items of each request, in the order in which
// the requests first occur, such as "r2:3 r1:1".
func formatItems(items []*batch.Item) string {
	var order []string
	counts := make(map[string]int)
	for _, it := range items {
		if counts[it.Request] == 0 {
			order = append(order, it.Request)
		}
		counts[it.Request]++
	}
	out := make([]string, 0, len(order))
	for _, request := range order {
		out = append(out, fmt.Sprintf("%s:%d", request, counts[request]))
	}
	return strings.Join(out, " ")
}

// runGroup implements the command group. Each SELF is the instance of a relay
// that has its own view of the members; the key of an owner is s by default:
//
//	group new SELF@ZONE expect=N                   creates a relay's group with the expected size
//	group up SELF INSTANCE@ZONE... leaving=yes     records links to members
//	group heard SELF INSTANCE@ZONE                 records a member that another relay reported
//	group down SELF INSTANCE                       records that no link reaches a member
//	group leave SELF                               records that the relay itself is stopping
//	group expire SELF                              removes members that were unreachable for too long
//	group size SELF is=N                           checks the number of members
//	group owner SELF INSTANCE key=K zone=Z         checks the owner of a key
//	group agree SELF OTHER... key=K zone=Z         checks that all name the same owner
func runGroup(st *scriptState, a *args) error {
	relay, now := &st.relay, st.clock.Now()
	if relay.groups == nil {
		relay.groups = make(map[string]*peer.Group)
	}
	name := a.arg(1)
	g := relay.groups[name]
	parseMember := func(i int) peer.Member {
		id, zone, _ := strings.Cut(a.arg(i), "@")
		return peer.Member{Instance: id, Zone: zone, Addr: "10.0.0.1:" + id}
	}
	key := peer.Key{Name: a.stringOption("key", "s"), Zone: a.options["zone"]}
	switch a.arg(0) {
	case "new":
		id, zone, _ := strings.Cut(name, "@")
		relay.groups[id] = &peer.Group{Self: peer.Member{Instance: id, Zone: zone}, ExpectedSize: a.intOption("expect", 1), Started: now}
	case "up":
		for i := 2; i < len(a.positional); i++ {
			g.MarkUp(now, parseMember(i), a.options["leaving"] == "yes")
		}
	case "heard":
		g.Observe(now, parseMember(2), "another")
	case "down":
		g.MarkDown(now, a.arg(2))
	case "leave":
		g.Leave()
	case "expire":
		g.Expire(now)
	case "size":
		return checkEqual("size", g.Size(now), a.intOption("is", 0))
	case "owner":
		return checkEqual("owner", g.Owner(now, key).Instance, a.arg(2))
	case "agree":
		first := g.Owner(now, key).Instance
		for _, other := range a.positional[2:] {
			if err := checkEqual("owner at "+other,
				relay.groups[other].Owner(now, key).Instance, first); err != nil {
				return err
			}
		}
	default:
		return fmt.Errorf("group: unknown subcommand %q", a.arg(0))
	}
	return nil
}

// runPrompt implements the command prompt, which places requests on model engines
// with memory for 10,000 tokens and 4 slots. A part of a prompt is written as
// NAME:TOKENS; the last one is the request's own:
//
//	prompt place REQUEST ENGINE|any|none PART... on=ENGINE,... out=TOKENS
//	                                     checks the choice, unless it may be any, and starts the request there
//	prompt cached REQUEST ENGINE PART... on=ENGINE,... is=TOKENS
//	                                     as place, and checks how much of the prompt counts as cached
//	prompt start REQUEST                 records the first event
//	prompt end REQUEST                   records the end
//	prompt backlog N                     checks the tokens yet to be read
//	prompt expire                        ends requests whose reports are missing
//	prompt new                           starts with an empty board, as another owner of the pool does
func runPrompt(st *scriptState, a *args) error {
	relay, now := &st.relay, st.clock.Now()
	switch a.arg(0) {
	case "place", "cached":
		r := prompt.Request{ID: a.arg(1), OutputTokens: a.intOption("out", 10)}
		for _, def := range a.positional[3:] {
			name, tokens, _ := strings.Cut(def, ":")
			n, err := strconv.Atoi(tokens)
			if err != nil {
				return err
			}
			r.Parts = append(r.Parts, prompt.Part{ID: xxhash.Sum64String(name), Tokens: n})
			r.PromptTokens += n
		}
		var engines []prompt.Engine
		for _, id := range strings.FieldsFunc(a.options["on"], func(r rune) bool { return r == ',' }) {
			engines = append(engines, prompt.Engine{ID: id, Slots: 4, CacheTokens: 10_000, Incarnation: int64(a.intOption("born", 1))})
		}
		c, ok := relay.board.Place(now, engines, r)
		got := c.Engine.ID
		if !ok {
			got = "none"
		}
		if a.arg(0) == "cached" {
			if err := checkEqual("cached tokens", c.Cached, a.intOption("is", 0)); err != nil {
				return err
			}
		}
		if a.arg(2) == "any" {
			return nil
		}
		return checkEqual("engine", got, a.arg(2))
	case "start":
		relay.board.Start(now, a.arg(1))
	case "end":
		relay.board.End(now, a.arg(1))
	case "backlog":
		return checkEqual("backlog", fmt.Sprint(relay.board.Backlog(now)), a.arg(1))
	case "expire":
		relay.board.Expire(now)
	case "new":
		relay.board = prompt.Board{}
	default:
		return fmt.Errorf("prompt: unknown subcommand %q", a.arg(0))
	}
	return nil
}

// runShare implements the command share, which checks the sum of the shares that
// all members have of a limit:
//
//	share limit=N size=N sum=N
func runShare(_ *scriptState, a *args) error {
	sum := 0
	for rank := range a.intOption("size", 1) {
		sum += quota.Share(float64(a.intOption("limit", 0)), a.intOption("size", 1), rank)
	}
	return checkEqual("sum of shares", sum, a.intOption("sum", 0))
}

// runEvents implements the command events, which reads a stream of events from a
// file of the script and checks the IDs that it reads and how the stream ends:
//
//	events FILE ID... end|cut|disorder after=ID
//
// end is a stream that ends after a whole event, cut one that ends inside an
// event, and disorder an event that isn't the next one. An event without an ID
// is -1. A $ in the file is removed: it marks an empty line.
func runEvents(_ *scriptState, a *args) error {
	raw := strings.ReplaceAll(a.ts.ReadFile(a.arg(0)), "$", "")
	// The buffer is smaller than some lines, so that the reader meets a full one.
	r := event.Reader{R: bufio.NewReaderSize(strings.NewReader(raw), 16), LastID: int64(a.intOption("after", -1))}
	var got []string
	for {
		_, id, err := r.Next()
		var orderErr *event.OrderError
		switch {
		case errors.Is(err, io.EOF):
			return checkEqual("events", strings.Join(append(got, "end"), " "), strings.Join(a.positional[1:], " "))
		case errors.Is(err, io.ErrUnexpectedEOF):
			return checkEqual("events", strings.Join(append(got, "cut"), " "), strings.Join(a.positional[1:], " "))
		case errors.As(err, &orderErr):
			return checkEqual("events", strings.Join(append(got, "disorder"), " "), strings.Join(a.positional[1:], " "))
		case err != nil:
			return err
		}
		got = append(got, fmt.Sprint(id))
	}
}
