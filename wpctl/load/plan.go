// Package load sends requests at a given rate, whatever becomes of those
// before, and measures how they end.
package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Share is one kind of request in a mix.
type Share struct {
	Pipeline string
	Team     string
	Class    string
	Weight   int
	Stream   bool
	Deadline time.Duration // 0: the pipeline's own
}

// Key names the share in a report.
func (s Share) Key() string { return s.Pipeline + "/" + s.Class }

// Plan says what to send. The same plan sends the same requests at the same
// times.
type Plan struct {
	Targets  []string // entries, IP:port, taken in turn
	Rate     float64  // requests a second, as a Poisson process
	Duration time.Duration
	Mix      []Share
	Seed     uint64
	Tries    int           // a refused request is sent again when it was told to come back, at most so often; 0: 1
	Patience time.Duration // from the first try; 0: 10s
	// Input returns the input of the n-th request; nil: a short text with n.
	Input func(n int, s Share) string
	// Check returns what is wrong with an answer; nil: nothing is checked.
	Check func(s Share, input string, a Answer) error
	// Progress is told of each request that ends; nil: nobody.
	Progress func(done int)
}

// Answer is a whole answer: text, or the JSON of a result.
type Answer struct {
	Text   string
	Result []byte
}

// arrival is one request with its time from the start.
type arrival struct {
	n     int
	at    time.Duration
	share Share
}

// arrivals draws the plan's requests.
func (p *Plan) arrivals() ([]arrival, error) {
	total := 0
	for _, s := range p.Mix {
		total += s.Weight
	}
	if total <= 0 || p.Rate <= 0 || len(p.Targets) == 0 {
		return nil, fmt.Errorf("load plan needs targets, a rate above 0 and weights above 0")
	}
	rng := rand.New(rand.NewPCG(p.Seed, p.Seed^0x9e3779b97f4a7c15))
	var out []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
		if at >= p.Duration {
			return out, nil
		}
		out = append(out, arrival{n: len(out), at: at, share: draw(rng, p.Mix, total)})
	}
}

func draw(rng *rand.Rand, mix []Share, total int) Share {
	v := rng.IntN(total)
	for _, s := range mix {
		if v < s.Weight {
			return s
		}
		v -= s.Weight
	}
	return mix[len(mix)-1]
}

func (p *Plan) input(a arrival) string {
	if p.Input != nil {
		return p.Input(a.n, a.share)
	}
	return fmt.Sprintf("request %d of seed %d for %s", a.n, p.Seed, a.share.Pipeline)
}
