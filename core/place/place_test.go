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

// convergenceSeconds is how long the engine has to end with the desired model
// after the last change: the confirmation timeout of an order, 20 s, and half of
// that for a repeated order to be accepted.
const convergenceSeconds = 30

type order struct {
	fence uint64
	model string
}

// TestEngineEndsWithDesiredModel changes the desired version at random times,
// delays orders, restarts the agent, and lets the weight store refuse orders.
// After the last change, the engine must end with the desired version, whether
// it checks fencing numbers or not. The test guards against delayed orders that
// replace a newer model.
func TestEngineEndsWithDesiredModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		checksFences := rapid.Bool().Draw(t, "checks fences")
		now := time.Unix(1000, 0)
		revision := 1
		in := place.Input{Instance: "i", Labels: map[string]string{"role": "gen"}, Doc: document(t, 1, "v1"), Fresh: true}
		var p place.Planner
		var delayed []order
		deliver := func(o order) {
			if checksFences && o.fence <= in.Engine.Fence {
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
			switch rapid.SampledFrom([]string{"delivered", "delayed", "refused"}).Draw(t, "order") {
			case "delivered":
				deliver(o)
			case "delayed":
				delayed = append(delayed, o)
			case "refused":
				p.RecordRefusal(now, time.Second, 0.5)
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
				for _, o := range delayed {
					deliver(o)
				}
				delayed = nil
			},
		})
		for _, o := range delayed {
			deliver(o)
		}
		for range convergenceSeconds {
			now = now.Add(time.Second)
			if a := p.Step(now, in, 0.5); a.Kind == place.ActionOrder {
				deliver(order{a.Fence, a.Model.String()})
			}
		}
		if want, _ := place.Desired(in.Doc, "i", in.Labels); in.Engine.Model != want.String() {
			t.Fatalf("engine ends with model %q, want %q", in.Engine.Model, want)
		}
	})
}
