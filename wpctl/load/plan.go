// Package load sends requests to entries at a given rate and measures how they
// end. It is an open-loop load generator: it doesn't wait for earlier requests
// before it sends the next.
package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is one kind of request in a mix.
type Kind struct {
	Pipeline string
	Team     string
	Class    string        // empty: the first class that the document declares
	Weight   int           // share of the requests, relative to the sum of all weights
	Stream   bool          // whether to request a streamed response
	Deadline time.Duration // 0: the pipeline's own
}

// Key returns the key of the kind in a report.
func (k Kind) Key() string { return k.Pipeline + "/" + k.Class }

// Plan describes the requests of a run. Runs of the same plan send the same
// requests at the same times.
type Plan struct {
	Targets      []string // addresses of entries, IP:port, used in turn
	Rate         float64  // requests per second; arrivals are a Poisson process
	Duration     time.Duration
	Mix          []Kind
	Seed         uint64
	MaxAttempts  int           // maximum number of attempts for a refused request; 0: 1
	RetryTimeout time.Duration // time after the first attempt during which a request may be retried; 0: 10 s
	// Input returns the input of request n, counted from 0; nil: a short text that
	// is different for each request.
	Input func(n int, k Kind) string
	// Check returns an error if a response is wrong; nil: no check.
	Check func(k Kind, input string, resp Response) error
	// Progress is called when request n, counted from 1, has ended. Calls may be
	// concurrent and out of order. It may be nil.
	Progress func(n int)
}

// Response is a complete response: the text that a pipeline produced, or the JSON
// of its result.
type Response struct {
	Text   string
	Result []byte
}

// arrival is a request to send.
type arrival struct {
	index  int           // counted from 0
	offset time.Duration // from the start of the run
	kind   Kind
}

// arrivals returns the requests of the plan in the order in which they are sent.
func (p *Plan) arrivals() ([]arrival, error) {
	total := 0
	for _, k := range p.Mix {
		total += k.Weight
	}
	if total <= 0 || p.Rate <= 0 || len(p.Targets) == 0 {
		return nil, fmt.Errorf("load plan needs targets, a rate above 0 and a sum of weights above 0")
	}
	// The constant (the golden ratio, as for splitmix64) makes the second half of
	// the seed differ from the first.
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed^0x9e3779b97f4a7c15))
	var out []arrival
	for offset := time.Duration(0); ; {
		offset += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		if offset >= p.Duration {
			return out, nil
		}
		out = append(out, arrival{index: len(out), offset: offset, kind: pickKind(rng, p.Mix, total)})
	}
}

// pickKind returns a random kind of request, chosen by weight.
func pickKind(rng *rand.Rand, mix []Kind, total int) Kind {
	v := rng.IntN(total)
	for _, k := range mix {
		if v < k.Weight {
			return k
		}
		v -= k.Weight
	}
	return mix[len(mix)-1]
}

func (p *Plan) input(a arrival) string {
	if p.Input != nil {
		return p.Input(a.index, a.kind)
	}
	return fmt.Sprintf("request %d of seed %d for %s", a.index, p.Seed, a.kind.Pipeline)
}
