// Package guard keeps requests away from endpoints that crash those which run them. It
// notices crashes, and shares what it learns with the other relays.
package guard

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/poison"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/pool"
	"wigeonplank.example/relay/stats"
)

const (
	// probeTimeout bounds the attempt to connect to an endpoint whose connections broke.
	// A crashed endpoint's instance refuses at once.
	probeTimeout = 300 * time.Millisecond
	// announceDelay is the time for which crashes that this relay finds, and good ends, are
	// collected before others are told; forwardDelay that for what it hears of others.
	announceDelay = 30 * time.Millisecond
	forwardDelay  = 100 * time.Millisecond
	// maxCrashes is the number of endpoints that crash within crashPeriod, as far as this
	// relay notices, up to which all that they ran is suspect. If more crash, the cause is
	// something that they share, such as their power or a part of their requests.
	maxCrashes  = 3
	crashPeriod = 250 * time.Millisecond
)

// Run is a request at an endpoint.
type Run struct {
	Endpoint *fleet.Endpoint
	Suspects []poison.Suspect
	BeganAt  time.Time // when it was sent
}

// Guard decides which requests may be sent to endpoints. Set the exported fields before
// use. It is safe for concurrent use.
type Guard struct {
	View     func() *fleet.View
	Rank     func(key string) int    // position of this relay in an order of all relays that depends only on key
	Announce func()                  // sends a heartbeat, with what has changed, on all links now
	OnCrash  func(e *fleet.Endpoint) // called when a crash was found
	Clock    clock.Clock
	Log      *logs.Logger
	Meters   *stats.Meters
	Pool     *pool.Pool

	verdicts atomic.Pointer[poison.Verdicts] // as of table

	mu         sync.Mutex
	table      poison.Table
	probes     map[*fleet.Endpoint]*probe
	crashed    []*probe // that found a crash which isn't recorded yet
	recent     []*probe // that found a crash which was recorded within crashPeriod
	announcing bool     // announceSoon was called, and other relays are told later
	forwarding bool     // the same for forwardSoon
}

// probe finds out whether an endpoint has crashed.
type probe struct {
	runs       []Run
	brokenAt   time.Time
	recordedAt time.Time
	crashed    bool          // may be read once done is closed
	done       chan struct{} // closed once the crash, if it was one, is recorded
}

// Decision tells whether a request may be sent to an endpoint.
type Decision struct {
	Trial      bool          // the request is sent although a subject of it is quarantined
	Rejected   bool          // the request must not be sent
	RetryAfter time.Duration // if it is rejected: time until the next trial
	Reason     string        // if it is rejected
}

// Admit decides about a request with the given subjects.
func (g *Guard) Admit(suspects []poison.Suspect) Decision {
	held, sendAt := g.current().Check(suspects, func(s poison.Subject) int { return g.Rank(subjectName(s)) })
	if len(held) == 0 {
		return Decision{}
	}
	now := g.Clock.Now()
	if !now.Before(sendAt) && g.beginTrial(now, held) {
		return Decision{Trial: true}
	}
	g.Meters.RecordQuarantined(string(held[0].Subject.Kind))
	return Decision{Rejected: true, RetryAfter: max(0, sendAt.Sub(now)), Reason: reason(held[0])}
}

// beginTrial reports whether a request with subjects that are held back may be sent as a trial of
// them, and tells the other relays.
func (g *Guard) beginTrial(now time.Time, held []poison.Quarantine) bool {
	g.mu.Lock()
	ok := g.table.BeginTrial(now, held)
	g.publish()
	g.mu.Unlock()
	if ok {
		for _, q := range held {
			g.Log.Event(logs.QuarantineTrial).Str("subject", subjectName(q.Subject)).Msg("")
		}
		g.Announce()
	}
	return ok
}

// current returns the verdicts that Admit uses.
func (g *Guard) current() *poison.Verdicts {
	if v := g.verdicts.Load(); v != nil {
		return v
	}
	return &poison.Verdicts{}
}

// publish makes the verdicts of the table those that Admit uses. It logs what has changed. The
// caller holds g.mu.
func (g *Guard) publish() {
	before, now := g.current(), g.table.Verdicts()
	g.verdicts.Store(now)
	for s, q := range now.Probations {
		if !before.Holds(s) {
			g.Log.Event(logs.OnProbation).Str("subject", subjectName(s)).Strs("endpoints", endpointsOf(q.Crashes)).Int("crashes", len(q.Crashes)).Msg("")
		}
	}
	for s, q := range now.Quarantines {
		if old, known := before.Quarantines[s]; !known || !slices.Equal(old.With, q.With) {
			g.Log.Event(logs.Quarantined).Str("subject", subjectName(s)).Strs("with", idNames(q.With)).Strs("endpoints", endpointsOf(q.Crashes)).
				Int("crashes", len(q.Crashes)).Dur("pause_ms", q.TrialAt.Sub(g.Clock.Now())).Msg("")
		}
	}
	for _, list := range []map[poison.Subject]poison.Quarantine{before.Probations, before.Quarantines} {
		for s := range list {
			if !now.Holds(s) {
				g.Log.Event(logs.QuarantineEnded).Str("subject", subjectName(s)).Msg("")
			}
		}
	}
}

func endpointsOf(crashes []poison.Crash) []string {
	out := make([]string, 0, len(crashes))
	for _, c := range crashes {
		out = append(out, c.Endpoint)
	}
	return out
}

// reason tells why requests with a quarantined subject are rejected.
func reason(q poison.Quarantine) string {
	const layout = "15:04:05.000"
	if len(q.Crashes) == 0 {
		return subjectName(q.Subject) + " crashed endpoints"
	}
	first, last := q.Crashes[0], q.Crashes[len(q.Crashes)-1]
	return fmt.Sprintf("%s crashed endpoints %s between %s and %s", subjectName(q.Subject), strings.Join(endpointsOf(q.Crashes), ", "),
		first.At.UTC().Format(layout), last.At.UTC().Format(layout))
}

// subjectName returns the name of a subject in logs and reasons.
func subjectName(s poison.Subject) string {
	return strings.ReplaceAll(string(s.Kind), "_", " ") + " " + idName(s.ID)
}

func idName(id uint64) string { return strconv.FormatUint(id, 16) }

func idNames(ids []uint64) []string {
	out := make([]string, 0, len(ids))
	for _, id := range ids {
		out = append(out, idName(id))
	}
	return out
}

// Confinement returns the same number for all requests that should run at the same endpoint, and 0
// if the request may run anywhere.
func (g *Guard) Confinement(suspects []poison.Suspect) uint64 {
	return g.current().Confinement(suspects)
}

// Suspected reports whether a request should not be sent to another endpoint after one
// has crashed under it.
func (g *Guard) Suspected(suspects []poison.Suspect) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Suspected(suspects)
}

// Completed records that a request came to a good end, or that its answer goes on.
func (g *Guard) Completed(suspects []poison.Suspect) {
	g.mu.Lock()
	before := g.table.Version()
	g.table.RecordSound(g.Clock.Now(), suspects)
	if g.table.Version() != before {
		g.publish()
		g.announceSoon()
	}
	g.mu.Unlock()
}

// Broken records that the endpoint of a run broke the connection off. It finds out
// whether the endpoint has crashed, and closes the returned channel then.
func (g *Guard) Broken(run Run) <-chan struct{} { return g.probeFor(run).done }

// Crashed reports whether an endpoint that broke a connection off has crashed. It blocks
// for probeTimeout at most.
func (g *Guard) Crashed(e *fleet.Endpoint) bool {
	p := g.probeFor(Run{Endpoint: e})
	<-p.done
	return p.crashed
}

// ItemCrashed records that items of a stage, alone in their call, crashed an endpoint. The
// request that they belong to is a suspect. run names the request's run of its stages.
func (g *Guard) ItemCrashed(suspects []poison.Suspect, service, run string, beganAt time.Time) {
	now := g.Clock.Now()
	g.mu.Lock()
	g.table.RecordCrash(now, poison.Evidence{
		Suspects: suspects, Crash: poison.Crash{Endpoint: "item of " + run, Service: service, BeganAt: beganAt, At: now},
	})
	g.publish()
	g.announceSoon()
	g.mu.Unlock()
}

// probeFor returns the probe of a run's endpoint, which is begun if there is none.
func (g *Guard) probeFor(run Run) *probe {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.probes[run.Endpoint]
	if p == nil {
		p = &probe{brokenAt: g.Clock.Now(), done: make(chan struct{})}
		if g.probes == nil {
			g.probes = make(map[*fleet.Endpoint]*probe)
		}
		g.probes[run.Endpoint] = p
		go g.probe(run.Endpoint, p)
	}
	p.runs = append(p.runs, run)
	return p
}

// probe records a crash if nothing listens at the endpoint's address any more and the
// endpoint was not about to leave. If the address can't be reached, the endpoint may
// still run: its instance has lost power, or the network is partitioned.
func (g *Guard) probe(e *fleet.Endpoint, p *probe) {
	listed := g.View().Endpoint(e.ID)
	planned := listed == nil || listed.StartUnixMs != e.StartUnixMs || listed.State == fleet.StateDraining
	p.crashed = !planned && g.refuses(e)
	g.mu.Lock()
	delete(g.probes, e)
	if !p.crashed {
		g.mu.Unlock()
		close(p.done)
		return
	}
	g.crashed = append(g.crashed, p)
	g.announceSoon()
	g.mu.Unlock()
	g.OnCrash(e)
	g.Meters.RecordCrash(e.Service)
	g.Log.Event(logs.EndpointCrashed).Str("endpoint", e.ID).Str("service", e.Service).Int("requests_lost", len(p.runs)).Msg("")
}

// announceSoon records the crashes that have been found by then and tells the other
// relays after announceDelay. The caller holds g.mu.
func (g *Guard) announceSoon() {
	if g.announcing {
		return
	}
	g.announcing = true
	time.AfterFunc(announceDelay, func() {
		g.mu.Lock()
		g.announcing = false
		g.recordCrashes()
		g.mu.Unlock()
		g.Announce()
	})
}

// forwardSoon tells the other relays after forwardDelay what this one has heard. The
// caller holds g.mu.
func (g *Guard) forwardSoon() {
	if g.forwarding {
		return
	}
	g.forwarding = true
	time.AfterFunc(forwardDelay, func() {
		g.mu.Lock()
		g.forwarding = false
		g.mu.Unlock()
		g.Announce()
	})
}

// recordCrashes adds the crashes that were found since the last call. The caller holds g.mu.
func (g *Guard) recordCrashes() {
	if len(g.crashed) == 0 {
		return
	}
	now := g.Clock.Now()
	g.recent = slices.DeleteFunc(g.recent, func(p *probe) bool { return now.Sub(p.recordedAt) > crashPeriod })
	for _, p := range g.crashed {
		p.recordedAt = now
		g.recent = append(g.recent, p)
		defer close(p.done)
	}
	isSuspect := g.sharedByRecent()
	var evidence []poison.Evidence
	for _, p := range g.crashed {
		for _, run := range p.runs {
			e := run.Endpoint
			crash := poison.Crash{Endpoint: e.ID, Incarnation: e.StartUnixMs, Service: e.Service, BeganAt: run.BeganAt, At: p.brokenAt}
			shared := slices.DeleteFunc(slices.Clone(run.Suspects), func(s poison.Suspect) bool { return !isSuspect(s.Subject) })
			evidence = append(evidence, poison.Evidence{Suspects: shared, Crash: crash})
		}
	}
	g.crashed = nil
	g.table.RecordCrash(now, evidence...)
	g.publish()
}

// sharedByRecent returns a function that reports whether a subject is suspect after the recent
// crashes. If they are many, it has to have run at most of them: there would be too many others
// to tell other relays of. The caller holds g.mu.
func (g *Guard) sharedByRecent() func(s poison.Subject) bool {
	ran := make(map[*fleet.Endpoint]map[poison.Subject]bool) // what ran at each crashed endpoint
	for _, p := range g.recent {
		for _, run := range p.runs {
			if ran[run.Endpoint] == nil {
				ran[run.Endpoint] = make(map[poison.Subject]bool)
			}
			for _, s := range run.Suspects {
				ran[run.Endpoint][s.Subject] = true
			}
		}
	}
	if len(ran) <= maxCrashes {
		return func(poison.Subject) bool { return true }
	}
	crashes := make(map[poison.Subject]int)
	for _, subjects := range ran {
		for s := range subjects {
			crashes[s]++
		}
	}
	least := poison.MinCoverage * float64(len(ran))
	return func(s poison.Subject) bool { return float64(crashes[s]) >= least }
}

// refuses reports whether an endpoint's address refuses connections. A connection that
// is made takes the place of one that broke.
func (g *Guard) refuses(e *fleet.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	return errors.Is(g.Pool.Check(ctx, e.ID, e.Addr), syscall.ECONNREFUSED)
}

// Name returns the name under which relays share what they know of crashes.
func (g *Guard) Name() string { return "poison" }

// Changes returns what has changed since a version for other relays, and the current
// version.
func (g *Guard) Changes(after int) ([][]byte, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	records, version, err := g.table.Changes(g.Clock.Now(), after)
	if err != nil {
		g.Log.Failure(logs.KnowledgeRejected).Str("kind", g.Name()).Err(err).Msg("")
	}
	return records, version
}

// Merge adds what another relay knows.
func (g *Guard) Merge(from string, records [][]byte) {
	g.mu.Lock()
	before := g.table.Version()
	err := g.table.Merge(g.Clock.Now(), records)
	if g.table.Version() != before {
		g.publish()
		g.forwardSoon()
	}
	g.mu.Unlock()
	if err != nil {
		g.Log.Failure(logs.KnowledgeRejected).Str("kind", g.Name()).Str("from", from).Err(err).Msg("")
	}
}
