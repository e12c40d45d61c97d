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
	releaseAt   = 2 * time.Second // first release, so that two versions are in service before the first loss
	firstRound  = 6 * time.Second
	minFreeze   = 500 * time.Millisecond
	maxFreeze   = 6 * time.Second
	highSeq     = 100             // writes of an incarnation before its entry lapsed
	drainTime   = 2 * time.Second // from the notice that an engine drains until it has left
	lapseDelay  = 3600 * time.Millisecond
	maxLate     = 5 * time.Second // from the start of an engine until it is listed, half of the times
	maxBesides  = 3               // faults beside those of a round
	returnShare = 0.3             // of the engines
)

// faults are the faults of a run that are still to come.
type faults struct {
	*run
	rng       *rand.Rand
	start     time.Time
	steps     []step // in the order of time
	version   int    // newest
	replaced  int    // engines
	lapsed    map[string]bool
	changes   []int                    // numbers of the rounds to come, in their order
	besides   []int                    // numbers of the faults beside them
	storeBack time.Time                // end of the last outage for all
	steppedBy map[string]time.Duration // how wrong the time of day is, by address of the machine
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
	f := &faults{
		run: r, rng: rand.New(rand.NewPCG(r.Seed, 1)), start: time.Now(), version: 1, lapsed: make(map[string]bool), steppedBy: make(map[string]time.Duration),
	}
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

// next takes the next number below n. Each comes once, in a random order, before any comes again.
func (f *faults) next(left *[]int, n int) int {
	if len(*left) == 0 {
		*left = f.rng.Perm(n)
	}
	out := (*left)[0]
	*left = (*left)[1:]
	return out
}

// planRound plans changes of the engines, faults beside them and a loss of relays soon
// after. It returns the time of the next round.
func (f *faults) planRound(t time.Duration) time.Duration {
	changed, loss := t, f.rng.IntN(6)
	inRelease := func(most time.Duration, do func(d time.Duration) error) {
		d := f.between(minAway, most)
		f.at(t, func() error { return do(d) })
		f.at(t+f.between(200*time.Millisecond, 2*time.Second), f.release)
		changed, loss = t+f.between(minAway, d+time.Second), lossOfAll
	}
	switch f.next(&f.changes, 9) {
	case 0:
		f.at(t, f.release)
	case 1:
		f.at(t, func() error { return f.returnWithOtherVersion(f.lateness()) })
	case 2:
		f.at(t, func() error { return f.returnWithOtherVersion(maxLate) })
	case 3: // streams begin by views that are old
		f.at(t, f.cutOffStore)
		f.at(t+f.between(200*time.Millisecond, 2*time.Second), f.release)
		changed += f.between(4*time.Second, 9*time.Second)
	case 4, 5:
		inRelease(maxAway, f.cutFromStore)
	case 6:
		inRelease(maxAwayForAll, f.loseStore)
	case 7:
		inRelease(maxAway, f.cutMost)
	default:
		if f.rng.IntN(2) == 0 {
			f.at(t+f.between(0, 2*time.Second), f.release)
		}
		d := f.between(2*time.Second, 6*time.Second)
		f.at(t, func() error { return f.lapse(d) })
		changed += d
	}
	beside := []func() error{f.cutOffSomehow, f.freeze, f.silenceStore, f.terminate, f.reload, f.cutUnframed, f.stepClocks, f.loseKeepers}
	for range 1 + f.rng.IntN(maxBesides) {
		f.at(t+f.between(0, 3*time.Second), beside[f.next(&f.besides, len(beside))])
	}
	lost := changed + f.between(200*time.Millisecond, 4*time.Second)
	switch loss {
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

const lossOfAll = 2 // of the kinds of losses, of which all further ones are

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

// oldEngines returns the listed engines that aren't of the newest version, in a random order. If
// few are left, a newer version begins.
func (f *faults) oldEngines() []*site.Endpoint {
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
	return shuffled(f.rng, old)
}

// release replaces some engines that aren't of the newest version by ones that are, several at
// once.
func (f *faults) release() error {
	engines, old := f.engines(), f.oldEngines()
	old = old[:min(len(old), max(1, len(engines)*(3+f.rng.IntN(3))/10))]
	version, late := versionName(f.version), f.lateness()
	f.Logf("%d engines are replaced by version %s, registered within %s", len(old), version, late)
	for _, e := range old {
		f.lapsed[e.ID] = true // it is no longer chosen
		f.replaced++
		id := fmt.Sprint("engine-r", f.replaced)
		drains := f.rng.IntN(4) > 0
		f.after(f.between(0, 3*time.Second), func() error {
			if drains {
				e.Leave()
				if err := f.write(func() error { return f.dep.Site.Register(e.ID, "draining") }); err != nil {
					return err
				}
			}
			f.after(drainTime, func() error {
				return errors.Join(f.deregister(e.ID), f.dep.Site.CrashEndpoint(e.ID))
			})
			started, err := f.site.StartEngine(f.dep.Site, id, hostOf(e), e.Zone, version)
			if err != nil {
				return err
			}
			f.register(started, late, ConditionLateStart)
			return nil
		})
	}
	return nil
}

// lateness returns the time within which engines that start now are listed.
func (f *faults) lateness() time.Duration {
	if f.rng.IntN(2) == 0 {
		return maxLate
	}
	return minLateRegistration
}

// register lists an engine that has just started, within a time. If it takes long, the condition holds
// until then.
func (f *faults) register(e *site.Endpoint, within time.Duration, p Condition) {
	e.ShiftStart(f.steppedBy[hostOf(e)])
	f.lapsed[e.ID] = true // until it is listed
	d := f.between(0, within)
	if d > minLateRegistration {
		f.impose(p, d)
	}
	f.after(d, func() error {
		return f.write(func() error {
			delete(f.lapsed, e.ID)
			return f.dep.Site.Register(e.ID, "ready")
		})
	})
}

func (f *faults) deregister(id string) error {
	return f.write(func() error { f.dep.Site.Deregister(id); return nil })
}

// lapse removes the entries of some engines, which go on, and writes them again.
func (f *faults) lapse(d time.Duration) error {
	list := f.someEngines(0.2 + 0.3*f.rng.Float64())
	f.Logf("the entries of %d engines lapse for %s", len(list), d)
	for _, e := range list {
		f.lapsed[e.ID] = true
		f.dep.Site.Deregister(e.ID)
		f.after(d+f.between(0, 500*time.Millisecond), func() error {
			return f.write(func() error {
				delete(f.lapsed, e.ID)
				return f.dep.Site.RegisterAgain(e.ID, "ready", highSeq)
			})
		})
	}
	return nil
}

// returnWithOtherVersion lets some engines crash and come back under their IDs with the newest
// version, registered within a time.
func (f *faults) returnWithOtherVersion(late time.Duration) error {
	list := f.oldEngines()
	list = list[:min(len(list), max(1, int(returnShare*float64(len(f.engines())))))]
	f.Logf("%d engines crash and come back with version %s, registered within %s", len(list), versionName(f.version), late)
	for _, e := range list {
		f.crash(e, f.between(0, time.Second), versionName(f.version), late)
	}
	return nil
}

// crash lets an engine crash and come back some time later with a version, registered within a
// time after that. Its entry lapses if it is away for long.
func (f *faults) crash(e *site.Endpoint, away time.Duration, version string, late time.Duration) {
	f.lapsed[e.ID] = true
	_ = f.dep.Site.CrashEndpoint(e.ID) // fails only if its listener is closed already
	f.after(lapseDelay, func() error {
		if !f.lapsed[e.ID] {
			return nil
		}
		return f.deregister(e.ID)
	})
	f.after(away, func() error {
		if err := f.dep.Site.StartAgain(e.ID, version); err != nil {
			f.Logf("%s stays away: %v", e.ID, err) // its port was taken
			return f.deregister(e.ID)
		}
		condition := ConditionLateReturn
		if version == e.Version {
			condition = ConditionLateStart
		}
		f.register(f.dep.Site.Endpoint(e.ID), late, condition)
		return nil
	})
}

// cutOffSomehow cuts some relays off from the store, the other relays or both.
func (f *faults) cutOffSomehow() error {
	sides := [][]side{{toStore}, {toPeers}, {toStore, toPeers}, {toStore, toPeers, toKeepers}}[f.rng.IntN(4)]
	return f.cutOff(f.someRelays(0.1+0.4*f.rng.Float64()), f.between(2*time.Second, 12*time.Second), sides...)
}

// cutOffStore cuts some relays off from the store and the other relays.
func (f *faults) cutOffStore() error {
	return f.cutOff(f.someRelays(0.1+0.4*f.rng.Float64()), f.between(2*time.Second, 12*time.Second), toStore, toPeers)
}

func (f *faults) cutOff(list []*deploy.Relay, d time.Duration, sides ...side) error {
	f.Logf("%d relays are cut off for %s from %v", len(list), d, sides)
	for _, relay := range list {
		end := f.net.cut(relay.Name, sides...)
		f.after(d, func() error { end(); return nil })
	}
	return nil
}

// freeze lets some relays stand still.
func (f *faults) freeze() error {
	list := f.someRelays(0.05 + 0.25*f.rng.Float64())
	f.Logf("%d relays are suspended", len(list))
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, relay := range list {
		d := f.between(minFreeze, maxFreeze)
		f.impose(ConditionSuspended, d)
		f.clocks[relay.Name].frozenUntil = time.Now().Add(d)
	}
	return nil
}

func (f *faults) silenceStore() error { return f.silence(f.between(time.Second, 4*time.Second)) }

// loseZone ends the relays, the keepers and the engines of a zone. They come back, the engines
// maybe with the newest version.
func (f *faults) loseZone() error {
	zone, away := f.site.Zone(f.rng.IntN(numZones)), f.between(time.Second, 5*time.Second)
	f.Logf("zone %s is without power for %s", zone, away)
	f.impose(ConditionZoneLost, away)
	late := f.lateness()
	for _, e := range f.engines() {
		if e.Zone == zone {
			version := e.Version
			if f.rng.IntN(2) == 0 {
				version = versionName(f.version)
			}
			f.crash(e, away+f.between(0, time.Second), version, late)
		}
	}
	var hosts []int
	for n := range f.site.Hosts {
		if _, z := f.site.Host(n); z == zone {
			hosts = append(hosts, n)
		}
	}
	f.endKeepers(hosts, away)
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
		p := relay.Proc()
		kill(p)
		f.after(away, func() error {
			if relay.Proc() != p {
				return nil // started again before
			}
			if err := awaitEnd(p); err != nil {
				return err
			}
			_, err := f.dep.StartRelay(relay.Name, "")
			return err
		})
	}
}
