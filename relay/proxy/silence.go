package proxy

import (
	"context"
	"errors"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/pick"
	"wigeonplank.example/relay/assign"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/pool"
)

const (
	silenceInterval      = 250 * time.Millisecond // between two searches for a successor of a silent endpoint
	rerunInterval        = 25 * time.Millisecond  // instead of silenceInterval while stages run again
	reachableInterval    = time.Second            // between two checks of whether a silent endpoint is reachable
	reachableTimeout     = 300 * time.Millisecond
	reasonStagesRunAgain = "stages run again"
)

// errSilent reports an attempt whose endpoint sent nothing for so long that another
// endpoint was acquired in its place.
var errSilent = errors.New("endpoint is silent")

// silenceDecision is what is done about a silent endpoint. The values are labels of a
// metric and fields of log lines.
type silenceDecision string

const (
	silenceReplaced silenceDecision = "replaced" // another endpoint was acquired
	silenceAwaited  silenceDecision = "awaited"  // no other endpoint can be tried, so the attempt goes on
	silenceEnded    silenceDecision = "ended"    // the endpoint can't be reached any more
)

// silence is what is known of the silence of the current attempt's endpoint. The attempt
// goes on until a successor has been acquired, as the endpoint may still answer.
type silence struct {
	successor *successor
	rerun     *stageRerun
	awaited   string    // logged reason for waiting
	checkedAt time.Time // when the endpoint was last found reachable
	err       error     // why the attempt was given up
}

// successor is an endpoint that was acquired for the next attempt.
type successor struct {
	choice     pick.Choice
	assignment *assign.Assignment
}

// stageRerun is a run of the stages beside an attempt. inputs and err may be read once done
// is closed.
type stageRerun struct {
	cancel context.CancelFunc
	done   chan struct{}
	inputs []string
	err    error
}

// handleSilence decides what is done about the endpoint of the current attempt, which has
// sent nothing until the read deadline. It returns the next read deadline, or false if the
// attempt is given up.
func (req *request) handleSilence(ctx context.Context, e *fleet.Endpoint) (time.Time, bool) {
	now := req.Clock.Now()
	if !now.Before(req.deadline) || ctx.Err() != nil {
		return time.Time{}, false
	}
	reason := req.findSuccessor(ctx)
	switch {
	case reason == "":
		req.silence.err = errSilent
		req.recordSilence(e, silenceReplaced, "")
		return time.Time{}, false
	case reason == reasonStagesRunAgain:
		return now.Add(rerunInterval), true
	case !req.isReachable(ctx, e):
		req.silence.err = pool.ErrUnreachable
		req.recordSilence(e, silenceEnded, reason)
		return time.Time{}, false
	case reason != req.silence.awaited:
		req.silence.awaited = reason
		req.recordSilence(e, silenceAwaited, reason)
	}
	next := now.Add(silenceInterval)
	if next.After(req.deadline) {
		next = req.deadline
	}
	return next, true
}

// findSuccessor acquires the endpoint for the next attempt, runs the stages again if their
// results were released, and withdraws the attempt from the retry budget. It returns why
// there is no successor yet, or "".
func (req *request) findSuccessor(ctx context.Context) string {
	if reason := req.retryObstacle(attemptFailed); reason != "" {
		return reason
	}
	if !req.confirmBeginning(ctx) {
		return reasonUnknownVersion
	}
	if req.budget(req.service).Balance() < 1 {
		return reasonBudgetSpent
	}
	if reason := req.prepareInputs(ctx); reason != "" {
		return reason
	}
	c, a := req.acquireEndpoint(ctx)
	if c.Endpoint == nil {
		return "no endpoint"
	}
	s := &successor{choice: c, assignment: a}
	d := req.Guard.Admit(req.suspects)
	switch {
	case d.Rejected:
		req.abandon(s)
		return d.Reason
	case !req.budget(req.service).Withdraw(0):
		req.abandon(s)
		return reasonBudgetSpent
	}
	req.trial = d.Trial
	req.silence.successor = s
	return ""
}

// prepareInputs runs the stages again, beside the current attempt, if their results were
// released. It returns why the results don't exist yet, or "".
func (req *request) prepareInputs(ctx context.Context) string {
	r := req.silence.rerun
	if r == nil {
		if len(req.route.Stages) == 0 || !req.inputsReleased {
			return ""
		}
		if req.stageReruns == maxStageReruns {
			return "stages have run again before"
		}
		req.silence.rerun = req.beginRerun(ctx)
		return reasonStagesRunAgain
	}
	select {
	case <-r.done:
	default:
		return reasonStagesRunAgain
	}
	req.silence.rerun = nil
	r.cancel()
	req.logStages(r.inputs, r.err)
	if r.err != nil {
		return r.err.Error()
	}
	req.inputs, req.inputsReleased = r.inputs, false
	return ""
}

// beginRerun starts the stages of the request once more.
func (req *request) beginRerun(ctx context.Context) *stageRerun {
	req.stageReruns++
	req.stagesEndedAt = time.Time{} // the time to the first event would include the stages
	req.Log.Event(logs.StagesRepeated).Str("request", req.headers.ID).Str("reason", reasonReleased).Msg("")
	ctx, cancel := context.WithCancel(ctx)
	r := &stageRerun{cancel: cancel, done: make(chan struct{})}
	job, stages := req.rerunJob(), req.Stages
	go func() {
		defer close(r.done)
		r.inputs, r.err = stages.Run(ctx, job)
	}()
	return r
}

// endSilence forgets the silence of an endpoint that goes on, and releases what was
// prepared for a successor.
func (req *request) endSilence() {
	req.dropRerun()
	req.silence = silence{}
	req.releaseInputs()
}

// dropRerun cancels a run of the stages beside an attempt and releases its results.
func (req *request) dropRerun() {
	r := req.silence.rerun
	if r == nil {
		return
	}
	req.silence.rerun = nil
	r.cancel()
	stages := req.Stages
	go func() {
		<-r.done
		stages.ReleaseResults(r.inputs)
	}()
}

// takeSuccessor returns the successor of the endpoint whose attempt has ended, if one was
// acquired. The silence ends with the attempt.
func (req *request) takeSuccessor() *successor {
	req.dropRerun()
	s := req.silence.successor
	req.silence = silence{}
	return s
}

// isReachable reports whether a silent endpoint accepts connections, which it does unless
// its instance is lost. A check counts for reachableInterval.
func (req *request) isReachable(ctx context.Context, e *fleet.Endpoint) bool {
	now := req.Clock.Now()
	if now.Sub(req.silence.checkedAt) < reachableInterval {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, reachableTimeout)
	defer cancel()
	req.silence.checkedAt = now
	return req.Pool.Check(ctx, e.ID, e.Addr) == nil
}

func (req *request) recordSilence(e *fleet.Endpoint, d silenceDecision, reason string) {
	req.Meters.RecordSilence(req.service, string(d))
	req.Log.Failure(logs.AttemptSilent).Str("request", req.headers.ID).Str("endpoint", e.ID).Int("attempt", len(req.tried)).
		Str("decision", string(d)).Str("reason", reason).Dur("left_ms", req.deadline.Sub(req.Clock.Now())).Msg("")
}
