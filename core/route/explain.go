package route

import (
	"fmt"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/roster"
)

// Explanation reports whether an endpoint may currently serve a stage for a team.
// Reason is the obstacle, or the load of a usable endpoint.
type Explanation struct {
	Stage    string `json:"stage"`
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Usable   bool   `json:"usable"`
	Reason   string `json:"why"`
}

// Explain evaluates each endpoint for each stage of a pipeline on behalf of a team.
// It returns nil for an unknown pipeline.
func (t *Table) Explain(pipeline, team string) []Explanation {
	p := t.pipelines[pipeline]
	if p == nil {
		return nil
	}
	var out []Explanation
	for _, s := range p.Stages {
		for _, e := range t.Endpoints {
			reason := t.unusableReason(s, e, team)
			x := Explanation{Stage: s.Stage.Name, Instance: e.Instance.ID, Zone: e.Instance.Zone, Usable: reason == "", Reason: reason}
			if x.Usable {
				last := e.Load.LastReport()
				// Busy includes queued requests, so it can exceed Limit.
				x.Reason = fmt.Sprintf("%d of %d slots in use", last.Busy, last.Limit)
			}
			out = append(out, x)
		}
	}
	return out
}

// unusableReason returns why an endpoint may not serve a stage for a team, or "" if
// it may.
func (t *Table) unusableReason(s *StageRoutes, e *Endpoint, team string) string {
	last := e.Load.LastReport()
	switch {
	case !s.Stage.Selects(e.Instance.Labels):
		return "no selector of the stage matches its labels"
	case !s.Stage.SelectsFor(e.Instance.Labels, team):
		return fmt.Sprintf("the selectors that match it do not admit team %s", team)
	case e.Instance.State == roster.StateLeaving:
		return "its instance is leaving"
	case t.Accepted.Doc.ZoneState(e.Instance.Zone) != conf.ZoneServing:
		return "its zone is drained"
	case !e.Load.Linked():
		return "no link to its agent"
	case last.ClosedReason != "":
		return "its agent takes no work: " + last.ClosedReason
	case !s.hasModel(e):
		return fmt.Sprintf("it has model %q, the stage needs %q: %s", last.Model, s.Stage.Model, last.PlacementWait)
	default:
		return ""
	}
}
