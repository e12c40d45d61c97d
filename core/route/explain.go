package route

import (
	"fmt"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/roster"
)

// Explanation says whether an endpoint may carry a stage for a team now.
type Explanation struct {
	Stage    string `json:"stage"`
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Usable   bool   `json:"usable"`
	Why      string `json:"why"`
}

// Explain goes through all endpoints for every stage of a pipeline. It returns
// nil for an unknown pipeline.
func (t *Table) Explain(pipeline, team string) []Explanation {
	p := t.pipelines[pipeline]
	if p == nil {
		return nil
	}
	var out []Explanation
	for _, s := range p.Stages {
		for _, e := range t.Endpoints {
			why := t.obstacle(s, e, team)
			x := Explanation{Stage: s.Stage.Name, Instance: e.Instance.ID, Zone: e.Instance.Zone, Usable: why == "", Why: why}
			if x.Usable {
				last := e.Load.Last()
				x.Why = fmt.Sprintf("%d of %d slots in use", last.Busy, last.Limit)
			}
			out = append(out, x)
		}
	}
	return out
}

// obstacle returns why an endpoint may not carry a stage, or "".
func (t *Table) obstacle(s *StageRoutes, e *Endpoint, team string) string {
	last := e.Load.Last()
	switch {
	case !s.Stage.Selects(e.Instance.Labels):
		return "no selector of the stage matches its labels"
	case !s.Stage.Carries(e.Instance.Labels, team):
		return fmt.Sprintf("the selectors that match it do not admit team %s", team)
	case e.Instance.State == roster.StateLeaving:
		return "its instance is leaving"
	case t.Accepted.Doc.ZoneState(e.Instance.Zone) != conf.ZoneServing:
		return "its zone is drained"
	case !e.Load.Linked():
		return "no link to its agent"
	case last.Closed != "":
		return "its agent takes no work: " + last.Closed
	case !s.hasModel(e):
		return fmt.Sprintf("it has model %q, the stage needs %q: %s", last.Model, s.Stage.Model, last.Waits)
	default:
		return ""
	}
}
