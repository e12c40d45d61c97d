package deploy

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"wigeonplank.example/fakes/site"
)

const (
	drainTime       = 2 * time.Second        // default of the relay setting removal.drain_ms
	stableTime      = 3 * time.Second        // default of the relay setting removal.stable_ms
	removalMargin   = 200 * time.Millisecond // for a request to reach its endpoint
	maxRemovalDelay = 500 * time.Millisecond // from the end of an outage to a removal
	maxAwayTime     = 300 * time.Millisecond // from the crash of an endpoint to its return
	maxCopies       = 6                      // of the responses of an endpoint, in a row
	storeName       = "store"                // of the store's interruptions, among those of relays
)

// removal is the removal of an endpoint that keeps running.
type removal struct {
	endpoint    *site.Endpoint
	at          time.Time // when the store ceased to list it
	confirmedAt time.Time // when a stable store has confirmed it
}

// returnWithOtherVersion lets an endpoint crash while the store doesn't respond, and come
// back under its ID with another software version, which the store lists only later.
func (sr *soakRun) returnWithOtherVersion() error {
	outages := []site.Outage{site.OutageDown, site.OutageHang}
	e, o, d, away := sr.randomEndpoint(), outages[sr.rng.IntN(len(outages))], sr.randomDuration(), time.Duration(sr.rng.Int64N(int64(maxAwayTime)))
	if sr.isCalm() {
		return nil
	}
	sr.release++
	version := fmt.Sprint("v1.", sr.release)
	sr.Logf("store outage: %s for %s, in which %s comes back after %s with version %s", o, away+d, e.ID, away, version)
	endOutage := sr.beginOutage(o)
	if err := sr.dep.Site.CrashEndpoint(e.ID); err != nil {
		return err
	}
	sr.schedule(away, func() error {
		if sr.dep.Site.StartAgain(e.ID, version) != nil { // its port was taken
			return sr.startReplacement(e)
		}
		return nil
	})
	sr.schedule(away+d, func() error {
		endOutage()
		return sr.dep.Site.Register(e.ID, "ready")
	})
	return nil
}

// beginOutage begins an outage of the store and returns a function that ends it.
func (sr *soakRun) beginOutage(o site.Outage) (end func()) {
	ended := sr.interrupted.begin(storeName, false)
	sr.dep.Site.Store.SetOutage(o)
	return func() {
		sr.dep.Site.Store.SetOutage(site.OutageNone)
		ended()
	}
}

// removeAfterOutage removes an endpoint from the store shortly after the end of an outage.
// The endpoint keeps running. Faults that excuse requests to it are held back until the end of
// the drain time.
func (sr *soakRun) removeAfterOutage() error {
	outages := []site.Outage{site.OutageBusy, site.OutageDown, site.OutageHang}
	e, o, d, delay := sr.randomEndpoint(), outages[sr.rng.IntN(len(outages))], sr.randomDuration()/2, time.Duration(sr.rng.Int64N(int64(maxRemovalDelay)))
	if sr.isCalm() {
		return nil
	}
	sr.calmUntil = time.Now().Add(d + delay + drainTime + 2*removalMargin)
	sr.Logf("store outage: %s for %s, and %s after it %s is removed", o, d, delay, e.ID)
	endOutage := sr.beginOutage(o)
	sr.schedule(d, func() error {
		endOutage()
		outageEnd := time.Now()
		sr.schedule(delay, func() error {
			r := removal{endpoint: e, at: time.Now()}
			r.confirmedAt = r.at
			if o == site.OutageHang { // reads that got no response end only by the time that the store is stable
				r.confirmedAt = outageEnd.Add(stableTime)
			}
			sr.removals = append(sr.removals, r)
			sr.dep.Site.Deregister(e.ID)
			return nil
		})
		return sr.startReplacement(e)
	})
	return nil
}

// isCalm reports whether faults that excuse requests to a removed endpoint are held back.
func (sr *soakRun) isCalm() bool { return time.Now().Before(sr.calmUntil) }

// removed reports whether an endpoint was removed by removeAfterOutage.
func (sr *soakRun) removed(e *site.Endpoint) bool {
	return slices.ContainsFunc(sr.removals, func(r removal) bool { return r.endpoint == e })
}

// lateRequests returns the removed endpoints that got a request later than the drain time
// after their removal, although nothing excuses it.
func (sr *soakRun) lateRequests() []string {
	var out []string
	for _, r := range sr.removals {
		for _, t := range r.endpoint.RequestsAfter(r.confirmedAt.Add(drainTime + removalMargin)) {
			if !sr.excused(r.at, t) {
				out = append(out, fmt.Sprintf("%s got a request %s after its removal", r.endpoint.ID, t.Sub(r.at).Round(time.Millisecond)))
				break
			}
		}
	}
	return out
}

// excused reports whether the store or a relay was interrupted between two times, planned stops
// aside.
func (sr *soakRun) excused(from, to time.Time) bool {
	return sr.interrupted.unplanned(storeName, from, to) ||
		slices.ContainsFunc(sr.dep.Relays, func(r *Relay) bool { return sr.interrupted.unplanned(r.Name, from, to) })
}

// copyResponses makes an endpoint send some responses again where the next ones on their
// connections are expected, refusals among them.
func (sr *soakRun) copyResponses() {
	e, n := sr.randomEndpoint(), 1+sr.rng.IntN(maxCopies)
	refusals := sr.rng.IntN(n + 1)
	sr.Logf("%s rejects %d requests and sends %d responses again", e.ID, refusals, n)
	e.InjectFault(site.FaultLateCopy, n)
	e.CloseFor("0", refusals)
}

// sortedEndpoints returns the endpoints that removeAfterOutage hasn't removed, by ID.
func (sr *soakRun) sortedEndpoints() []*site.Endpoint {
	all := slices.DeleteFunc(sr.dep.Site.Endpoints(), sr.removed)
	slices.SortFunc(all, func(a, b *site.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
