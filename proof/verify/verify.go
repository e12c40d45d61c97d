// Package verify checks the results of a load run against what the stand-ins of
// the endpoints did: no answer may belong to another request, and no
// non-idempotent request may run twice or be reported wrongly as run or not run.
package verify

import (
	"encoding/json"
	"fmt"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/fakes/engine"
	"wigeonplank.example/fakes/plain"
	"wigeonplank.example/proof/fleet"
	"wigeonplank.example/wpctl/load"
)

// Checker returns a function that returns an error unless an answer is complete
// and belongs to the request's input. The stand-ins derive each answer from the
// input, so that the expected one is known.
func Checker(d *conf.Document) func(load.Share, string, load.Answer) error {
	return func(s load.Share, input string, a load.Answer) error {
		p := d.Pipeline(s.Pipeline)
		last := p.Stages[len(p.Stages)-1]
		if last.Kind == conf.KindGeneration {
			if want := engine.Text(input, last.MaxTokens); a.Text != want {
				return fmt.Errorf("text of %d bytes differs from the expected %d bytes", len(a.Text), len(want))
			}
			return nil
		}
		var r plain.Receipt
		if err := json.Unmarshal(a.Result, &r); err != nil {
			return fmt.Errorf("decode receipt: %w", err)
		}
		if want := engine.WordOf(input); r.Receipt != want {
			return fmt.Errorf("receipt is %s, expected %s", r.Receipt, want)
		}
		return nil
	}
}

// Verdict lists the faults found in a run, one description per request.
type Verdict struct {
	Wrong   []string // the answer is incomplete or belongs to another request
	Doubled []string // the request took effect more than once
	Missing []string // the request is known to have run, but had no effect
	Untrue  []string // the request was reported as not run, but took effect
}

// OK reports whether no fault was found.
func (v *Verdict) OK() bool {
	return len(v.Wrong)+len(v.Doubled)+len(v.Missing)+len(v.Untrue) == 0
}

// Run compares the results of a load run with the effects that the plain
// services of the fleet have counted. It returns an error if they can't be read.
func Run(f *fleet.Fleet, d *conf.Document, rep *load.Report) (*Verdict, error) {
	effects, err := readEffects(f)
	if err != nil {
		return nil, err
	}
	v := &Verdict{}
	for _, e := range rep.Ended() {
		v.add(d, e, effects[e.Input])
	}
	return v, nil
}

// readEffects returns the number of effects by input, summed over all plain
// services.
func readEffects(f *fleet.Fleet) (map[string]int, error) {
	sum := make(map[string]int)
	for _, ep := range f.Endpoints {
		if ep.Kind != "service" {
			continue
		}
		e, err := f.Effects(ep)
		if err != nil {
			return nil, fmt.Errorf("effects of %s: %w", ep.Instance.ID, err)
		}
		for input, n := range e.ByInput {
			sum[input] += n
		}
	}
	return sum, nil
}

// add checks one result, whose request took effect the given number of times.
// Effects of idempotent pipelines are not checked, as they may be repeated.
func (v *Verdict) add(d *conf.Document, e load.Ended, effects int) {
	desc := fmt.Sprintf("%s %q: %s after %d attempts, %d effects: %v", e.Share.Pipeline, e.Input, e.Final, e.Tries, effects, e.Err)
	if e.Final == load.FinalWrong {
		v.Wrong = append(v.Wrong, desc)
	}
	p := d.Pipeline(e.Share.Pipeline)
	if p.Idempotent() {
		return
	}
	switch {
	case effects > 1:
		v.Doubled = append(v.Doubled, desc)
	case effects == 0 && e.Ran:
		v.Missing = append(v.Missing, desc)
	case effects > 0 && (e.Final == load.FinalRefused || e.Final == load.FinalPartial):
		v.Untrue = append(v.Untrue, desc)
	}
}
