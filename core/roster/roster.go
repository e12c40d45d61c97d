// Package roster maintains a view of the fleet from the platform's instance
// list, which may lag, be unavailable, or return an older version.
package roster

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// regressionTimeout is how long a list with a lower version than the current one
// is ignored. After that, the version numbers are taken to have been restarted.
const regressionTimeout = 30 * time.Second

// State is the state of an instance in the list.
type State string

// Instance states.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving" // about to be removed; gets no new work
)

// Instance is a machine that runs an endpoint and its agent.
type Instance struct {
	ID     string            `json:"id"`
	Zone   string            `json:"zone"`
	State  State             `json:"state"`
	Agent  string            `json:"agent"` // IP:port of the agent's link listener
	Labels map[string]string `json:"labels"`
}

// WithState returns a copy of the instance with state s.
func (i Instance) WithState(s State) Instance {
	i.State = s
	return i
}

// List is one version of the platform's instance list.
type List struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`

	// Damaged tells that instances were left out that can't be read. The list doesn't show
	// then that an instance was removed.
	Damaged bool `json:"-"`
}

// DamageError reports that instances of a list can't be read.
type DamageError struct {
	Version uint64 // of the list
	Reason  error  // why the instances can't be read
}

// Error returns the version and the reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("instance list version %d: %v", e.Version, e.Reason)
}

// Parse decodes and validates a list. If only some of its instances are invalid, it returns
// a *DamageError and the damaged list without them.
func Parse(raw []byte) (List, error) {
	var w struct {
		Version   uint64            `json:"version"`
		Instances []json.RawMessage `json:"instances"`
	}
	if err := json.Unmarshal(raw, &w); err != nil {
		return List{}, fmt.Errorf("decode instance list: %w", err)
	}
	l := List{Version: w.Version}
	var damage []error
	seen := make(map[string]bool, len(w.Instances))
	for _, raw := range w.Instances {
		var i Instance
		err := json.Unmarshal(raw, &i)
		if err == nil {
			err = validate(i)
		}
		if err != nil {
			damage = append(damage, err)
			continue
		}
		if seen[i.ID] {
			return List{}, fmt.Errorf("instance list version %d: instance %q is listed twice", l.Version, i.ID)
		}
		seen[i.ID] = true
		l.Instances = append(l.Instances, i)
	}
	if damage != nil {
		l.Damaged = true
		return l, &DamageError{Version: l.Version, Reason: errors.Join(damage...)}
	}
	return l, nil
}

func validate(i Instance) error {
	if i.ID == "" || i.Zone == "" {
		return fmt.Errorf("instance %q in zone %q: id and zone are required", i.ID, i.Zone)
	}
	if i.State != StateLive && i.State != StateLeaving {
		return fmt.Errorf("instance %q: state %q is neither live nor leaving", i.ID, i.State)
	}
	addr, err := netip.ParseAddrPort(i.Agent)
	if err != nil {
		return fmt.Errorf("instance %q: agent address: %w", i.ID, err)
	}
	if addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		return fmt.Errorf("instance %q: %q is not the address of an agent", i.ID, i.Agent)
	}
	return nil
}

// Roster merges successive lists into a view of the fleet. An instance listed as
// leaving stays so until a newer list omits it. The zero value is an empty fleet.
// It is not safe for concurrent use.
type Roster struct {
	version        uint64
	members        map[string]Instance // by ID
	leaving        map[string]bool     // IDs
	regressedSince time.Time           // when the first of the latest lists with a lower version was received; zero: none
}

// Apply merges a list received at now and reports whether the fleet changed.
func (r *Roster) Apply(now time.Time, l List) bool {
	changed := r.applyLeaving(l)
	if l.Version < r.version && !r.regressionTimedOut(now) {
		return changed
	}
	if l.Version >= r.version {
		r.regressedSince = time.Time{}
	}
	return r.replace(l) || changed
}

// applyLeaving marks the leaving instances of a list. It applies to lists of any
// version, because a leaving instance never becomes live again.
func (r *Roster) applyLeaving(l List) bool {
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

// regressionTimedOut records that a list with a lower version was received at
// now, and reports whether the first of them in a row was received at least
// regressionTimeout ago.
func (r *Roster) regressionTimedOut(now time.Time) bool {
	if r.regressedSince.IsZero() {
		r.regressedSince = now
	}
	return now.Sub(r.regressedSince) >= regressionTimeout
}

// replace makes l the current list and reports whether the fleet changed.
func (r *Roster) replace(l List) bool {
	next := make(map[string]Instance, len(l.Instances))
	for _, i := range l.Instances {
		if r.leaving[i.ID] {
			i = i.WithState(StateLeaving)
		}
		next[i.ID] = i
	}
	if l.Damaged {
		for id, i := range r.members {
			if _, ok := next[id]; !ok {
				next[id] = i // it may be one of those that can't be read
			}
		}
	}
	changed := !maps.EqualFunc(r.members, next, equal)
	for id := range r.leaving {
		if _, ok := next[id]; !ok && l.Version > r.version {
			delete(r.leaving, id)
		}
	}
	r.version = l.Version
	r.members = next
	r.regressedSince = time.Time{}
	return changed
}

func equal(a, b Instance) bool {
	return a.ID == b.ID && a.Zone == b.Zone && a.State == b.State && a.Agent == b.Agent && maps.Equal(a.Labels, b.Labels)
}

// Version returns the version of the current list.
func (r *Roster) Version() uint64 { return r.version }

// Members returns the instances sorted by ID. The caller owns the slice; the
// label maps are shared and must not be modified.
func (r *Roster) Members() []Instance {
	ids := slices.Sorted(maps.Keys(r.members))
	out := make([]Instance, 0, len(ids))
	for _, id := range ids {
		out = append(out, r.members[id])
	}
	return out
}
