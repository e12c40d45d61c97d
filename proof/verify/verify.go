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

// ResponseChecker returns a function that returns an error unless an answer is
// complete and belongs to the request's input. The stand-ins derive each answer from
// the input, so the expected one is known.
func ResponseChecker(d *conf.Document) func(load.Kind, string, load.Response) error {
	return func(k load.Kind, input string, resp load.Response) error {
		p := d.Pipeline(k.Pipeline)
		last := p.Stages[len(p.Stages)-1]
		if last.Kind == conf.KindGeneration {
			if want := engine.ExpectedText(input, last.MaxTokens); resp.Text != want {
				return fmt.Errorf("text of %d bytes differs from the expected %d bytes", len(resp.Text), len(want))
			}
			return nil
		}
		var r plain.Receipt
		if err := json.Unmarshal(resp.Result, &r); err != nil {
			return fmt.Errorf("decode receipt: %w", err)
		}
		if want := engine.InputHash(input); r.Receipt != want {
			return fmt.Errorf("receipt is %s, expected %s", r.Receipt, want)
		}
		return nil
	}
}

// Verdict lists the violations found in a run, one description per request.
type Verdict struct {
	WrongAnswers     []string // the answer is incomplete or belongs to another request
	DuplicateEffects []string // the request took effect more than once
	MissingEffects   []string // the request is known to have run, but had no effect
	FalseRefusals    []string // the request was reported as not run, but took effect
}

// OK reports whether no violation was found.
func (v *Verdict) OK() bool {
	return len(v.WrongAnswers)+len(v.DuplicateEffects)+len(v.MissingEffects)+len(v.FalseRefusals) == 0
}

// Check compares the results of a load run with the effects that the plain
// services of the fleet have counted. It returns an error if they can't be read.
func Check(f *fleet.Fleet, d *conf.Document, rep *load.Report) (*Verdict, error) {
	effects, err := readEffects(f)
	if err != nil {
		return nil, err
	}
	v := &Verdict{}
	for _, res := range rep.Results() {
		v.add(d, res, effects[res.Input])
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
func (v *Verdict) add(d *conf.Document, res load.Result, effects int) {
	desc := fmt.Sprintf("%s %q: %s after %d attempts, %d effects: %v", res.Kind.Pipeline, res.Input, res.EndState, res.Attempts, effects, res.Err)
	if res.EndState == load.EndWrong {
		v.WrongAnswers = append(v.WrongAnswers, desc)
	}
	p := d.Pipeline(res.Kind.Pipeline)
	if p.Idempotent() {
		return
	}
	switch {
	case effects > 1:
		v.DuplicateEffects = append(v.DuplicateEffects, desc)
	case effects == 0 && res.Ran:
		v.MissingEffects = append(v.MissingEffects, desc)
	case effects > 0 && (res.EndState == load.EndRefused || res.EndState == load.EndPartial):
		v.FalseRefusals = append(v.FalseRefusals, desc)
	}
}
