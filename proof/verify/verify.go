// Package verify judges what a fleet of stand-ins did with the requests that
// were sent to it.
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

// Checker returns a check that an answer is whole and is its own request's, by
// what the stand-ins answer.
func Checker(d *conf.Document) func(load.Share, string, load.Answer) error {
	return func(s load.Share, input string, a load.Answer) error {
		p := d.Pipeline(s.Pipeline)
		last := p.Stages[len(p.Stages)-1]
		if last.Kind == conf.KindGeneration {
			if want := engine.Text(input, last.MaxTokens); a.Text != want {
				return fmt.Errorf("answer has %d bytes, not the %d of its own", len(a.Text), len(want))
			}
			return nil
		}
		var r plain.Receipt
		if err := json.Unmarshal(a.Result, &r); err != nil {
			return fmt.Errorf("decode receipt: %w", err)
		}
		if want := engine.WordOf(input); r.Receipt != want {
			return fmt.Errorf("receipt %s, not %s", r.Receipt, want)
		}
		return nil
	}
}

// Verdict is what was found wrong with a run.
type Verdict struct {
	Wrong   []string // answers that aren't whole or not their request's
	Doubled []string // effects that happened more than once
	Missing []string // answered, but without effect
	Untrue  []string // said not to have run, but did
}

// OK reports whether nothing was found.
func (v *Verdict) OK() bool {
	return len(v.Wrong)+len(v.Doubled)+len(v.Missing)+len(v.Untrue) == 0
}

// Run compares the ends of requests with the effects that the plain services
// counted.
func Run(f *fleet.Fleet, d *conf.Document, rep *load.Report) (*Verdict, error) {
	effects, err := allEffects(f)
	if err != nil {
		return nil, err
	}
	v := &Verdict{}
	for _, e := range rep.Ended() {
		v.judge(d, e, effects[e.Input])
	}
	return v, nil
}

func allEffects(f *fleet.Fleet) (map[string]int, error) {
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

func (v *Verdict) judge(d *conf.Document, e load.Ended, effects int) {
	what := fmt.Sprintf("%s %q: %s after %d tries, %d effects: %v", e.Share.Pipeline, e.Input, e.Final, e.Tries, effects, e.Err)
	if e.Final == load.FinalWrong {
		v.Wrong = append(v.Wrong, what)
	}
	p := d.Pipeline(e.Share.Pipeline)
	if p.Idempotent() {
		return
	}
	switch {
	case effects > 1:
		v.Doubled = append(v.Doubled, what)
	case effects == 0 && e.Ran:
		v.Missing = append(v.Missing, what)
	case effects > 0 && (e.Final == load.FinalRefused || e.Final == load.FinalPartial):
		v.Untrue = append(v.Untrue, what)
	}
}
