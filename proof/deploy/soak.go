package deploy

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"wigeonplank.example/fakes/site"
)

const (
	soakRelays   = 3
	soakStep     = 250 * time.Millisecond // mean time between two faults
	longestFault = 2 * time.Second
	entryLag     = 700 * time.Millisecond // from the crash of an endpoint to the removal of its entry
	calmTime     = 3 * time.Second        // without faults, at the end
	calmLimit    = 20 * time.Second       // by when every kind of request is served again
	killedWait   = 5 * time.Second
)

// Soak is a run under overlapping faults that a seed decides.
type Soak struct {
	Seed     uint64
	Duration time.Duration // with faults
	Rate     float64       // requests a second
	Dir, Bin string
	Say      func(format string, args ...any) // tells of each fault
}

// soaking is a Soak under way.
type soaking struct {
	Soak
	d       *Deploy
	rng     *rand.Rand
	ctx     context.Context
	undo    chan func() error // of faults that end by themselves
	ending  map[string]bool   // relays that were told to end
	version int
	spare   int // number of the next endpoint
}

// Run runs the soak and returns its verdict. An error says that the run itself
// went wrong, or that a process ended that should not have.
func (s Soak) Run(ctx context.Context) (*Verdict, error) {
	st, err := site.StartStandard()
	if err != nil {
		return nil, err
	}
	d := &Deploy{Site: st, Dir: s.Dir, Bin: s.Bin}
	v, err := s.run(ctx, d)
	return v, errors.Join(err, d.Stop())
}

func (s Soak) run(ctx context.Context, d *Deploy) (*Verdict, error) {
	zones := site.StandardZones()
	for i := range soakRelays {
		r, err := d.Start(fmt.Sprint("relay-", i), zones[i%len(zones)])
		if err != nil {
			return nil, err
		}
		if err := d.AwaitReady(ctx, r); err != nil {
			return nil, err
		}
	}
	replies := make(chan []*Reply, 1)
	go func() {
		replies <- d.Drive(ctx, Load{Rate: s.Rate, Duration: s.Duration + calmTime, Seed: s.Seed})
	}()
	k := &soaking{
		Soak: s, d: d, rng: rand.New(rand.NewPCG(s.Seed, 1)), ctx: ctx, undo: make(chan func() error, 1<<10), ending: make(map[string]bool), version: 1,
	}
	if err := k.faults(); err != nil {
		return nil, err
	}
	all := <-replies
	if err := k.recovered(); err != nil {
		return nil, err
	}
	return d.Judge(all), nil
}

// faults makes faults until the time is over, and ends them.
func (k *soaking) faults() error {
	end := time.Now().Add(k.Duration)
	for time.Now().Before(end) {
		next := time.After(time.Duration(k.rng.ExpFloat64() * float64(soakStep)))
		for waiting := true; waiting; {
			select {
			case f := <-k.undo:
				if err := f(); err != nil {
					return err
				}
			case <-next:
				waiting = false
			}
		}
		if err := k.one(); err != nil {
			return err
		}
	}
	// All faults that end by themselves have ended after the longest.
	last := time.After(longestFault + entryLag + killedWait)
	for pending := true; pending; {
		select {
		case f := <-k.undo:
			if err := f(); err != nil {
				return err
			}
		case <-last:
			pending = false
		}
	}
	return nil
}

// later has something done after a while, from the same goroutine.
func (k *soaking) later(after time.Duration, f func() error) {
	time.AfterFunc(after, func() { k.undo <- f })
}

func (k *soaking) length() time.Duration {
	return time.Duration(k.rng.Int64N(int64(longestFault)))
}

// one makes one fault.
func (k *soaking) one() error {
	switch k.rng.IntN(10) {
	case 0, 1, 2:
		return k.failAnswers()
	case 3:
		return k.crash()
	case 4:
		return k.leave()
	case 5:
		return k.loseStore()
	case 6:
		return k.endRelay()
	case 7:
		return k.freezeRelay()
	case 8:
		return k.publish()
	default:
		return k.drain()
	}
}

func (k *soaking) endpoint() *site.Server {
	all := k.d.Site.Servers()
	slices.SortFunc(all, func(a, b *site.Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all[k.rng.IntN(len(all))]
}

func (k *soaking) failAnswers() error {
	faults := []site.Fault{
		site.FaultLost, site.FaultCut, site.FaultExtra, site.FaultShed, site.FaultFail, site.FaultUnsigned, site.FaultForeign, site.FaultMute,
	}
	e, f, n := k.endpoint(), faults[k.rng.IntN(len(faults))], 1+k.rng.IntN(3)
	k.Say("%s: the next %d answers: %s", e.ID, n, f)
	e.Fail(f, n)
	return nil
}

// crash ends an endpoint; another takes its place.
func (k *soaking) crash() error {
	e := k.endpoint()
	k.Say("%s crashes", e.ID)
	err := k.d.Site.Crash(e.ID)
	k.later(entryLag, func() error {
		k.d.Site.Remove(e.ID)
		return k.replace(e)
	})
	return err
}

func (k *soaking) replace(e *site.Server) error {
	spec := e.Spec
	k.spare++
	spec.ID = fmt.Sprintf("%s-%d", spec.Service, k.spare)
	_, err := k.d.Site.Start(spec)
	return err
}

// leave has an endpoint drain and end, after another has come.
func (k *soaking) leave() error {
	e := k.endpoint()
	k.Say("%s leaves", e.ID)
	if err := k.replace(e); err != nil {
		return err
	}
	err := k.d.Site.Register(e.ID, "draining")
	k.later(longestFault, func() error {
		k.d.Site.Remove(e.ID)
		return nil
	})
	return err
}

func (k *soaking) loseStore() error {
	outages := []site.Outage{site.OutageBusy, site.OutageDown, site.OutageMute}
	o, d := outages[k.rng.IntN(len(outages))], k.length()
	k.Say("the store is %s for %s", o, d)
	k.d.Site.Store.Fail(o)
	forget := k.rng.IntN(3) == 0
	k.later(d, func() error {
		if forget {
			k.d.Site.Store.Compact()
		}
		k.d.Site.Store.Fail(site.OutageNone)
		return nil
	})
	return nil
}

func (k *soaking) relay() *Relay { return k.d.Relays[k.rng.IntN(len(k.d.Relays))] }

// endRelay kills or stops a relay and starts it again. One that is ending, or
// has not yet said that it serves, is left alone: a signal would end it out of
// order, as it should.
func (k *soaking) endRelay() error {
	r, sig := k.relay(), syscall.SIGKILL
	if k.rng.IntN(2) == 0 {
		sig = syscall.SIGTERM
	}
	if k.ending[r.Name] || !r.proc.Running() || !r.Ready() {
		return nil
	}
	k.ending[r.Name] = true
	k.Say("%s gets %s", r.Name, sig)
	if err := errors.Join(r.proc.Signal(syscall.SIGCONT), r.proc.Signal(sig)); err != nil {
		return err
	}
	go func() {
		err := r.proc.Wait(killedWait)
		k.undo <- func() error {
			if sig == syscall.SIGTERM && err != nil {
				return fmt.Errorf("%s did not stop in order: %w", r.Name, err)
			}
			delete(k.ending, r.Name)
			_, err := k.d.Start(r.Name, r.Settings.Zone)
			return err
		}
	}()
	return nil
}

func (k *soaking) freezeRelay() error {
	r, d := k.relay(), k.length()
	// One that is ending would not end in its time.
	if k.ending[r.Name] || !r.proc.Running() {
		return nil
	}
	k.Say("%s stands still for %s", r.Name, d)
	// A process that ends meanwhile needs no waking.
	_ = r.proc.Signal(syscall.SIGSTOP)
	k.later(d, func() error {
		_ = r.proc.Signal(syscall.SIGCONT)
		return nil
	})
	return nil
}

func (k *soaking) publish() error {
	k.version += 1 + k.rng.IntN(3)
	k.Say("configuration %d", k.version)
	return k.d.Site.Publish(site.StandardConfig(k.version))
}

func (k *soaking) drain() error {
	zones := site.StandardZones()
	z, d := zones[k.rng.IntN(len(zones))], k.length()
	k.Say("zone %s is drained for %s", z, d)
	k.d.Site.Drain(z)
	k.later(d, func() error {
		k.d.Site.Return(z)
		return nil
	})
	return nil
}

// recovered waits until each relay serves each kind of request again.
func (k *soaking) recovered() error {
	for _, s := range k.d.Site.Servers() {
		s.Fail("", 0)
	}
	for _, r := range k.d.Relays {
		if err := k.d.AwaitReady(k.ctx, r); err != nil {
			return err
		}
	}
	end := time.Now().Add(calmLimit)
	for n := uint64(0); ; n++ {
		served := make(map[string]int)
		for _, r := range k.d.Drive(k.ctx, Load{Rate: 100, Duration: time.Second, Seed: k.Seed + 1_000_000 + n}) {
			if r.Status == 200 {
				served[r.Route.Prefix]++
			}
		}
		if len(served) == len(Routes()) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("after all faults have ended, only these are served: %v", served)
		}
	}
}

// Kept keeps the folder of a run that failed.
func (s Soak) Kept(failed bool) {
	if !failed {
		_ = os.RemoveAll(s.Dir) // only logs of a run that went well
	}
}
