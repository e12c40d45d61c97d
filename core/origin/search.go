package origin

import "time"

const (
	// settlePeriod is the wait for further answers, of relays whose answer isn't needed:
	// they may know the stream, or that its version can't be known.
	settlePeriod = 50 * time.Millisecond
)

// Result tells what a relay has found out of where a stream began.
type Result string

// Results.
const (
	Own        Result = "own"        // the relay has served the stream itself
	Found      Result = "found"      // another relay or a keeper remembers it
	Unknown    Result = "unknown"    // it is remembered that the version can't be known
	Unrecorded Result = "unrecorded" // all that would remember it answered that they don't; it goes on nowhere
	Forgotten  Result = "forgotten"  // likewise, and none of them has remembered streams since before it began
	Unanswered Result = "unanswered" // not enough of these have answered
)

// Finding is the outcome of a search for the origin of a stream.
type Finding struct {
	Result   Result
	Origin   Origin // if the result is Own or Found
	Asked    int    // other relays and keepers
	Answered int
}

// Answer is what another relay remembers of a stream.
type Answer struct {
	Known  bool
	Origin Origin
	Since  time.Duration // for which the relay has remembered streams; 0: not told
}

// Search gathers the answers of other relays. It is not safe for concurrent use.
type Search struct {
	MaxAge time.Duration // of the stream
	Want   int           // keepers that must have answered
	Asked  int           // relays that were asked so far

	answers map[Keeper]Answer
	known   bool
	origin  Origin
	knownAt time.Time
}

// Add adds the answer of a relay, or what this relay remembers itself for others.
func (s *Search) Add(now time.Time, from Keeper, a Answer) {
	if s.answers == nil {
		s.answers = make(map[Keeper]Answer)
	}
	s.answers[from] = a
	if !a.Known {
		return
	}
	if !s.known {
		s.known, s.origin, s.knownAt = true, a.Origin, now
		return
	}
	s.origin = s.origin.merge(a.Origin)
}

// isForgotten reports whether all who answered have remembered streams for less than the age of this
// one, as after a loss of all of them.
func (s *Search) isForgotten() bool {
	for _, a := range s.answers {
		if a.Since == 0 || a.Since > s.MaxAge {
			return false
		}
	}
	return len(s.answers) > 0
}

// merge returns the origin of a stream of which two relays have records. A correction
// wins over what it corrects.
func (o Origin) merge(other Origin) Origin {
	switch {
	case o == other, o.confirms(other):
		return o
	case other.confirms(o):
		return other
	}
	return Origin{}
}

// Decide returns what follows from the answers, and false if more are to be awaited.
// keepers are those that remember the stream, in their order. One that has remembered
// streams for less than the age of this one may lack it, so that the next one must have
// answered as well.
func (s *Search) Decide(now time.Time, keepers []Keeper) (Finding, bool) {
	f := Finding{Result: Unanswered, Asked: s.Asked, Answered: len(s.answers)}
	complete, old := true, 0
	for _, k := range keepers {
		a, ok := s.answers[k]
		if !ok {
			complete = false
			break
		}
		if a.Since == 0 || a.Since > s.MaxAge {
			old++
		}
		if old >= s.Want {
			break
		}
	}
	all := complete && len(s.answers) >= s.Asked
	switch {
	case s.known && s.origin == Origin{}:
		f.Result = Unknown
		return f, true
	case s.known && (all || now.Sub(s.knownAt) >= settlePeriod):
		f.Result, f.Origin = Found, s.origin
		return f, true
	case !s.known && all: // others than the first ones may know it, and the stream ends with this
		f.Result = Unrecorded
		if s.isForgotten() {
			f.Result = Forgotten
		}
		return f, true
	}
	return f, false
}
