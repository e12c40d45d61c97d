package proxy

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/poison"
	"wigeonplank.example/relay/guard"
	"wigeonplank.example/relay/stage"
)

// maxProbeWait bounds the time for which a request waits to learn whether its endpoint
// has crashed, before it is decided whether it is sent to another one.
const maxProbeWait = 50 * time.Millisecond

// maxSuspectAnswer is the time since the first event of a stream up to which it may have
// crashed its endpoint. A bad request does so as its answer begins.
const maxSuspectAnswer = time.Second

// findSuspects returns what the request has in common with others that could crash
// endpoints.
func (req *request) findSuspects() []poison.Suspect {
	parts := req.headers.SharedPrompt()
	out := make([]poison.Suspect, 0, len(parts)+1)
	// The request itself comes first; see reportItemCrash.
	out = append(out, poison.Suspect{Subject: poison.Subject{Kind: poison.KindRequest, ID: req.contentHash()}, Depth: poison.RequestDepth})
	for i, p := range parts {
		out = append(out, poison.Suspect{Subject: poison.Subject{Kind: poison.KindPromptPart, ID: xxhash.Sum64String(p.ID)}, Depth: i})
	}
	return out
}

// passGuard reports whether the request may be sent to an endpoint. If not, it ends the
// request. A trial is sent once.
func (req *request) passGuard() bool {
	if req.trial && req.attempts == 0 {
		return true
	}
	d := req.Guard.Admit(req.suspects)
	req.trial = d.Trial
	switch {
	case !d.Rejected:
		return true
	case req.exchange.ResponseStarted():
		req.abortStream(d.Reason)
	case req.mayHaveRun || req.exchange.CallerGone():
		req.rejectFinal(d.Reason)
	default:
		req.reject(fasthttp.StatusServiceUnavailable, max(minRetryAfter, d.RetryAfter), "not run: "+d.Reason)
	}
	return false
}

// awaitProbe records that an endpoint broke an attempt off, and waits for a short time
// to learn whether it has crashed.
func (req *request) awaitProbe(e *fleet.Endpoint) {
	suspects := req.suspects
	if !req.firstEventAt.IsZero() && req.Clock.Now().Sub(req.firstEventAt) > maxSuspectAnswer {
		suspects = nil
	}
	done := req.Guard.Broken(guard.Run{Endpoint: e, Suspects: suspects, BeganAt: req.attemptAt})
	t := time.NewTimer(maxProbeWait)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	}
}

// vouchForAnswer acquits what the request consists of once its answer has gone on for longer than
// a crash takes to show. A long stream ends much later.
func (req *request) vouchForAnswer() {
	if !req.vouched && req.Clock.Now().Sub(req.firstEventAt) > maxSuspectAnswer {
		req.vouched = true
		req.Guard.Completed(req.suspects)
	}
}

// reportItemCrash makes the request a suspect if its stages failed since one of its items
// crashed an endpoint.
func (req *request) reportItemCrash(err error) {
	var failed *stage.FailedError
	if errors.As(err, &failed) && failed.Reason == stage.ReasonCrashed {
		req.Guard.ItemCrashed(req.suspects[:1], req.route.Stages[failed.Stage].Service, req.headers.ID, req.startedAt)
	}
}
