// Package poison finds out which requests crash the endpoints that run them. It weighs
// what the requests had in common that ran at crashed endpoints against the runs that
// came to a good end, and quarantines what is to blame.
package poison

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// minCrashes is the number of independent crashes after which a subject is quarantined
	// that ran at MinCoverage of the service's crashes from its first to its last one.
	minCrashes = 3
	// minCrashesHalf applies to one that ran at halfCoverage of them at least. The others
	// may have another cause, and so may these.
	minCrashesHalf = 4
	halfCoverage   = 0.5
	// minCrashesUnlikely applies to all others, and to subjects that had a good run within
	// knownPeriod before the crashes.
	minCrashesUnlikely = 5
	knownPeriod        = time.Minute
	// minWidespread is the number of crashes, two of them independent, after which a subject
	// without such a good run is quarantined if it ran at MinCoverage of the service's crashes.
	// If they count as one, it is on probation: what the endpoints share may have failed instead.
	minWidespread = 5
	// minCrashesBeside applies to subjects that had such a good run and were always beside
	// a subject that hadn't and ran at several crashes.
	minCrashesBeside = 7
	// simultaneous is the time within which crashes count as one, unless a run at the
	// second endpoint began after the crash of the first. What ends several endpoints at
	// the same time is more likely a failure of what they share, such as power.
	simultaneous = 250 * time.Millisecond

	minTrialDelay     = 10 * time.Second // until a quarantined subject is tried again; doubles with each further crash
	maxTrialDoublings = 5

	probationInterval = 2 * time.Second // between two requests with a subject on probation

	// sharedTrialDelay is how much longer a request waits to be sent as a trial that has other
	// suspected subjects. One that hasn't may come meanwhile, and its end tells more.
	sharedTrialDelay = 5 * time.Second

	// trialStagger is the time between the turns of two relays to send a trial. A relay
	// tells the others of its trial in less.
	trialStagger = 400 * time.Millisecond

	maxCrashes = 16 // remembered of a subject, the newest ones
)

// MinCoverage is the share of the crashes at which a subject has to have run to be to blame for all
// of them.
const MinCoverage = 0.75

// Kind is the kind of a subject.
type Kind string

// Kinds of subjects.
const (
	KindPromptPart Kind = "prompt_part" // a part of a prompt that other requests may share
	KindRequest    Kind = "request"     // all of a request: its caller, method, path and body
)

// Subject is something that requests have in common and that may crash endpoints.
type Subject struct {
	Kind Kind
	ID   uint64 // hash of the content
}

// RequestDepth is the depth of subjects of KindRequest, which fix all of a request. It is
// above that of any prompt part.
const RequestDepth = math.MaxInt32

// Suspect is a subject of a request that was running when its endpoint crashed.
type Suspect struct {
	Subject
	Depth int // how much of the request it fixes: the position in the prompt, or RequestDepth
}

// crashKey identifies a crash: an incarnation of an endpoint ends once.
type crashKey struct {
	endpoint    string
	incarnation int64
}

// Crash is the end of an incarnation of an endpoint under a request.
type Crash struct {
	Endpoint    string // ID
	Service     string
	Incarnation int64     // start of the endpoint's incarnation, ms since 1970
	BeganAt     time.Time // when the request was sent
	At          time.Time

	// common holds, in the record of a subject, what all runs of the subject had that the crash
	// ended. It isn't known unless commonTold: relays of former releases don't tell it.
	common     idSet
	commonTold bool
}

func (c Crash) key() crashKey { return crashKey{endpoint: c.Endpoint, incarnation: c.Incarnation} }

// compare orders crashes by time. The endpoint decides between crashes at the same time,
// so that all relays have the same order.
func (c Crash) compare(other Crash) int {
	if d := c.At.Compare(other.At); d != 0 {
		return d
	}
	return strings.Compare(c.Endpoint, other.Endpoint)
}

// Record is what is known of a subject. It is immutable. Merging records commutes, and
// merging one twice changes nothing.
type Record struct {
	depth   int
	crashes []Crash   // in the order of compare
	soundAt time.Time // end of the latest run that came to a good end; zero: none is known
	trialAt time.Time // start of the latest trial; zero: none
}

// WithCrash returns a copy that has a crash added.
func (r Record) WithCrash(c Crash) Record {
	return r.Merge(Record{crashes: []Crash{c}})
}

// WithDepth returns a copy whose subject has at least a depth.
func (r Record) WithDepth(depth int) Record {
	r.depth = max(r.depth, depth)
	return r
}

// WithSound returns a copy in which a run came to a good end at a time.
func (r Record) WithSound(at time.Time) Record {
	r.soundAt = later(r.soundAt, at)
	return r
}

// WithTrial returns a copy in which a trial began at a time.
func (r Record) WithTrial(at time.Time) Record {
	r.trialAt = later(r.trialAt, at)
	return r
}

// Merge returns a record of what either of two records holds.
func (r Record) Merge(other Record) Record {
	out := Record{
		depth: max(r.depth, other.depth), soundAt: later(r.soundAt, other.soundAt), trialAt: later(r.trialAt, other.trialAt),
		crashes: slices.Clone(r.crashes),
	}
	for _, c := range other.crashes {
		i := slices.IndexFunc(out.crashes, func(known Crash) bool { return known.key() == c.key() })
		if i < 0 {
			out.crashes = append(out.crashes, c)
			continue
		}
		// The first relay that noticed the crash was closest to it.
		if c.At.Before(out.crashes[i].At) {
			out.crashes[i].At = c.At
		}
		if c.BeganAt.Before(out.crashes[i].BeganAt) {
			out.crashes[i].BeganAt = c.BeganAt
		}
		out.crashes[i] = out.crashes[i].mergeCommon(c)
	}
	slices.SortFunc(out.crashes, Crash.compare)
	out.crashes = out.crashes[max(0, len(out.crashes)-maxCrashes):]
	return out
}

// equal reports whether two records hold the same.
func (r Record) equal(other Record) bool {
	return r.depth == other.depth && r.soundAt.Equal(other.soundAt) && r.trialAt.Equal(other.trialAt) && slices.Equal(r.crashes, other.crashes)
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// open returns the crashes since the last good run that explained doesn't hold.
func (r Record) open(explained map[crashKey]bool) []Crash {
	var out []Crash
	for _, c := range r.crashes {
		if c.At.After(r.soundAt) && !explained[c.key()] {
			out = append(out, c)
		}
	}
	return out
}

// isKnown reports whether the subject had a good run shortly before the open crashes.
func (r Record) isKnown(open []Crash) bool {
	return len(open) > 0 && !r.soundAt.IsZero() && open[0].At.Sub(r.soundAt) < knownPeriod
}

// lastCrash returns the time of the latest crash, zero if there is none.
func (r Record) lastCrash() time.Time {
	if len(r.crashes) == 0 {
		return time.Time{}
	}
	return r.crashes[len(r.crashes)-1].At
}

// lastAt returns the time of the latest crash or trial.
func (r Record) lastAt() time.Time { return later(r.trialAt, r.lastCrash()) }

// independent returns the number of crashes, in the order of compare, that don't have
// the same cause other than the subject.
func independent(crashes []Crash) int {
	n := 0
	var last time.Time
	for i, c := range crashes {
		if i == 0 || c.At.Sub(last) >= simultaneous || c.BeganAt.After(last) {
			n++
			last = c.At
		}
	}
	return n
}

// Quarantine says why requests with a subject are not sent to endpoints, and until when.
type Quarantine struct {
	Subject Subject
	With    []uint64  // IDs of further subjects; requests that lack one of them are not held back
	Crashes []Crash   // under the subject, since its last good run
	TrialAt time.Time // from when on one request is sent as a trial
}

// Turn returns the time from which the relay with a rank, counted from 0, may send the
// trial, if no other one has.
func (q Quarantine) Turn(rank int) time.Time {
	return q.TrialAt.Add(time.Duration(rank) * trialStagger)
}

// covers reports whether a request with the subject has all the others.
func (q Quarantine) covers(suspects []Suspect) bool {
	return !slices.ContainsFunc(q.With, func(id uint64) bool {
		return !slices.ContainsFunc(suspects, func(s Suspect) bool { return s.ID == id })
	})
}

// nextTrial returns the time of the next trial of a quarantined subject after independent
// crashes. If another subject may be to blame for them, the first trial is due at once.
func (r Record) nextTrial(crashes int, ambiguous bool) time.Time {
	if ambiguous && !r.trialAt.After(r.open(nil)[0].At) {
		return r.lastAt()
	}
	doublings := min(max(0, crashes-minCrashes), maxTrialDoublings)
	return r.lastAt().Add(minTrialDelay << doublings)
}

// nextProbe returns the time of the next request with a subject that is on probation. The first one
// may be sent at once.
func (r Record) nextProbe() time.Time {
	if r.trialAt.After(r.lastCrash()) {
		return r.trialAt.Add(probationInterval)
	}
	return r.lastAt()
}
