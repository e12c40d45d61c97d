package stream

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"wigeonplank.example/fakes/site"
	"wigeonplank.example/proof/deploy"
	"wigeonplank.example/proof/fleet"
)

const (
	minAway        = 4 * time.Second // of the store, and of cuts, in a release
	maxAway        = 12 * time.Second
	maxAwayForAll  = 10 * time.Second
	maxClockStep   = 3500 * time.Millisecond
	signalTimeout  = 500 * time.Millisecond // within which a process that a signal ends has ended
	keeperGroups   = 4                      // one of them gets each signal of a series
	endPoll        = 100 * time.Millisecond
	manyResponses  = 1 << 30
	minSeries      = 3 // signals
	maxSeries      = 6
	maxSignalGap   = time.Second
	minUnframed    = 2 * time.Second
	maxUnframed    = 6 * time.Second // from the first stream without framing until its engine is killed
	maxUnframedGap = 2 * time.Second // until it is back
)

// cutFromStore cuts all relays off from the store, which engines reach.
func (f *faults) cutFromStore(d time.Duration) error {
	f.impose(ConditionStoreForRelays, d)
	return f.cutOff(f.dep.Relays, d, toStore)
}

// loseStore lets the store be away for all.
func (f *faults) loseStore(d time.Duration) error {
	f.impose(ConditionStoreForAll, d)
	return f.silence(d)
}

// silence lets the store send no responses for a while. What engines write waits, too.
func (f *faults) silence(d time.Duration) error {
	f.Logf("the store is silent for %s", d)
	f.dep.Site.Store.SetOutage(site.OutageHang)
	if back := time.Now().Add(d); back.After(f.storeBack) {
		f.storeBack = back
	}
	f.after(d, func() error {
		if !time.Now().Before(f.storeBack) {
			f.dep.Site.Store.SetOutage(site.OutageNone)
		}
		return nil
	})
	return nil
}

// write writes to the store, once it is back.
func (f *faults) write(do func() error) error {
	if time.Now().Before(f.storeBack) {
		f.at(f.storeBack.Sub(f.start), do)
		return nil
	}
	return do()
}

// cutMost cuts more than half of the relays off from the store and the others, maybe from keepers
// too.
func (f *faults) cutMost(d time.Duration) error {
	condition, sides := ConditionMostCutOff, []side{toStore, toPeers}
	if f.rng.IntN(2) == 0 {
		condition, sides = ConditionMostCutOffWhole, append(sides, toKeepers)
	}
	f.impose(condition, d)
	return f.cutOff(f.someRelays(0.6+0.35*f.rng.Float64()), d, sides...)
}

// terminate sends SIGTERM to some relays, one group after the other. They start again when they
// have ended.
func (f *faults) terminate() error {
	f.inSeries(ConditionTerminated, "SIGTERM", func() {
		for _, relay := range f.signalledRelays() {
			f.terminateRelay(relay)
		}
	})
	return nil
}

func (f *faults) terminateRelay(relay *deploy.Relay) {
	p := relay.Proc()
	_ = p.Signal(syscall.SIGTERM) // fails only if the process has ended
	var restart func() error
	restart = func() error {
		switch {
		case relay.Proc() != p: // started again before
			return nil
		case p.Running():
			f.after(endPoll, restart)
			return nil
		}
		_, err := f.dep.StartRelay(relay.Name, "")
		return err
	}
	f.after(endPoll, restart)
}

// reload sends SIGHUP to some relays and keepers, one group after the other.
func (f *faults) reload() error {
	hosts := 0
	f.inSeries(ConditionReloaded, "SIGHUP", func() {
		for _, relay := range f.signalledRelays() {
			f.hangUp(relay.Proc(), relay.Ready)
		}
		for range max(1, f.site.Hosts/keeperGroups) {
			k := f.dep.Keepers[keeperName(hosts%f.site.Hosts)]
			hosts++
			f.hangUp(k.Proc(), k.Listens)
		}
	})
	return nil
}

// hangUp sends SIGHUP to a process if it serves already, which has to outlive the signal.
func (f *faults) hangUp(p *fleet.Proc, serves func() bool) {
	sent := make(chan bool, 1)
	go func() {
		ok := serves() // else the signal may come before the process handles it
		if ok {
			_ = p.Signal(syscall.SIGHUP) // fails only if the process has ended
		}
		sent <- ok
	}()
	f.after(signalTimeout, func() error {
		if <-sent && p.EndedBy(syscall.SIGHUP) {
			return fmt.Errorf("%s ended by SIGHUP", p.Name)
		}
		return nil
	})
}

// inSeries calls signal several times, with gaps. name names the signal that it sends.
func (f *faults) inSeries(p Condition, name string, signal func()) {
	n := minSeries + f.rng.IntN(maxSeries-minSeries)
	f.Logf("processes get %s, %d times", name, n)
	f.impose(p, time.Duration(n)*maxSignalGap)
	for i := range n {
		f.after(time.Duration(i)*f.between(0, maxSignalGap), func() error {
			signal()
			return nil
		})
	}
}

// signalledRelays returns the relays that get the next signal of a series.
func (f *faults) signalledRelays() []*deploy.Relay { return f.someRelays(0.1 + 0.2*f.rng.Float64()) }

// cutUnframed lets some engines send streams without a length or chunks, and kills them.
func (f *faults) cutUnframed() error {
	list, d := f.someEngines(0.3), f.between(minUnframed, maxUnframed)
	f.Logf("%d engines send streams without framing and are killed after %s", len(list), d)
	f.impose(ConditionUnframedCut, d)
	for _, e := range list {
		f.lapsed[e.ID] = true // no other fault ends it
		e.InjectFault(site.FaultUnframed, manyResponses)
		f.after(d, func() error {
			f.crash(e, f.between(0, maxUnframedGap), e.Version, f.lateness())
			return nil
		})
	}
	return nil
}

// stepClocks makes the time of day wrong on some machines of engines, for what starts there from
// now on.
func (f *faults) stepClocks() error {
	hosts := f.rng.Perm(f.site.Hosts)[:max(1, f.site.Hosts/2)]
	f.Logf("the time of day of %d machines of engines is wrong", len(hosts))
	f.impose(ConditionEngineClocks, f.Duration)
	for _, n := range hosts {
		ip, _ := f.site.Host(n)
		f.steppedBy[ip] = f.between(-maxClockStep, maxClockStep)
	}
	return nil
}

// hostOf returns the address of an engine's machine.
func hostOf(e *site.Endpoint) string {
	ip, _, _ := net.SplitHostPort(e.Addr) // it is an address
	return ip
}
