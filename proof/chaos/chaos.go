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
	faultedRate      = 30 // requests per second while faults are injected
	faultedDuration  = 5 * time.Second
	recoveryRate     = 15 // requests per second after all faults are cleared
	recoveryDuration = 2 * time.Second
	retryTimeout     = 20 * time.Second
	maxAttempts      = 12
	settleDelay      = 300 * time.Millisecond // for calls that still run after the load
)

// Run starts a fleet, injects the faults drawn from seed while a load runs and
// clears them again. It returns an error if a caller received a wrong or untrue
// response, or if the fleet doesn't answer every request afterwards. It blocks
// for about 15 s.
func Run(plan fleet.Plan, dir, bin string, seed uint64) (summary Summary, err error) {
	summary.Seed = seed
	f, err := fleet.New(plan, dir, bin)
	if err != nil {
		return summary, err
	}
	if err := f.Start(context.Background()); err != nil {
		return summary, errors.Join(err, f.Stop())
	}
	defer func() { err = errors.Join(err, f.Stop()) }()
	rng := rand.New(rand.NewPCG(seed, seed))
	injected := make(chan error, 1)
	go func() { injected <- summary.injectFaults(f, rng) }()
	rep, err := sendLoad(f, faultedRate, faultedDuration, seed)
	if err := errors.Join(err, <-injected); err != nil {
		return summary, fmt.Errorf("load with faults: %w", err)
	}
	time.Sleep(settleDelay)
	if err := verifyResults(f, rep); err != nil {
		return summary, err
	}
	return summary, checkRecovery(f, seed)
}

func sendLoad(f *fleet.Fleet, rate float64, d time.Duration, seed uint64) (*load.Report, error) {
	return load.Run(context.Background(), &load.Plan{
		Targets:      f.Targets(),
		Rate:         rate,
		Duration:     d,
		Mix:          f.Plan.LoadMix(f.Doc),
		Seed:         seed,
		MaxAttempts:  maxAttempts,
		RetryTimeout: retryTimeout,
		Check:        verify.ResponseChecker(f.Doc),
	})
}

func verifyResults(f *fleet.Fleet, rep *load.Report) error {
	v, err := verify.Check(f, f.Doc, rep)
	if err != nil {
		return err
	}
	if !v.OK() {
		return fmt.Errorf("wrong answers %v, duplicate effects %v, missing effects %v, false refusals %v",
			v.WrongAnswers, v.DuplicateEffects, v.MissingEffects, v.FalseRefusals)
	}
	return nil
}

// checkRecovery returns an error unless the fleet, with all faults cleared,
// serves on every live endpoint and answers every request of a short load.
func checkRecovery(f *fleet.Fleet, seed uint64) error {
	if err := f.AwaitServing(context.Background()); err != nil {
		return fmt.Errorf("after the faults were cleared: %w", err)
	}
	rep, err := sendLoad(f, recoveryRate, recoveryDuration, seed+1<<32)
	if err != nil {
		return err
	}
	for _, res := range rep.Results() {
		if res.EndState != load.EndInTime && res.EndState != load.EndLate {
			return fmt.Errorf("after the faults were cleared: %s %q ended as %s: %w", res.Kind.Pipeline, res.Input, res.EndState, res.Err)
		}
	}
	return nil
}
