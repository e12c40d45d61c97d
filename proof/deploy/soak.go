package deploy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/fakes/site"
)

const (
	soakRelayCount    = 3
	soakEventTime     = 60 * time.Millisecond  // between two events of a stream, so that many are in flight when a relay is killed
	meanFaultInterval = 250 * time.Millisecond // mean time between faults
	maxFaultDuration  = 2 * time.Second
	rewriteDelay      = 500 * time.Millisecond // from the restore of the store until what was lost is written again
	entryRemovalDelay = 700 * time.Millisecond // from the crash of an endpoint to the removal of its store entry
	faultFreeTime     = 3 * time.Second        // load without faults at the end of a run
	recoveryTimeout   = 20 * time.Second       // from the last fault until every route is served
	minPause          = 500 * time.Millisecond // of a sound endpoint, in a response
	maxPause          = 2500 * time.Millisecond
	poisonRepeats     = 10                     // of a request that crashes endpoints
	poisonGap         = 150 * time.Millisecond // between them
	relayEndTimeout   = 5 * time.Second        // from the signal to the end of the process
)

// Soak is a run under load with overlapping faults, which the seed determines.
type Soak struct {
	Seed     uint64
	Duration time.Duration // time with faults
	Rate     float64       // requests per second
	Dir, Bin string
	Logf     func(format string, args ...any) // reports each fault
}

// soakRun is the state of a running soak.
type soakRun struct {
	Soak
	dep          *Deployment
	rng          *rand.Rand
	ctx          context.Context
	pending      chan func() error // steps that end faults, run by injectFaults when due
	ending       map[string]bool   // relays that got a signal to end and haven't been restarted
	version      int               // version of the last published configuration
	release      int               // number of the last released version
	lastEndpoint int               // number in the ID of the last replacement endpoint
	oddEntries   int               // number of entries of other writers so far
	interrupted  interruptions
	slowStops    []*slowStop
	removals     []removal
	losing       bool      // all relays will get SIGKILL once none is ending
	calmUntil    time.Time // until then faults that excuse late requests are held back

	end      time.Time                // of the faults
	stallRNG *rand.Rand               // of standstills and idle limits
	stalls   int                      // number of standstills so far
	ends     map[string][]*processEnd // by relay

	mu         sync.Mutex
	halfClosed []string              // callers that closed their sending side and got no response; guarded by mu
	idleLimit  time.Duration         // of the last published configuration; guarded by mu
	idleLimits map[int]time.Duration // by version of the configuration; guarded by mu
	idleCalls  []*idleCall           // guarded by mu
	callers    sync.WaitGroup
}

// Run runs the soak and returns its verdict. It returns an error if the run could
// not be carried out, a relay failed to stop in order, or some route is not served
// after the faults.
func (s Soak) Run(ctx context.Context) (*Verdict, error) {
	st, err := site.StartStandard()
	if err != nil {
		return nil, err
	}
	for _, e := range st.Endpoints() {
		if e.Kind == site.KindEngine {
			e.WorkTime = soakEventTime
		}
	}
	d := &Deployment{Site: st, Dir: s.Dir, Bin: s.Bin}
	v, err := s.run(ctx, d)
	return v, errors.Join(err, d.Stop())
}

func (s Soak) run(ctx context.Context, d *Deployment) (*Verdict, error) {
	zones := site.StandardZones()
	for i := range soakRelayCount {
		r, err := d.StartRelay(fmt.Sprint("relay-", i), zones[i%len(zones)])
		if err != nil {
			return nil, err
		}
		if err := d.AwaitReady(ctx, r); err != nil {
			return nil, err
		}
	}
	d.client.MaxIdleConnDuration = minIdleLimit / 2 // whatever limit is in force, callers go by a smaller one
	replies := make(chan []*Reply, 1)
	go func() {
		replies <- d.SendLoad(ctx, Load{Rate: s.Rate, Duration: s.Duration + faultFreeTime, Seed: s.Seed})
	}()
	sr := &soakRun{
		Soak: s, dep: d, rng: rand.New(rand.NewPCG(s.Seed, 1)), ctx: ctx, pending: make(chan func() error, 1<<10),
		ending: make(map[string]bool), version: 1, end: time.Now().Add(s.Duration), stallRNG: rand.New(rand.NewPCG(s.Seed, 2)),
		ends: make(map[string][]*processEnd), idleLimit: defaultIdleLimit, idleLimits: make(map[int]time.Duration),
	}
	if err := sr.injectFaults(); err != nil {
		return nil, err
	}
	all := <-replies
	if err := sr.awaitRecovery(); err != nil {
		return nil, err
	}
	sr.callers.Wait()
	v := d.Verify(slices.Concat(sr.slowReplies(), sr.idleReplies(), all))
	v.Unanswered = append(sr.interrupted.unanswered(all), sr.halfClosed...)
	for _, s := range sr.slowStops {
		unserved, err := sr.unserved(s)
		if err != nil {
			return nil, err
		}
		v.Unanswered = append(v.Unanswered, unserved...)
	}
	v.LateRequests = sr.lateRequests()
	lost, err := sr.lostIdleCalls()
	v.Unanswered = append(v.Unanswered, lost...)
	return v, err
}

// injectFaults injects faults for the duration of the run and waits until all have
// ended.
func (sr *soakRun) injectFaults() error {
	sr.schedule(0, sr.stallRelays)
	for time.Now().Before(sr.end) {
		next := time.After(time.Duration(sr.rng.ExpFloat64() * float64(meanFaultInterval)))
		for waiting := true; waiting; {
			select {
			case f := <-sr.pending:
				if err := f(); err != nil {
					return err
				}
			case <-next:
				waiting = false
			}
		}
		if err := sr.injectFault(); err != nil {
			return err
		}
	}
	// All steps that end faults are due within this time.
	last := time.After(maxFaultDuration + entryRemovalDelay + relayEndTimeout)
	for waiting := true; waiting; {
		select {
		case f := <-sr.pending:
			if err := f(); err != nil {
				return err
			}
		case <-last:
			waiting = false
		}
	}
	return nil
}

// schedule runs f after a delay, in the goroutine of injectFaults.
func (sr *soakRun) schedule(after time.Duration, f func() error) {
	time.AfterFunc(after, func() { sr.pending <- f })
}

func (sr *soakRun) randomDuration() time.Duration {
	return time.Duration(sr.rng.Int64N(int64(maxFaultDuration)))
}

// injectFault injects one random fault.
func (sr *soakRun) injectFault() error {
	switch sr.rng.IntN(26) {
	case 0, 1, 2:
		return sr.failResponses()
	case 3:
		return sr.crashEndpoint()
	case 4:
		return sr.removeEndpoint()
	case 5:
		return sr.failStore()
	case 6:
		return sr.endRelay()
	case 7:
		return sr.pauseRelay()
	case 8:
		return sr.publishConfig()
	case 9:
		return sr.limitRate()
	case 10:
		return sr.sayLeaving()
	case 11:
		return sr.closeEndpoint()
	case 12:
		return sr.restoreStore()
	case 13:
		return sr.releaseVersion()
	case 14:
		return sr.poisonPart()
	case 15:
		return sr.poisonRequest()
	case 16:
		sr.halfClose()
		return nil
	case 17:
		sr.putOddEntry()
		return nil
	case 18, 19:
		return sr.stopBesideSlowCallers()
	case 20:
		return sr.returnWithOtherVersion()
	case 21:
		return sr.removeAfterOutage()
	case 22:
		return sr.loseRelays()
	case 23:
		return sr.stopsInARow()
	case 24:
		sr.copyResponses()
		return nil
	default:
		return sr.drainZone()
	}
}

func (sr *soakRun) randomEndpoint() *site.Endpoint {
	all := sr.sortedEndpoints()
	return all[sr.rng.IntN(len(all))]
}

func (sr *soakRun) failResponses() error {
	faults := []site.Fault{
		site.FaultLost, site.FaultTruncated, site.FaultDuplicate, site.FaultShed, site.FaultError, site.FaultUnsigned, site.FaultWrongID, site.FaultHang,
		site.FaultEndless, site.FaultPause,
	}
	e, f, n := sr.randomEndpoint(), faults[sr.rng.IntN(len(faults))], 1+sr.rng.IntN(3)
	sr.Logf("%s: fault in the next %d responses: %s", e.ID, n, f)
	if f == site.FaultPause {
		e.SetPause(minPause + time.Duration(sr.rng.Int64N(int64(maxPause-minPause))))
	}
	e.InjectFault(f, n)
	return nil
}

// crashEndpoint ends an endpoint without notice. Its store entry is removed, and a
// replacement started, only after a delay.
func (sr *soakRun) crashEndpoint() error {
	e := sr.randomEndpoint()
	sr.Logf("endpoint %s crashes", e.ID)
	err := sr.dep.Site.CrashEndpoint(e.ID)
	sr.schedule(entryRemovalDelay, func() error {
		sr.dep.Site.Deregister(e.ID)
		return sr.startReplacement(e)
	})
	return err
}

// startReplacement starts an endpoint that has a new ID and is otherwise like e.
func (sr *soakRun) startReplacement(e *site.Endpoint) error {
	spec := e.Spec
	sr.lastEndpoint++
	spec.ID = fmt.Sprintf("%s-%d", spec.Service, sr.lastEndpoint)
	_, err := sr.dep.Site.StartEndpoint(spec)
	return err
}

// removeEndpoint starts a replacement, marks an endpoint as draining and removes
// its store entry later.
func (sr *soakRun) removeEndpoint() error {
	e := sr.randomEndpoint()
	sr.Logf("endpoint %s is draining", e.ID)
	if err := sr.startReplacement(e); err != nil {
		return err
	}
	err := sr.dep.Site.Register(e.ID, "draining")
	sr.schedule(maxFaultDuration, func() error {
		sr.dep.Site.Deregister(e.ID)
		return nil
	})
	return err
}

// failStore makes the store unavailable for a while. In some cases it also compacts
// the history, so that relays can't resume their watch.
func (sr *soakRun) failStore() error {
	outages := []site.Outage{site.OutageBusy, site.OutageDown, site.OutageHang}
	o, d := outages[sr.rng.IntN(len(outages))], sr.randomDuration()
	compact := sr.rng.IntN(3) == 0
	if sr.isCalm() {
		return nil
	}
	sr.Logf("store outage: %s for %s", o, d)
	endOutage := sr.beginOutage(o)
	sr.schedule(d, func() error {
		if compact {
			sr.dep.Site.Store.Compact()
		}
		endOutage()
		return nil
	})
	return nil
}

// limitRate makes an endpoint name a limit for a while.
func (sr *soakRun) limitRate() error {
	rates := []string{"0", "0.5", "3", "20"}
	e, rate, d := sr.randomEndpoint(), rates[sr.rng.IntN(len(rates))], sr.randomDuration()
	sr.Logf("%s names a limit of %s requests per second for %s", e.ID, rate, d)
	e.LimitRate(rate)
	sr.schedule(d, func() error {
		e.LimitRate("")
		return nil
	})
	return nil
}

// sayLeaving starts a replacement and makes an endpoint say in its responses that it
// leaves, before the store does.
func (sr *soakRun) sayLeaving() error {
	e := sr.randomEndpoint()
	sr.Logf("%s says that it leaves", e.ID)
	e.Leave()
	err := sr.startReplacement(e)
	sr.schedule(maxFaultDuration, func() error {
		sr.dep.Site.Deregister(e.ID)
		return nil
	})
	return err
}

// closeEndpoint makes an endpoint reject a few requests and name a retry delay.
func (sr *soakRun) closeEndpoint() error {
	e, n := sr.randomEndpoint(), 1+sr.rng.IntN(3)
	seconds := fmt.Sprintf("%.1f", sr.randomDuration().Seconds())
	sr.Logf("%s rejects %d requests and wants none for %s s", e.ID, n, seconds)
	e.CloseFor(seconds, n)
	return nil
}

// restoreStore takes a copy of the store and brings it back later. What is written
// between is written again a moment after that.
func (sr *soakRun) restoreStore() error {
	d := sr.randomDuration()
	if sr.isCalm() {
		return nil
	}
	sr.Logf("the store is restored from a copy that is %s old", d)
	store := &sr.dep.Site.Store
	store.Copy()
	sr.schedule(d, func() error {
		rewritten := sr.interrupted.begin(storeName, false)
		lost := store.Restore()
		sr.schedule(rewriteDelay, func() error {
			for _, it := range lost {
				if it.Removed {
					store.Delete(it.Key)
				} else {
					store.Put(it.Key, it.Value)
				}
			}
			rewritten()
			return nil
		})
		return nil
	})
	return nil
}

// releaseVersion starts engines of another software version beside the present ones.
func (sr *soakRun) releaseVersion() error {
	sr.release++
	version := fmt.Sprint("v1.", sr.release)
	sr.Logf("engines of version %s start", version)
	for _, zone := range site.StandardZones() {
		if err := sr.dep.Site.StartEngine(fmt.Sprintf("engine-%d-%s", sr.release, zone), zone, version, soakEventTime); err != nil {
			return err
		}
	}
	return nil
}

// poisonPart makes a prompt part that many requests share crash engines for a while.
func (sr *soakRun) poisonPart() error {
	part, d := promptPrefix(sr.rng), sr.randomDuration()
	sr.Logf("prompt part %s crashes engines for %s", part, d)
	sr.dep.Site.PoisonPromptPart(part)
	sr.schedule(d, func() error {
		sr.dep.Site.PoisonPromptPart("")
		return nil
	})
	return nil
}

// poisonRequest sends a request that crashes endpoints to relays again and again.
func (sr *soakRun) poisonRequest() error {
	uri, body := fmt.Sprint("/plain/poison-", sr.rng.Uint32()), "poison"
	sr.Logf("request %s crashes endpoints", uri)
	sr.dep.Site.PoisonRequest(uri, body)
	for n := range poisonRepeats {
		r := sr.randomRelay()
		sr.schedule(time.Duration(n)*poisonGap, func() error {
			go sendPoison(r, uri, body)
			return nil
		})
	}
	return nil
}

// sendPoison sends a request whose response doesn't matter.
func sendPoison(r *Relay, uri, body string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + r.Settings.HTTP.Listen + uri)
	req.UseHostHeader = true
	req.Header.SetHost(site.StandardHost)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString(body)
	site.Call{AttemptID: fmt.Sprint(uri, time.Now().UnixNano()), APIKey: site.StandardKey, Deadline: requestDeadline}.SetHeaders(&req.Header)
	_ = fasthttp.DoTimeout(req, resp, requestDeadline) // it crashes the endpoint that runs it
}

func (sr *soakRun) randomRelay() *Relay { return sr.dep.Relays[sr.rng.IntN(len(sr.dep.Relays))] }

// halfClose sends a request whose caller closes its sending side while it waits.
func (sr *soakRun) halfClose() {
	routes := Routes()
	r, uri, delay := sr.randomRelay(), fmt.Sprintf("%shalf-%d", routes[sr.rng.IntN(len(routes))].Prefix, sr.rng.Uint32()), time.Duration(sr.rng.Int64N(int64(maxHalfCloseDelay)))
	sr.Logf("the caller of %s closes its sending side after %s", uri, delay)
	sr.callers.Go(func() {
		startedAt := time.Now()
		if err := callHalfClosed(r, uri, uri, delay); err != nil && !sr.interrupted.excuses(r.Name, startedAt, time.Now()) {
			sr.mu.Lock()
			defer sr.mu.Unlock()
			sr.halfClosed = append(sr.halfClosed, err.Error())
		}
	})
}

// putOddEntry writes an entry that names no endpoint among those of the endpoints, and
// removes it later.
func (sr *soakRun) putOddEntry() {
	values := site.OddEntries()
	n := sr.rng.IntN(len(values))
	sr.oddEntries++
	id := fmt.Sprint("odd-", sr.oddEntries)
	sr.Logf("another writer leaves entry %s with odd value %d", id, n)
	sr.dep.Site.PutEntry(id, values[n])
	sr.schedule(sr.randomDuration(), func() error {
		sr.dep.Site.Deregister(id)
		return nil
	})
}

// endRelay sends SIGKILL or SIGTERM to a relay and starts it again once it has ended.
func (sr *soakRun) endRelay() error {
	r, sig := sr.randomRelay(), syscall.SIGKILL
	if sr.rng.IntN(2) == 0 {
		sig = syscall.SIGTERM
	}
	if sr.isCalm() && sig == syscall.SIGKILL || !sr.mayEnd(r) {
		return nil
	}
	return sr.signalEnd(r, sig)
}

// mayEnd reports whether a relay is ready, not ending and not about to be lost. SIGTERM makes one that isn't
// ready exit with an error, which is correct but would fail the run.
func (sr *soakRun) mayEnd(r *Relay) bool {
	return !sr.losing && !sr.ending[r.Name] && r.Proc().Running() && r.Ready()
}

// relayThatMayEnd returns the first relay from a number on for which mayEnd is true, or nil.
func (sr *soakRun) relayThatMayEnd(first int) *Relay {
	for i := range soakRelayCount {
		if r := sr.dep.Relays[(first+i)%soakRelayCount]; sr.mayEnd(r) {
			return r
		}
	}
	return nil
}

// signalEnd sends a signal to a relay and starts it again once it has ended.
func (sr *soakRun) signalEnd(r *Relay, sig syscall.Signal) error {
	sr.ending[r.Name] = true
	restarted := sr.interrupted.begin(r.Name, sig == syscall.SIGTERM)
	sr.Logf("%s gets %s", r.Name, sig)
	ended := &processEnd{signalledAt: time.Now(), sig: sig}
	sr.ends[r.Name] = append(sr.ends[r.Name], ended)
	if err := errors.Join(r.Proc().Signal(syscall.SIGCONT), r.Proc().Signal(sig)); err != nil {
		return err
	}
	go func() {
		err := r.Proc().Wait(relayEndTimeout)
		sr.pending <- func() error {
			if sig == syscall.SIGTERM && err != nil {
				return fmt.Errorf("%s failed to stop after SIGTERM: %w", r.Name, err)
			}
			ended.goneAt = time.Now()
			delete(sr.ending, r.Name)
			sr.dep.client.CloseIdleConnections() // a request on one of the ended relay could not be told from one that it has read
			if _, err := sr.dep.StartRelay(r.Name, r.Settings.Zone); err != nil {
				return err
			}
			go func() {
				_ = sr.dep.AwaitReady(sr.ctx, r) // it may have been ended again
				restarted()
			}()
			return nil
		}
	}()
	return nil
}

// pauseRelay stops a relay with SIGSTOP and resumes it later. It does nothing if the
// relay is ending, as the pause would delay the end beyond its timeout.
func (sr *soakRun) pauseRelay() error {
	r, d := sr.randomRelay(), sr.randomDuration()
	if sr.isCalm() || sr.ending[r.Name] || !r.Proc().Running() {
		return nil
	}
	sr.Logf("%s is paused for %s", r.Name, d)
	resumed := sr.interrupted.begin(r.Name, false)
	_ = r.Proc().Signal(syscall.SIGSTOP) // fails only if the process has ended
	sr.schedule(d, func() error {
		_ = r.Proc().Signal(syscall.SIGCONT) // fails only if the process has ended
		resumed()
		return nil
	})
	return nil
}

func (sr *soakRun) publishConfig() error {
	sr.version += sr.rng.IntN(3)
	return sr.publishNext()
}

// publishNext publishes the configuration under the next version.
func (sr *soakRun) publishNext() error {
	sr.version++
	sr.Logf("configuration version %d is published", sr.version)
	return sr.dep.Site.PublishConfig(sr.config(sr.version))
}

func (sr *soakRun) drainZone() error {
	zones := site.StandardZones()
	z, d := zones[sr.rng.IntN(len(zones))], sr.randomDuration()
	sr.Logf("zone %s is drained for %s", z, d)
	sr.dep.Site.DrainZone(z)
	sr.schedule(d, func() error {
		sr.dep.Site.RestoreZone(z)
		return nil
	})
	return nil
}

// awaitRecovery clears the faults of all endpoints and waits until all relays are
// ready and a load of one second over all relays gets a response with status 200 on
// every route.
func (sr *soakRun) awaitRecovery() error {
	sr.dep.Site.PoisonPromptPart("")
	sr.dep.Site.PoisonRequest("", "")
	for _, e := range sr.dep.Site.Endpoints() {
		e.InjectFault("", 0)
		e.CloseFor("", 0)
	}
	for _, r := range sr.dep.Relays {
		if err := sr.dep.AwaitReady(sr.ctx, r); err != nil {
			return err
		}
	}
	end := time.Now().Add(recoveryTimeout)
	for n := uint64(0); ; n++ {
		served := make(map[string]int)
		for _, r := range sr.dep.SendLoad(sr.ctx, Load{Rate: 100, Duration: time.Second, Seed: sr.Seed + 1_000_000 + n}) {
			if r.Status == 200 {
				served[r.Route.Prefix]++
			}
		}
		if len(served) == len(Routes()) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("after all faults have ended, only these routes are served (responses by prefix): %v", served)
		}
	}
}

// RemoveDir removes the directory with settings and logs unless the run failed.
func (s Soak) RemoveDir(failed bool) {
	if !failed {
		_ = os.RemoveAll(s.Dir) // if this fails, only settings and logs are left
	}
}
