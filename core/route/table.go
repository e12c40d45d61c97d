package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/roster"
)

// Endpoint is a back end as the router sees it.
type Endpoint struct {
	Instance roster.Instance
	Load     *Load
	hash     uint64
	away     float64 // cost of being in another zone than the entry
}

// pool is the endpoints that may carry one stage for one set of teams.
type pool struct {
	all   []*Endpoint
	local []*Endpoint // those in the entry's own zone
	ring  []*Endpoint // sorted by hash, for affinity
}

// StageRoutes holds the pools of one stage.
type StageRoutes struct {
	Stage *conf.Stage
	Index int
	model uint64
	base  uint64            // selectors that admit every team
	masks map[string]uint64 // teams that some selector names
	pools map[uint64]*pool
}

// PipelineRoutes holds the stages of one pipeline.
type PipelineRoutes struct {
	Pipeline *conf.Pipeline
	Stages   []*StageRoutes
}

// Table is an immutable snapshot of the configuration in force and the fleet.
type Table struct {
	Accepted  *conf.Accepted
	Zone      string
	Endpoints []*Endpoint
	pipelines map[string]*PipelineRoutes
	byID      map[string]*Endpoint
	teams     map[string]*conf.Team
	classes   map[string]*conf.Class
}

// NewTable builds the snapshot that an entry in the given zone uses. Endpoints
// of drained zones and of leaving instances are in no pool.
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
		e := &Endpoint{Instance: m, Load: loads.Of(m.ID), hash: xxhash.Sum64String(m.ID)}
		if m.Zone != zone {
			e.away = awayCost
		}
		t.Endpoints = append(t.Endpoints, e)
		t.byID[m.ID] = e
	}
	if acc == nil {
		return t
	}
	t.index(acc.Doc)
	usable := t.usable(acc.Doc)
	for i := range acc.Doc.Pipelines {
		p := &acc.Doc.Pipelines[i]
		t.pipelines[p.Name] = newPipelineRoutes(p, usable, zone)
	}
	return t
}

func (t *Table) index(d *conf.Document) {
	for i := range d.Teams {
		t.teams[d.Teams[i].Name] = &d.Teams[i]
	}
	for i := range d.Classes {
		t.classes[d.Classes[i].Name] = &d.Classes[i]
	}
}

func (t *Table) usable(d *conf.Document) []*Endpoint {
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

// Endpoint returns the endpoint on an instance, or nil.
func (t *Table) Endpoint(id string) *Endpoint { return t.byID[id] }

// Team returns a declared team, or nil.
func (t *Table) Team(name string) *conf.Team { return t.teams[name] }

// Class returns a declared class, or nil.
func (t *Table) Class(name string) *conf.Class { return t.classes[name] }

func newPipelineRoutes(p *conf.Pipeline, usable []*Endpoint, zone string) *PipelineRoutes {
	r := &PipelineRoutes{Pipeline: p}
	for i := range p.Stages {
		r.Stages = append(r.Stages, newStageRoutes(&p.Stages[i], i, usable, zone))
	}
	return r
}

func newStageRoutes(s *conf.Stage, index int, usable []*Endpoint, zone string) *StageRoutes {
	r := &StageRoutes{Stage: s, Index: index, masks: make(map[string]uint64), pools: make(map[uint64]*pool)}
	if s.Model != nil {
		r.model = xxhash.Sum64String(s.Model.String())
	}
	for i, sel := range s.Selectors {
		if len(sel.Teams) == 0 {
			r.base |= 1 << i
		}
		for _, team := range sel.Teams {
			r.masks[team] |= 1 << i
		}
	}
	r.addPool(r.base, usable, zone)
	for team, mask := range r.masks {
		r.masks[team] = mask | r.base
		r.addPool(mask|r.base, usable, zone)
	}
	return r
}

func (r *StageRoutes) addPool(mask uint64, usable []*Endpoint, zone string) {
	if r.pools[mask] != nil {
		return
	}
	p := &pool{}
	for _, e := range usable {
		if !r.selects(mask, e.Instance.Labels) {
			continue
		}
		p.all = append(p.all, e)
		if e.Instance.Zone == zone {
			p.local = append(p.local, e)
		}
	}
	p.ring = slices.Clone(p.all)
	slices.SortFunc(p.ring, func(a, b *Endpoint) int {
		if a.hash < b.hash {
			return -1
		}
		return 1
	})
	r.pools[mask] = p
}

func (r *StageRoutes) selects(mask uint64, labels map[string]string) bool {
	for i, sel := range r.Stage.Selectors {
		if mask&(1<<i) != 0 && sel.Matches(labels) {
			return true
		}
	}
	return false
}

func (r *StageRoutes) pool(team string) *pool {
	if mask, ok := r.masks[team]; ok {
		return r.pools[mask]
	}
	return r.pools[r.base]
}

// Capacity returns the concurrent work that the endpoints of the stage that are
// open to a team bear together, by their newest reports.
func (r *StageRoutes) Capacity(team string) int {
	n := 0
	for _, e := range r.pool(team).all {
		if e.Load.linked.Load() && !e.Load.closed.Load() && r.hasModel(e) {
			n += int(e.Load.limit.Load())
		}
	}
	return n
}

func (r *StageRoutes) hasModel(e *Endpoint) bool {
	return r.model == 0 || e.Load.model.Load() == r.model
}
