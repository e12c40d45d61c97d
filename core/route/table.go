package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/roster"
)

// Endpoint is an instance with its load, as the router uses it.
type Endpoint struct {
	Instance roster.Instance
	Load     *Load
	ringHash uint64  // position on the hash ring for prompt affinity
	zoneCost float64 // otherZoneCost if the instance is in another availability zone than the entry, else 0
}

// pool holds the endpoints that may serve one stage for the teams that share a
// selector mask.
type pool struct {
	all   []*Endpoint
	local []*Endpoint // endpoints in the entry's own availability zone
	ring  []*Endpoint // all, sorted by ringHash, for prompt affinity
}

// StageRoutes holds the pools of one stage. A selector mask has a bit for each
// selector of the stage, and teams with the same mask share a pool.
type StageRoutes struct {
	Stage     *conf.Stage
	Index     int               // position of the stage in its pipeline
	modelHash uint64            // 0 if the stage needs no model
	baseMask  uint64            // selectors that admit every team
	teamMasks map[string]uint64 // baseMask and the selectors that name the team, by team
	pools     map[uint64]*pool  // by selector mask
}

// PipelineRoutes holds the routes of all stages of one pipeline, in order.
type PipelineRoutes struct {
	Pipeline *conf.Pipeline
	Stages   []*StageRoutes
}

// Table is an immutable snapshot of the active configuration and the known
// instances.
type Table struct {
	Accepted  *conf.Accepted // active configuration; nil before the first
	Zone      string         // the entry's own availability zone
	Endpoints []*Endpoint    // of all instances, whether usable or not
	pipelines map[string]*PipelineRoutes
	byID      map[string]*Endpoint
	teams     map[string]*conf.Team
	classes   map[string]*conf.Class
}

// NewTable builds the snapshot for an entry in the given availability zone.
// Endpoints in drained zones and of leaving instances are in no pool. Without a
// configuration (acc is nil) the table has no pipelines.
func NewTable(acc *conf.Accepted, members []roster.Instance, zone string, loads *Loads) *Table {
	t := &Table{
		Accepted:  acc,
		Zone:      zone,
		pipelines: make(map[string]*PipelineRoutes),
		byID:      make(map[string]*Endpoint, len(members)),
		teams:     make(map[string]*conf.Team),
		classes:   make(map[string]*conf.Class),
	}
	for _, m := range members {
		e := &Endpoint{Instance: m, Load: loads.Get(m.ID), ringHash: xxhash.Sum64String(m.ID)}
		if m.Zone != zone {
			e.zoneCost = otherZoneCost
		}
		t.Endpoints = append(t.Endpoints, e)
		t.byID[m.ID] = e
	}
	if acc == nil {
		return t
	}
	t.indexDocument(acc.Doc)
	usable := t.usableEndpoints(acc.Doc)
	for i := range acc.Doc.Pipelines {
		p := &acc.Doc.Pipelines[i]
		t.pipelines[p.Name] = newPipelineRoutes(p, usable, zone)
	}
	return t
}

// indexDocument records the teams and classes by name.
func (t *Table) indexDocument(d *conf.Document) {
	for i := range d.Teams {
		t.teams[d.Teams[i].Name] = &d.Teams[i]
	}
	for i := range d.Classes {
		t.classes[d.Classes[i].Name] = &d.Classes[i]
	}
}

// usableEndpoints returns the endpoints of live instances in serving zones.
func (t *Table) usableEndpoints(d *conf.Document) []*Endpoint {
	serving := make(map[string]bool, len(d.Zones))
	for _, z := range d.Zones {
		serving[z.Name] = z.State == conf.ZoneServing
	}
	var out []*Endpoint
	for _, e := range t.Endpoints {
		if serving[e.Instance.Zone] && e.Instance.State == roster.StateLive {
			out = append(out, e)
		}
	}
	return out
}

// Pipeline returns the routes of a pipeline, or nil.
func (t *Table) Pipeline(name string) *PipelineRoutes { return t.pipelines[name] }

// Endpoint returns the endpoint of an instance, or nil.
func (t *Table) Endpoint(id string) *Endpoint { return t.byID[id] }

// Team returns a team of the configuration, or nil.
func (t *Table) Team(name string) *conf.Team { return t.teams[name] }

// Class returns a class of the configuration, or nil.
func (t *Table) Class(name string) *conf.Class { return t.classes[name] }

func newPipelineRoutes(p *conf.Pipeline, usable []*Endpoint, zone string) *PipelineRoutes {
	r := &PipelineRoutes{Pipeline: p}
	for i := range p.Stages {
		r.Stages = append(r.Stages, newStageRoutes(&p.Stages[i], i, usable, zone))
	}
	return r
}

// newStageRoutes computes the selector masks of a stage and builds one pool for each
// distinct mask.
func newStageRoutes(s *conf.Stage, index int, usable []*Endpoint, zone string) *StageRoutes {
	r := &StageRoutes{Stage: s, Index: index, teamMasks: make(map[string]uint64), pools: make(map[uint64]*pool)}
	if s.Model != nil {
		r.modelHash = xxhash.Sum64String(s.Model.String())
	}
	for i, sel := range s.Selectors {
		if len(sel.Teams) == 0 {
			r.baseMask |= 1 << i
		}
		for _, team := range sel.Teams {
			r.teamMasks[team] |= 1 << i
		}
	}
	r.addPool(r.baseMask, usable, zone)
	for team, mask := range r.teamMasks {
		r.teamMasks[team] = mask | r.baseMask
		r.addPool(mask|r.baseMask, usable, zone)
	}
	return r
}

// addPool builds the pool of a selector mask unless it exists already.
func (r *StageRoutes) addPool(mask uint64, usable []*Endpoint, zone string) {
	if r.pools[mask] != nil {
		return
	}
	p := &pool{}
	for _, e := range usable {
		if !r.maskSelects(mask, e.Instance.Labels) {
			continue
		}
		p.all = append(p.all, e)
		if e.Instance.Zone == zone {
			p.local = append(p.local, e)
		}
	}
	p.ring = slices.Clone(p.all)
	slices.SortFunc(p.ring, func(a, b *Endpoint) int {
		if a.ringHash < b.ringHash {
			return -1
		}
		return 1
	})
	r.pools[mask] = p
}

// maskSelects reports whether a selector in mask matches the labels.
func (r *StageRoutes) maskSelects(mask uint64, labels map[string]string) bool {
	for i, sel := range r.Stage.Selectors {
		if mask&(1<<i) != 0 && sel.Matches(labels) {
			return true
		}
	}
	return false
}

// pool returns the endpoints that may serve the stage for a team.
func (r *StageRoutes) pool(team string) *pool {
	if mask, ok := r.teamMasks[team]; ok {
		return r.pools[mask]
	}
	return r.pools[r.baseMask]
}

// Capacity returns how many concurrent requests the ready endpoints of the stage
// accept in total for a team, by their newest reports.
func (r *StageRoutes) Capacity(team string) int {
	n := 0
	for _, e := range r.pool(team).all {
		if e.Load.linked.Load() && !e.Load.closed.Load() && r.hasModel(e) {
			n += int(e.Load.limit.Load())
		}
	}
	return n
}

// hasModel reports whether the endpoint has the model of the stage, if the stage
// needs one.
func (r *StageRoutes) hasModel(e *Endpoint) bool {
	return r.modelHash == 0 || e.Load.modelHash.Load() == r.modelHash
}
