// Package roster keeps a view of the fleet from a list that lags, goes missing
// and may go backwards.
package roster

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// RegressionHold is how long a list with a lower version than the one in use
// is ignored. After it the lower version is taken as a restart of the list.
const RegressionHold = 30 * time.Second

// State is what the list says of an instance.
type State string

// States of an instance.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is one machine with an endpoint and the agent beside it.
type Instance struct {
	ID     string            `json:"id"`
	Zone   string            `json:"zone"`
	State  State             `json:"state"`
	Agent  string            `json:"agent"` // IP:port of the agent's link listener
	Labels map[string]string `json:"labels"`
}

// WithState returns a copy in another state.
func (i Instance) WithState(s State) Instance {
	i.State = s
	return i
}

// List is one reading of the platform's instance list.
type List struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// Parse decodes a reading and checks each instance. One bad instance spoils the
// reading, so that a damaged list is never taken for a smaller fleet.
func Parse(raw []byte) (List, error) {
	var l List
	if err := json.Unmarshal(raw, &l); err != nil {
		return List{}, fmt.Errorf("decode instance list: %w", err)
	}
	seen := make(map[string]bool, len(l.Instances))
	for _, i := range l.Instances {
		if err := check(i); err != nil {
			return List{}, fmt.Errorf("instance list version %d: %w", l.Version, err)
		}
		if seen[i.ID] {
			return List{}, fmt.Errorf("instance list version %d: instance %q stands twice", l.Version, i.ID)
		}
		seen[i.ID] = true
	}
	return l, nil
}

func check(i Instance) error {
	if i.ID == "" || i.Zone == "" {
		return fmt.Errorf("instance %q in zone %q: id and zone are needed", i.ID, i.Zone)
	}
	if i.State != StateLive && i.State != StateLeaving {
		return fmt.Errorf("instance %q: state %q is neither live nor leaving", i.ID, i.State)
	}
	if _, err := netip.ParseAddrPort(i.Agent); err != nil {
		return fmt.Errorf("instance %q: agent address: %w", i.ID, err)
	}
	return nil
}

// Roster merges readings of the list. An instance once seen leaving never
// returns to live under the same ID. The zero value is an empty fleet. It is
// not safe for concurrent use.
type Roster struct {
	version  uint64
	members  map[string]Instance
	leaving  map[string]bool
	lowSince time.Time
}

// Apply merges a reading taken at now and reports whether the fleet changed.
func (r *Roster) Apply(now time.Time, l List) bool {
	changed := r.noteLeaving(l)
	if l.Version < r.version && !r.regressed(now) {
		return changed
	}
	if l.Version >= r.version {
		r.lowSince = time.Time{}
	}
	return r.replace(l) || changed
}

// noteLeaving honours a leaving mark even in a reading that is too old for
// anything else: the mark can only be true.
func (r *Roster) noteLeaving(l List) bool {
	if r.leaving == nil {
		r.leaving = make(map[string]bool)
	}
	changed := false
	for _, i := range l.Instances {
		if i.State != StateLeaving || r.leaving[i.ID] {
			continue
		}
		r.leaving[i.ID] = true
		if m, ok := r.members[i.ID]; ok {
			r.members[i.ID] = m.WithState(StateLeaving)
			changed = true
		}
	}
	return changed
}

func (r *Roster) regressed(now time.Time) bool {
	if r.lowSince.IsZero() {
		r.lowSince = now
	}
	return now.Sub(r.lowSince) >= RegressionHold
}

func (r *Roster) replace(l List) bool {
	next := make(map[string]Instance, len(l.Instances))
	for _, i := range l.Instances {
		if r.leaving[i.ID] {
			i = i.WithState(StateLeaving)
		}
		next[i.ID] = i
	}
	changed := !maps.EqualFunc(r.members, next, equal)
	for id := range r.leaving {
		if _, ok := next[id]; !ok && l.Version > r.version {
			delete(r.leaving, id)
		}
	}
	r.version = l.Version
	r.members = next
	r.lowSince = time.Time{}
	return changed
}

func equal(a, b Instance) bool {
	return a.ID == b.ID && a.Zone == b.Zone && a.State == b.State && a.Agent == b.Agent && maps.Equal(a.Labels, b.Labels)
}

// Version returns the version of the reading in use.
func (r *Roster) Version() uint64 { return r.version }

// Members returns the fleet sorted by instance ID. The caller owns the slice;
// the label maps are shared and must not be changed.
func (r *Roster) Members() []Instance {
	ids := slices.Sorted(maps.Keys(r.members))
	out := make([]Instance, 0, len(ids))
	for _, id := range ids {
		out = append(out, r.members[id])
	}
	return out
}
