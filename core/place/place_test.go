package place_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/place"
)

func document(t *rapid.T, revision int, version string) *conf.Document {
	d, err := conf.Parse(fmt.Appendf(nil, `
revision: %d
zones: [{name: z, state: serving}]
teams: [{name: t, weight: 1}]
classes: [{name: c, priority: 0}]
pipelines:
  - {name: p, deadline: 1s, stages: [{name: s, kind: generation, idempotent: true, model: {name: m, version: %s}, selectors: [{match: {role: gen}}]}]}
`, revision, version))
	if err != nil {
		t.Fatalf("document: %v", err)
	}
	return d
}

// settleSeconds is the time in which an order is confirmed or sent again, 20 s,
// and half of that for the second one to be taken.
const settleSeconds = 30

type order struct {
	fence uint64
	model string
}

// TestEngineEndsWithDesiredModel changes the desired version at any time,
// delays orders, restarts the agent, and has the weight store refuse. When the
// changes stop, the engine ends with the last version, whether it checks fences
// or not.
func TestEngineEndsWithDesiredModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checks := rapid.Bool().Draw(t, "checks fences")
		now := time.Unix(1000, 0)
		revision := 1
		in := place.Input{Instance: "i", Labels: map[string]string{"role": "gen"}, Doc: document(t, 1, "v1"), Fresh: true}
		var p place.Planner
		var late []order
		take := func(o order) {
			if checks && o.fence <= in.Engine.Fence {
				return
			}
			in.Engine.Fence = max(in.Engine.Fence, o.fence)
			in.Engine.Model = o.model
		}
		step := func() {
			a := p.Step(now, in, 0.5)
			if a.Kind != place.ActionOrder {
				return
			}
			o := order{a.Fence, a.Model.String()}
			switch rapid.SampledFrom([]string{"arrives", "late", "refused"}).Draw(t, "order") {
			case "arrives":
				take(o)
			case "late":
				late = append(late, o)
			case "refused":
				p.Refused(now, time.Second, 0.5)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				revision++
				in.Doc = document(t, revision, rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"))
			},
			"step":    func(*rapid.T) { now = now.Add(time.Second); step() },
			"restart": func(*rapid.T) { p = place.Planner{} },
			"arrive": func(*rapid.T) {
				for _, o := range late {
					take(o)
				}
				late = nil
			},
		})
		for _, o := range late {
			take(o)
		}
		for range settleSeconds {
			now = now.Add(time.Second)
			if a := p.Step(now, in, 0.5); a.Kind == place.ActionOrder {
				take(order{a.Fence, a.Model.String()})
			}
		}
		if want, _ := place.Desired(in.Doc, "i", in.Labels); in.Engine.Model != want.String() {
			t.Fatalf("engine ends with %q, desired is %q", in.Engine.Model, want)
		}
	})
}
