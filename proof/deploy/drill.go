package deploy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wigeonplank.example/fakes/site"
	"wigeonplank.example/relay/logs"
)

const (
	drillPublishInterval = 500 * time.Millisecond // between two versions of the configuration
	drillCopyAge         = 3 * time.Second        // of the copy when the store comes back from it
	drillOutage          = time.Second            // for which the store is away
	drillSettleTime      = 6 * time.Second        // for relays to find one another before a phase, or to apply its last version
	drillCallWindow      = 5 * time.Second        // after the store's return, in which calls to it are counted
	maxViewAgeMillis     = 60_000
)

// Drill measures how a deployment takes a store that comes back from a copy: how old
// the relays' views of the configuration get, and how many calls the store gets.
type Drill struct {
	Relays, Zones int
	Phase         time.Duration // of publishing, before the drill and after it
	Dir, Bin      string
}

// DrillResult is what a Drill measured, without a drill (Steady) and from the return
// of the store on (Drill).
type DrillResult struct {
	Steady, Drill DrillPhase
}

// DrillPhase is what was measured in one phase.
type DrillPhase struct {
	Age     *hdrhistogram.Histogram // from the writing of a version until a relay applied it, in ms
	Missing int                     // versions that a relay neither applied nor passed over for a higher one
	Calls   int                     // to the store within drillCallWindow
}

// publication is a version of the configuration that was written to the store.
type publication struct {
	version int
	at      time.Time
}

// Run starts the relays, and publishes versions of the configuration before the drill
// and after it.
func (d Drill) Run(ctx context.Context) (res DrillResult, err error) {
	st, err := site.StartStandard()
	if err != nil {
		return res, err
	}
	dep := &Deployment{Site: st, Dir: d.Dir, Bin: d.Bin}
	defer func() {
		if stopErr := dep.Stop(); err == nil {
			err = stopErr
		}
	}()
	for i := range d.Relays {
		if _, err := dep.StartRelay(fmt.Sprint("relay-", i), fmt.Sprint("z", i%d.Zones+1)); err != nil {
			return res, err
		}
	}
	for _, r := range dep.Relays {
		if err := dep.AwaitReady(ctx, r); err != nil {
			return res, err
		}
	}
	time.Sleep(drillSettleTime)
	version := 1
	steady, calls, err := d.publish(st, &version)
	if err != nil {
		return res, err
	}
	res.Steady.Calls = calls
	if err := d.restore(st, &version); err != nil {
		return res, err
	}
	after, calls, err := d.publish(st, &version)
	if err != nil {
		return res, err
	}
	res.Drill.Calls = calls
	time.Sleep(drillSettleTime)
	res.Steady.Age, res.Drill.Age = newAgeHistogram(), newAgeHistogram()
	for _, r := range dep.Relays {
		applied, err := appliedVersions(r.LogFile)
		if err != nil {
			return res, err
		}
		if err := res.Steady.record(steady, applied); err != nil {
			return res, err
		}
		if err := res.Drill.record(after, applied); err != nil {
			return res, err
		}
	}
	return res, nil
}

// restore takes a copy of the store, publishes versions, takes the store away and
// brings it back from the copy.
func (d Drill) restore(st *site.Site, version *int) error {
	st.Store.Copy()
	for end := time.Now().Add(drillCopyAge - drillOutage); time.Now().Before(end); time.Sleep(drillPublishInterval) {
		*version++
		if err := st.PublishConfig(site.StandardConfig(*version)); err != nil {
			return err
		}
	}
	st.Store.SetOutage(site.OutageBusy)
	time.Sleep(drillOutage)
	st.Store.Restore()
	st.Store.SetOutage(site.OutageNone)
	return nil
}

// publish writes versions of the configuration for d.Phase and returns them, and the
// calls that the store got in the first drillCallWindow.
func (d Drill) publish(st *site.Site, version *int) ([]publication, int, error) {
	var out []publication
	start, before := time.Now(), st.Store.NumCalls()
	calls := -1
	for ; time.Since(start) < d.Phase; time.Sleep(drillPublishInterval) {
		*version++
		out = append(out, publication{version: *version, at: time.Now()})
		if err := st.PublishConfig(site.StandardConfig(*version)); err != nil {
			return nil, 0, err
		}
		if calls < 0 && time.Since(start) >= drillCallWindow {
			calls = st.Store.NumCalls() - before
		}
	}
	return out, calls, nil
}

// application is a version that a relay applied.
type application struct {
	version int
	at      time.Time
}

// appliedVersions reads from a relay's log which versions it applied.
func appliedVersions(file string) ([]application, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	defer func() { _ = f.Close() }() // only read from
	var out []application
	for sc := bufio.NewScanner(f); sc.Scan(); {
		var line struct {
			Time    time.Time `json:"time"`
			Event   string    `json:"event"`
			Version int       `json:"version"`
		}
		if json.Unmarshal(sc.Bytes(), &line) == nil && line.Event == logs.ConfigApplied.Name {
			out = append(out, application{version: line.Version, at: line.Time})
		}
	}
	return out, nil
}

// record adds how old the view of one relay got for each published version.
func (p *DrillPhase) record(published []publication, applied []application) error {
	for _, pub := range published {
		found := false
		for _, a := range applied {
			if a.version < pub.version {
				continue
			}
			found = true
			if err := p.Age.RecordValue(max(0, a.at.Sub(pub.at).Milliseconds())); err != nil {
				return fmt.Errorf("record age: %w", err)
			}
			break
		}
		if !found {
			p.Missing++
		}
	}
	return nil
}

func newAgeHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxViewAgeMillis, 3) }
