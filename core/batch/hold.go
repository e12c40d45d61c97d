package batch

import (
	"sync"
	"time"
)

const (
	// minHold is how long the results that an endpoint reads as inputs are kept after a
	// request was sent to it. The endpoint fetches them when the request arrives.
	minHold = 60 * time.Millisecond
	// maxHold is longer than endpoints take to begin with a request.
	maxHold = 4 * time.Second
	// holdGrowth is the factor by which the time grows when an endpoint didn't find its
	// inputs, and holdDecay the factor with each request that did.
	holdGrowth = 2
	holdDecay  = 0.98
)

// Hold tells how long the inputs of requests to a service are kept after they were sent.
// It adapts to whether the endpoints find them. Inputs take memory that the stages need,
// and reading a prompt may take long after they were fetched. The zero value is ready to
// use. It is safe for concurrent use.
type Hold struct {
	mu   sync.Mutex
	time time.Duration // 0: minHold
}

// Time returns how long to keep the inputs of a request that is sent now.
func (h *Hold) Time() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(minHold, h.time)
}

// RecordFound records that an endpoint has found the inputs of a request.
func (h *Hold) RecordFound() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.time = max(minHold, time.Duration(holdDecay*float64(h.time)))
}

// RecordMissing records that an endpoint didn't find the inputs of a request.
func (h *Hold) RecordMissing() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.time = min(maxHold, holdGrowth*max(minHold, h.time))
}
