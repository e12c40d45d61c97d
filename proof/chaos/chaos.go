package chaos

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"wigeonplank.example/proof/fleet"
	"wigeonplank.example/proof/verify"
	"wigeonplank.example/wpctl/load"
)

const (
	rate       = 30
	duration   = 5 * time.Second
	probeRate  = 15
	probeTime  = 2 * time.Second
	patience   = 20 * time.Second
	manyTries  = 12
	settleTime = 300 * time.Millisecond
)

// Run starts a fleet, strikes it by the seed while a load runs, heals it, and
// checks that no caller was told anything untrue and that the fleet serves
// again. It blocks for about 15 s.
func Run(plan fleet.Plan, dir, bin string, seed uint64) (story Story, err error) {
	story.Seed = seed
	f, err := fleet.New(plan, dir, bin)
	if err != nil {
		return story, err
	}
	if err := f.Start(context.Background()); err != nil {
		return story, errors.Join(err, f.Stop())
	}
	defer func() { err = errors.Join(err, f.Stop()) }()
	rng := rand.New(rand.NewPCG(seed, seed))
	struck := make(chan error, 1)
	go func() { struck <- story.strike(f, rng) }()
	rep, err := send(f, rate, duration, seed)
	if err := errors.Join(err, <-struck); err != nil {
		return story, fmt.Errorf("strike: %w", err)
	}
	time.Sleep(settleTime)
	if err := judge(f, rep); err != nil {
		return story, err
	}
	return story, recovered(f, seed)
}

func send(f *fleet.Fleet, rate float64, d time.Duration, seed uint64) (*load.Report, error) {
	return load.Run(context.Background(), &load.Plan{
		Targets:  f.Targets(),
		Rate:     rate,
		Duration: d,
		Mix:      f.Plan.LoadMix(f.Doc),
		Seed:     seed,
		Tries:    manyTries,
		Patience: patience,
		Check:    verify.Checker(f.Doc),
	})
}

func judge(f *fleet.Fleet, rep *load.Report) error {
	v, err := verify.Run(f, f.Doc, rep)
	if err != nil {
		return err
	}
	if !v.OK() {
		return fmt.Errorf("wrong %v, doubled %v, missing %v, untrue %v", v.Wrong, v.Doubled, v.Missing, v.Untrue)
	}
	return nil
}

// recovered checks that the healed fleet answers every request again.
func recovered(f *fleet.Fleet, seed uint64) error {
	if err := f.AwaitServing(context.Background()); err != nil {
		return fmt.Errorf("after the faults ended: %w", err)
	}
	rep, err := send(f, probeRate, probeTime, seed+1<<32)
	if err != nil {
		return err
	}
	for _, e := range rep.Ended() {
		if e.Final != load.FinalInTime && e.Final != load.FinalLate {
			return fmt.Errorf("after the faults ended: %s %q ended as %s: %w", e.Share.Pipeline, e.Input, e.Final, e.Err)
		}
	}
	return nil
}
