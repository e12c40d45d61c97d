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
	silenceInterval = 250 * time.Millisecond // between two searches for a successor of a silent endpoint
	rerunInterval   = 25 * time.Millisecond  // instead of silenceInterval while stages run again
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

// searchResult is the result of a search for a successor.
type searchResult string

const (
	searchFound   searchResult = "found"
	searchPending searchResult = "pending" // the stages run again for it
	searchFailed  searchResult = "failed"
)

// silence is what is known of the silence of the current attempt's endpoint. The attempt
// goes on until a successor has been acquired, as the endpoint may still answer.
type silence struct {
	successor *successor
	rerun     *stageRerun
	trial     bool   // the guard has allowed a trial to the successor
	awaited   string // logged reason for waiting
	err       error  // why the attempt was given up
}

// successor is an endpoint that was acquired for the next attempt, and a connection to it.
type successor struct {
	choice     pick.Choice
	assignment *assign.Assignment
	conn       *pool.Conn
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
	if !now.Before(req.deadline) || ctx.Err() != nil || req.silence.successor != nil {
		return time.Time{}, false
	}
	result, reason := req.findSuccessor(ctx)
	switch {
	case result == searchFound:
		req.silence.err = errSilent
		req.recordSilence(e, silenceReplaced, "")
		return time.Time{}, false
	case result == searchPending:
		return now.Add(rerunInterval), true
	case req.isLost(ctx, e):
		req.silence.err = pool.ErrUnreachable
		req.recordSilence(e, silenceEnded, reason)
		return time.Time{}, false
	case reason != req.silence.awaited:
		req.silence.awaited = reason
		req.recordSilence(e, silenceAwaited, reason)
	}
	return earlier(now.Add(silenceInterval), req.deadline), true
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// findSuccessor acquires the endpoint for the next attempt and connects to it, runs the
// stages again if their results were released, and withdraws the attempt from the retry
// budget. It returns the reason if there is no successor.
func (req *request) findSuccessor(ctx context.Context) (searchResult, string) {
	reason := req.retryObstacle(attemptFailed)
	switch {
	case reason != "":
		return searchFailed, reason
	case req.exchange.ResponseStarted() && req.deadline.Sub(req.Clock.Now()) < req.firstEventLatency():
		return searchFailed, "no time left for another endpoint"
	case !req.settleBeginning():
		return searchFailed, reasonUnknownVersion
	case req.budget(req.service).Balance() < 1:
		return searchFailed, reasonBudgetSpent
	}
	svc, list := req.candidates()
	if svc == nil || req.Balancer.Pick(svc, list, req.criteria()).Endpoint == nil {
		return searchFailed, reasonNoEndpoint
	}
	if result, reason := req.prepareInputs(ctx); result != searchFound {
		return result, reason
	}
	if !req.silence.trial {
		d := req.Guard.Admit(req.suspects)
		if d.Rejected {
			return searchFailed, d.Reason
		}
		req.silence.trial = d.Trial
	}
	return req.acquireSuccessor(ctx)
}

// acquireSuccessor acquires the endpoint for the next attempt, connects to it and withdraws
// the attempt from the retry budget.
func (req *request) acquireSuccessor(ctx context.Context) (searchResult, string) {
	req.endAssignment() // an owner of a pool knows one placement of a request
	c, a := req.acquireEndpoint(ctx)
	if c.Endpoint == nil {
		return searchFailed, reasonNoEndpoint
	}
	s := &successor{choice: c, assignment: a}
	conn, err := req.connect(ctx, c.Endpoint)
	if err != nil {
		if req.isUnreached(c.Endpoint, err) {
			req.Balancer.MarkUnreachable(c.Endpoint)
		}
		req.abandon(s)
		return searchFailed, err.Error()
	}
	s.conn = conn
	if !req.budget(req.service).Withdraw(0) {
		req.abandon(s)
		return searchFailed, reasonBudgetSpent
	}
	req.trial = req.silence.trial
	req.silence.successor = s
	return searchFound, ""
}

// abandon gives up an endpoint that was acquired for an attempt which isn't made.
func (req *request) abandon(s *successor) {
	req.Balancer.End(s.choice.Endpoint, pick.ResultNone)
	if s.assignment != nil {
		s.assignment.Ended(0, 0)
	}
	if s.conn != nil {
		_ = s.conn.Close() // nothing was sent on it
	}
}

// prepareInputs runs the stages again, beside the current attempt, if their results were
// released. It returns the reason if the results don't exist.
func (req *request) prepareInputs(ctx context.Context) (searchResult, string) {
	r := req.silence.rerun
	if r == nil {
		if len(req.route.Stages) == 0 || !req.inputsReleased {
			return searchFound, ""
		}
		if req.stageReruns == maxStageReruns {
			return searchFailed, "stages have run again before"
		}
		req.silence.rerun = req.beginRerun(ctx)
		return searchPending, ""
	}
	select {
	case <-r.done:
	default:
		return searchPending, ""
	}
	if err := req.takeRerun(); err != nil {
		return searchFailed, err.Error()
	}
	return searchFound, ""
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

// takeRerun waits for the results of the stages that run beside the attempt, and makes them
// the inputs of the next one.
func (req *request) takeRerun() error {
	r := req.silence.rerun
	req.silence.rerun = nil
	<-r.done
	r.cancel()
	req.logStages(r.inputs, r.err)
	if r.err == nil {
		req.inputs, req.inputsReleased = r.inputs, false
	}
	return r.err
}

// endSilence forgets the silence of an endpoint that goes on, and gives up what was prepared
// for a successor.
func (req *request) endSilence() {
	if s := req.silence.successor; s != nil {
		req.abandon(s)
		req.budget(req.service).Return()
	}
	req.dropRerun()
	req.silence = silence{}
	req.releaseInputs()
}

// dropRerun cancels a run of the stages beside an attempt and releases its results. It waits
// for its end, which would remove the items of another run of the request.
func (req *request) dropRerun() {
	r := req.silence.rerun
	if r == nil {
		return
	}
	req.silence.rerun = nil
	req.stageReruns--
	r.cancel()
	<-r.done
	req.Stages.ReleaseResults(r.inputs)
}

// takeSuccessor returns the successor of the endpoint whose attempt has ended, or nil. The
// silence ends with the attempt, but for stages that still run again.
func (req *request) takeSuccessor() *successor {
	s := req.silence.successor
	req.silence = silence{rerun: req.silence.rerun}
	return s
}

// isLost reports whether a silent endpoint accepts no connections any more.
func (req *request) isLost(ctx context.Context, e *fleet.Endpoint) bool {
	return req.reach.isLost(req.Clock.Now(), e.ID, func() error { return req.Pool.Check(ctx, e.ID, e.Addr) })
}

func (req *request) recordSilence(e *fleet.Endpoint, d silenceDecision, reason string) {
	req.Meters.RecordSilence(req.service, string(d))
	req.Log.Failure(logs.AttemptSilent).Str("request", req.headers.ID).Str("endpoint", e.ID).Int("attempt", len(req.tried)).
		Str("decision", string(d)).Str("reason", reason).Dur("left_ms", req.deadline.Sub(req.Clock.Now())).Msg("")
}
