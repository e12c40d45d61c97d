package proxy

import (
	"context"
	"time"

	"wigeonplank.example/base/wait"
	"wigeonplank.example/core/origin"
)

const (
	// maxPresumedWait bounds the wait until the view proves which incarnation sent the first
	// event of a stream. An endpoint has registered 2 s after its start, and a read and a tick follow.
	maxPresumedWait = 3 * time.Second
	// presumedInterval is the time between two looks at the view.
	presumedInterval = 50 * time.Millisecond
)

// proof is what the view proves of the incarnation that is presumed to have sent the first
// event of a stream.
type proof string

const (
	proofFound   proof = "found"
	proofPending proof = "pending" // the view is too early
	proofNone    proof = "none"    // and there won't be one
)

// presumedAt returns the incarnation that is presumed to have sent the first event.
func (in *Incarnations) presumedAt(b *beginning) origin.Incarnation {
	return origin.Incarnation{Endpoint: b.endpoint.ID, StartUnixMs: b.endpoint.StartUnixMs, At: in.Since(b.conn)}
}

// prove looks for a proof that an incarnation had not been replaced by its next one at
// p.At: the view was complete for long enough after it, and lists the incarnation still.
func (req *request) prove(p origin.Incarnation) proof {
	until := req.Incarnations.ListedUntil() // before the view, which is then not older
	switch {
	case !req.lists(p.Endpoint, p.StartUnixMs):
		return proofNone
	case until.Before(p.At):
		return proofPending
	}
	return proofFound
}

// lists reports whether the view lists the incarnation of an endpoint that started at a time.
func (req *request) lists(endpoint string, startUnixMs int64) bool {
	e := req.View().Endpoint(endpoint)
	return e != nil && e.StartUnixMs == startUnixMs
}

// awaitProof is prove on a view that is up to date. It waits for a proof for a short time.
func (req *request) awaitProof(ctx context.Context, p origin.Incarnation) bool {
	until := earlier(req.Clock.Now().Add(maxPresumedWait), req.deadline)
	for req.Refresh(ctx, maxRefreshAge) {
		switch req.prove(p) {
		case proofFound:
			return true
		case proofNone:
			return false
		}
		if !req.Clock.Now().Before(until) || !wait.For(ctx, presumedInterval) {
			return false
		}
	}
	return false
}

// trusts reports whether the version that a record of a stream names is that of its first
// event.
func (req *request) trusts(ctx context.Context, o origin.Origin) bool {
	p := o.Presumed
	if p == (origin.Incarnation{}) {
		return true
	}
	if !req.awaitProof(ctx, p) {
		return false
	}
	if e := req.View().Endpoint(p.Endpoint); e == nil || req.Incarnations.Doubted(e) {
		return false
	}
	req.recordOrigin(origin.Origin{Service: o.Service, Version: o.Version})
	return true
}
