package stream

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"wigeonplank.example/fakes/site"
	"wigeonplank.example/proof/deploy"
)

const (
	releaseAt     = 2 * time.Second // first release, so that two versions are in service before the first loss
	firstRound    = 6 * time.Second
	minFreeze     = 500 * time.Millisecond
	maxFreeze     = 6 * time.Second
	highSeq       = 100             // writes of an incarnation before its entry lapsed
	drainTime     = 2 * time.Second // from the notice that an engine drains until it has left
	lapseDelay    = 3600 * time.Millisecond
	maxRegistered = time.Second // from the start of an engine until it is listed
)

// faults are the faults of a run that are still to come.
type faults struct {
	*run
	rng      *rand.Rand
	start    time.Time
	steps    []step // in the order of time
	version  int    // newest
	replaced int    // engines
	lapsed   map[string]bool
}

// step is an action at a time since the start.
type step struct {
	at time.Duration
	do func() error
}

func (f *faults) at(t time.Duration, do func() error) {
	f.steps = append(f.steps, step{t, do})
	slices.SortStableFunc(f.steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
}

// after plans an action some time from now.
func (f *faults) after(d time.Duration, do func() error) { f.at(time.Since(f.start)+d, do) }

// between returns a random time.
func (f *faults) between(least, most time.Duration) time.Duration {
	return least + time.Duration(f.rng.Int64N(int64(most-least)))
}

// injectFaults plans the faults of a run and carries them out.
func (r *run) injectFaults() error {
	f := &faults{run: r, rng: rand.New(rand.NewPCG(r.Seed, 1)), start: time.Now(), version: 1, lapsed: make(map[string]bool)}
	f.at(releaseAt, f.release)
	for t := firstRound; t < r.Duration-quietTime; {
		t = f.planRound(t)
	}
	var errs []error
	for len(f.steps) > 0 {
		s := f.steps[0]
		f.steps = f.steps[1:]
		time.Sleep(time.Until(f.start.Add(s.at)))
		errs = append(errs, s.do())
	}
	return errors.Join(errs...)
}

// planRound plans changes of the engines, faults beside them and a loss of relays soon
// after. It returns the time of the next round.
func (f *faults) planRound(t time.Duration) time.Duration {
	changed := t
	switch f.rng.IntN(5) {
	case 4: // streams begin by views that are old
		f.at(t, func() error { return f.cutOff(true, true) })
		f.at(t+f.between(200*time.Millisecond, 2*time.Second), f.release)
		changed += f.between(4*time.Second, 9*time.Second)
	case 0:
		f.at(t, f.release)
	case 1:
		f.at(t, f.returnWithOtherVersion)
	case 2:
		f.at(t+f.between(0, 2*time.Second), f.release)
		fallthrough
	default:
		d := f.between(2*time.Second, 6*time.Second)
		f.at(t, func() error { return f.lapse(d) })
		changed += d
	}
	for range f.rng.IntN(3) {
		f.at(t+f.between(0, 3*time.Second), []func() error{f.cutOffSomehow, f.cutOffSomehow, f.freeze, f.silenceStore}[f.rng.IntN(4)])
	}
	lost := changed + f.between(200*time.Millisecond, 4*time.Second)
	switch f.rng.IntN(6) {
	case 0:
		f.at(lost, f.loseZone)
	case 1:
		f.at(lost, func() error { return f.loseRelays(0.5) })
	default:
		f.at(lost, func() error { return f.loseRelays(1) })
		if f.rng.IntN(2) == 0 {
			f.at(lost+f.between(2*time.Second, 4*time.Second), func() error { return f.loseRelays(1) })
		}
	}
	return lost + f.between(5*time.Second, 9*time.Second)
}

// someRelays returns a random part of the relays.
func (f *faults) someRelays(share float64) []*deploy.Relay {
	return shuffled(f.rng, f.dep.Relays)[:max(1, int(share*float64(len(f.dep.Relays))))]
}

// someEngines returns a random part of the engines that are listed.
func (f *faults) someEngines(share float64) []*site.Endpoint {
	engines := f.engines()
	return shuffled(f.rng, engines)[:min(len(engines), max(1, int(share*float64(len(engines)))))]
}

func (f *faults) engines() []*site.Endpoint {
	out := slices.DeleteFunc(f.dep.Site.Endpoints(), func(e *site.Endpoint) bool { return e.Kind != site.KindEngine || f.lapsed[e.ID] })
	slices.SortFunc(out, func(a, b *site.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func shuffled[T any](rng *rand.Rand, list []T) []T {
	out := slices.Clone(list)
	rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func versionName(n int) string { return fmt.Sprint("v", n) }

// release replaces some engines that aren't of the newest version by ones that are, several at
// once. If few are left, a newer version begins.
func (f *faults) release() error {
	var old []*site.Endpoint
	engines := f.engines()
	for _, e := range engines {
		if e.Version != versionName(f.version) {
			old = append(old, e)
		}
	}
	if len(old) < len(engines)/4 {
		f.version++
		old = engines
	}
	old = shuffled(f.rng, old)
	old = old[:min(len(old), max(1, len(engines)*(3+f.rng.IntN(3))/10))]
	version := versionName(f.version)
	f.Logf("%d engines are replaced by version %s", len(old), version)
	for _, e := range old {
		f.lapsed[e.ID] = true // it is no longer chosen
		f.replaced++
		id := fmt.Sprint("engine-r", f.replaced)
		drains := f.rng.IntN(4) > 0
		f.after(f.between(0, 3*time.Second), func() error {
			if drains {
				if err := f.dep.Site.Register(e.ID, "draining"); err != nil {
					return err
				}
			}
			f.after(drainTime, func() error {
				f.dep.Site.Deregister(e.ID)
				return f.dep.Site.CrashEndpoint(e.ID)
			})
			return f.site.StartEngine(f.dep.Site, id, e.Zone, version)
		})
	}
	return nil
}

// lapse removes the entries of some engines, which go on, and writes them again.
func (f *faults) lapse(d time.Duration) error {
	list := f.someEngines(0.2 + 0.3*f.rng.Float64())
	f.Logf("the entries of %d engines lapse for %s", len(list), d)
	for _, e := range list {
		f.lapsed[e.ID] = true
		f.dep.Site.Deregister(e.ID)
		f.after(d+f.between(0, 500*time.Millisecond), func() error {
			delete(f.lapsed, e.ID)
			return f.dep.Site.RegisterAgain(e.ID, "ready", highSeq)
		})
	}
	return nil
}

// returnWithOtherVersion lets some engines crash and come back under their IDs with the newest
// version.
func (f *faults) returnWithOtherVersion() error {
	list := f.someEngines(0.3)
	f.Logf("%d engines crash and come back with version %s", len(list), versionName(f.version))
	for _, e := range list {
		f.crash(e, f.between(0, time.Second), versionName(f.version))
	}
	return nil
}

// crash lets an engine crash and come back some time later with a version. Its entry lapses
// if it is away for long.
func (f *faults) crash(e *site.Endpoint, away time.Duration, version string) {
	f.lapsed[e.ID] = true
	_ = f.dep.Site.CrashEndpoint(e.ID) // fails only if its listener is closed already
	if away > lapseDelay {
		f.after(lapseDelay, func() error { f.dep.Site.Deregister(e.ID); return nil })
	}
	f.after(away, func() error {
		if started := f.dep.Site.StartAgain(e.ID, version) == nil; !started { // its port was taken
			f.dep.Site.Deregister(e.ID)
			return nil
		}
		f.after(f.between(0, maxRegistered), func() error {
			delete(f.lapsed, e.ID)
			return f.dep.Site.Register(e.ID, "ready")
		})
		return nil
	})
}

// cutOffSomehow cuts some relays off from the store, the other relays or both.
func (f *faults) cutOffSomehow() error {
	kind := f.rng.IntN(4)
	return f.cutOff(kind != 1, kind != 0)
}

// cutOff cuts some relays off from the store, the other relays or both.
func (f *faults) cutOff(store, peers bool) error {
	list, d := f.someRelays(0.1+0.4*f.rng.Float64()), f.between(2*time.Second, 12*time.Second)
	f.Logf("%d relays are cut off for %s (store %t, relays %t)", len(list), d, store, peers)
	for _, relay := range list {
		f.net.cut(relay.Name, store, peers)
		f.after(d, func() error { f.net.cut(relay.Name, false, false); return nil })
	}
	return nil
}

// freeze lets some relays stand still.
func (f *faults) freeze() error {
	list := f.someRelays(0.05 + 0.25*f.rng.Float64())
	f.Logf("%d relays stand still", len(list))
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, relay := range list {
		f.clocks[relay.Name].frozenUntil = time.Now().Add(f.between(minFreeze, maxFreeze))
	}
	return nil
}

// silenceStore lets the store send no responses for a while.
func (f *faults) silenceStore() error {
	d := f.between(time.Second, 4*time.Second)
	f.Logf("the store is silent for %s", d)
	f.dep.Site.Store.SetOutage(site.OutageHang)
	f.after(d, func() error { f.dep.Site.Store.SetOutage(site.OutageNone); return nil })
	return nil
}

// loseZone ends the relays and the engines of a zone. They come back, the engines maybe with
// the newest version.
func (f *faults) loseZone() error {
	zone, away := f.site.Zone(f.rng.IntN(numZones)), f.between(time.Second, 5*time.Second)
	f.Logf("zone %s is without power for %s", zone, away)
	for _, e := range f.engines() {
		if e.Zone == zone {
			version := e.Version
			if f.rng.IntN(2) == 0 {
				version = versionName(f.version)
			}
			f.crash(e, away+f.between(0, time.Second), version)
		}
	}
	var list []*deploy.Relay
	for _, relay := range f.dep.Relays {
		if relay.Settings.Zone == zone {
			list = append(list, relay)
		}
	}
	f.end(list, away)
	return nil
}

// loseRelays ends a part of the relays, which start again soon.
func (f *faults) loseRelays(share float64) error {
	list, away := f.someRelays(share), f.between(500*time.Millisecond, time.Second)
	f.Logf("%d relays are lost for %s", len(list), away)
	f.end(list, away)
	return nil
}

// end ends relays by SIGKILL and starts them again some time later.
func (f *faults) end(list []*deploy.Relay, away time.Duration) {
	for _, relay := range list {
		kill(relay)
		f.after(away, func() error {
			if p := relay.Proc(); p.Running() {
				if _ = p.Wait(endTimeout); p.Running() {
					return fmt.Errorf("%s outlived SIGKILL", relay.Name)
				}
			}
			_, err := f.dep.StartRelay(relay.Name, "")
			return err
		})
	}
}
