package poison

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	suspectLifetime    = 5 * time.Minute  // a subject without further crashes is forgotten after this time
	quarantineLifetime = 20 * time.Minute // the same while it is quarantined, so that trials have their turn
	maxSubjects        = 512              // with crashes
	pruneReserve       = maxSubjects / 8  // room that is made at once when there are too many
	maxSoundSubjects   = 2048             // with good runs, in each generation
)

// Table holds what one relay knows of the subjects of requests. The zero value is empty.
// It is not safe for concurrent use.
type Table struct {
	records     map[Subject]tableRecord
	quarantines map[Subject]Quarantine
	probations  map[Subject]Quarantine
	explained   map[crashKey]bool // crashes for which a quarantined subject is to blame
	version     int
	sound       recentRuns
}

type tableRecord struct {
	Record
	changed int // version of the table at which other relays would conclude something else from it
}

// Evidence is a request that ran at an endpoint as it crashed.
type Evidence struct {
	Suspects []Suspect
	Crash    Crash
}

// RecordCrash adds requests that ran at crashed endpoints.
func (t *Table) RecordCrash(now time.Time, list ...Evidence) {
	for _, ev := range list {
		crash := ev.Crash
		crash.common, crash.commonTold = idsOf(ev.Suspects), true
		for _, s := range ev.Suspects {
			t.put(s.Subject, Record{}.WithCrash(crash).WithDepth(s.Depth))
		}
	}
	t.update(now)
}

// RecordSound records that a run of a request with the given subjects came to a good end.
func (t *Table) RecordSound(now time.Time, suspects []Suspect) {
	changed := false
	for _, s := range suspects {
		if s.Kind != KindRequest { // few requests come again, and many would displace parts
			t.sound.put(now, s.Subject)
		}
		if _, ok := t.records[s.Subject]; ok {
			changed = t.put(s.Subject, Record{}.WithSound(now)) || changed
		}
	}
	if changed {
		t.update(now)
	}
}

// BeginTrial reports whether a request with subjects that are or were quarantined or on probation,
// as of Verdicts.Check, may be sent now. While they are, it records the request as a trial of all.
func (t *Table) BeginTrial(now time.Time, held []Quarantine) bool {
	var due []Subject
	for _, h := range held {
		q, ok := t.quarantines[h.Subject]
		if !ok {
			q, ok = t.probations[h.Subject]
		}
		if !ok {
			continue
		}
		if now.Before(q.TrialAt) {
			return false
		}
		due = append(due, h.Subject)
	}
	for _, s := range due {
		t.put(s, Record{}.WithTrial(now))
	}
	if len(due) > 0 {
		t.update(now)
	}
	return true
}

// put merges a record with that of a subject. It reports whether relays would conclude
// something else from the result.
func (t *Table) put(s Subject, r Record) bool {
	before, known := t.records[s]
	merged := before.Merge(r)
	if at, ok := t.sound.get(s); ok {
		merged = merged.WithSound(at)
	}
	news := !known || len(merged.open(nil)) != len(before.open(nil)) ||
		merged.lastCrash().Sub(before.lastCrash()) > simultaneous || merged.trialAt.Sub(before.trialAt) > simultaneous ||
		merged.isKnown(merged.open(nil)) != before.isKnown(before.open(nil))
	changed := before.changed
	if news {
		t.version++
		changed = t.version
	}
	if t.records == nil {
		t.records = make(map[Subject]tableRecord)
	}
	t.records[s] = tableRecord{Record: merged, changed: changed}
	return news
}

// update drops what is outdated and decides anew what is quarantined. The decision
// depends only on the records, so relays with the same records decide alike.
func (t *Table) update(now time.Time) {
	t.prune(now)
	t.quarantines, t.probations = make(map[Subject]Quarantine), make(map[Subject]Quarantine)
	t.explained = make(map[crashKey]bool)
	for {
		c, found := t.mostLikely()
		if !found {
			break
		}
		r := t.records[c.subject]
		t.quarantines[c.subject] = Quarantine{
			Subject: c.subject, With: c.with, Crashes: c.open,
			TrialAt: r.nextTrial(c.independent, t.isAmbiguous(c.subject, c.with, c.open)),
		}
		for _, crash := range r.open(nil) {
			t.explained[crash.key()] = true
		}
	}
	for s, r := range t.records {
		if _, ok := t.quarantines[s]; ok || len(r.crashes) < minWidespread {
			continue
		}
		if open := r.open(t.explained); t.isWidespread(r.Record, open, minWidespread, t.explained) {
			t.probations[s] = Quarantine{Subject: s, With: t.inseparable(s, open), Crashes: open, TrialAt: r.nextProbe()}
		}
	}
}

// candidate is a subject that may be to blame for crashes.
type candidate struct {
	subject     Subject
	open        []Crash  // that it may be to blame for
	with        []uint64 // subjects that nothing has told apart from it
	independent int      // number of independent crashes
	threshold   int      // from which on it is to blame
	depth       int
}

// compare orders candidates by how likely they are to blame, the most likely one first. A part that
// had good runs is in many requests, also in those with the part that is to blame. Of two subjects
// with the same evidence, the one whose runs have more in common holds back fewer other requests,
// and so does the deeper one. The ID makes the order the same everywhere.
func (c candidate) compare(other candidate) int {
	return cmp.Or(
		cmp.Compare(c.threshold, other.threshold), cmp.Compare(other.independent, c.independent), cmp.Compare(len(other.with), len(c.with)),
		cmp.Compare(other.depth, c.depth), cmp.Compare(c.subject.ID, other.subject.ID),
	)
}

// mostLikely returns the subject that is most likely to blame for crashes that are not
// explained, and false if none is to blame.
func (t *Table) mostLikely() (best candidate, found bool) {
	services := t.crashTimes(t.explained)
	for s, r := range t.records {
		if _, done := t.quarantines[s]; done || len(r.crashes) < minCrashes {
			continue
		}
		open := r.open(t.explained)
		c := candidate{subject: s, open: open, independent: independent(open), depth: r.depth}
		c.threshold = t.threshold(r.Record, open, services)
		if c.independent < c.threshold && (c.independent == 1 || !t.isWidespread(r.Record, open, minWidespread, t.explained)) {
			continue
		}
		c.with = t.inseparable(s, open)
		if !found || c.compare(best) < 0 {
			best, found = c, true
		}
	}
	return best, found
}

// prune drops subjects without recent crashes, and the oldest ones that are not
// quarantined if there are too many.
func (t *Table) prune(now time.Time) {
	for s, r := range t.records {
		lifetime := suspectLifetime
		if _, ok := t.quarantines[s]; ok {
			lifetime = quarantineLifetime
		}
		if now.Sub(r.lastAt()) > lifetime {
			delete(t.records, s)
		}
	}
	if len(t.records) <= maxSubjects {
		return
	}
	subjects := slices.SortedFunc(maps.Keys(t.records), func(a, b Subject) int {
		_, qa := t.quarantines[a]
		_, qb := t.quarantines[b]
		if qa != qb {
			if qa {
				return 1
			}
			return -1
		}
		return t.records[a].lastAt().Compare(t.records[b].lastAt())
	})
	for _, s := range subjects[:len(subjects)-maxSubjects+pruneReserve] {
		delete(t.records, s)
	}
}

// confined returns Verdicts.Confined: the subjects that had a crash and no good run since, but for
// those whose requests are all quarantined. One that had a good run shortly before is in many requests.
// It tells requests with a true one apart if it ran at several crashes.
func (t *Table) confined() map[Subject]bool {
	out := make(map[Subject]bool)
	for s, r := range t.records {
		open := r.open(nil)
		known := r.isKnown(open)
		if q, ok := t.quarantines[s]; len(open) == 0 || known && independent(open) == 1 || ok && len(q.With) == 0 {
			continue
		}
		out[s] = !known
	}
	return out
}

// Suspected reports whether one more crash may be enough to quarantine requests with the given
// subjects.
func (t *Table) Suspected(suspects []Suspect) bool {
	services := t.crashTimes(t.explained)
	return slices.ContainsFunc(suspects, func(s Suspect) bool {
		if q, ok := t.quarantines[s.Subject]; ok {
			return q.covers(suspects)
		}
		r, ok := t.records[s.Subject]
		if !ok {
			return false
		}
		open := r.open(t.explained)
		if independent(open) < t.threshold(r.Record, open, services)-1 && !t.isWidespread(r.Record, open, minWidespread-1, t.explained) {
			return false
		}
		return Quarantine{With: t.inseparable(s.Subject, open)}.covers(suspects)
	})
}

// isWidespread reports whether the open crashes of a subject, which isn't known to be sound, are
// least at least and MinCoverage of those of their service at the time. Those in explained don't
// count.
func (t *Table) isWidespread(r Record, open []Crash, least int, explained map[crashKey]bool) bool {
	if len(open) < least || r.isKnown(open) {
		return false
	}
	from, to := open[0].At, open[len(open)-1].At.Add(simultaneous)
	if len(r.crashes) < maxCrashes { // else earlier ones may be forgotten
		from = from.Add(-simultaneous)
	}
	all := make(map[crashKey]bool)
	for _, other := range t.records {
		for _, c := range other.crashes {
			if c.Service == open[0].Service && !c.At.Before(from) && !c.At.After(to) && !explained[c.key()] {
				all[c.key()] = true
			}
		}
	}
	return float64(len(open)) >= MinCoverage*float64(len(all))
}

// threshold returns the number of independent crashes, of those in open, from which on
// the subject is to blame. services are the times of all independent crashes.
func (t *Table) threshold(r Record, open []Crash, services map[string][]time.Time) int {
	share := coverage(open, services)
	switch {
	case r.isKnown(open) && t.besides(open, nil) == len(open):
		return minCrashesBeside
	case r.isKnown(open) || share < halfCoverage:
		return minCrashesUnlikely
	case share < MinCoverage:
		return minCrashesHalf
	default:
		return minCrashes
	}
}

// coverage returns the share that the open crashes of a subject have in the independent
// crashes of the same service from the first to the last of them.
func coverage(open []Crash, services map[string][]time.Time) float64 {
	if len(open) == 0 {
		return 0
	}
	times := services[open[0].Service]
	from, found := slices.BinarySearchFunc(times, open[0].At, time.Time.Compare)
	if !found && from > 0 && open[0].At.Sub(times[from-1]) < simultaneous {
		from-- // the first crash counts as one with another just before
	}
	to, found := slices.BinarySearchFunc(times, open[len(open)-1].At, time.Time.Compare)
	if found {
		to++
	}
	return float64(independent(open)) / float64(max(1, to-from))
}

// crashTimes returns the times of the crashes of each service, of those within
// simultaneous the first, without those that are explained.
func (t *Table) crashTimes(explained map[crashKey]bool) map[string][]time.Time {
	all := make(map[crashKey]Crash)
	for _, r := range t.records {
		for _, c := range r.crashes {
			if !explained[c.key()] {
				all[c.key()] = c
			}
		}
	}
	out := make(map[string][]time.Time)
	for _, c := range slices.SortedFunc(maps.Values(all), Crash.compare) {
		times := out[c.Service]
		if n := len(times); n == 0 || c.At.Sub(times[n-1]) >= simultaneous {
			out[c.Service] = append(times, c.At)
		}
	}
	return out
}

// Suspicion is what a table holds of a subject.
type Suspicion struct {
	Subject     Subject
	Crashes     []Crash   // since the last good run
	Needed      int       // independent crashes from which on it is quarantined
	SoundAt     time.Time // end of the last good run; zero: none is known
	TrialAt     time.Time // while it is quarantined or on probation: from when on one request is sent as a trial
	With        []uint64  // the same: IDs of subjects that nothing has told apart; requests that lack one are sent
	Quarantined bool
	OnProbation bool
}

// Suspicions returns the subjects that had crashes since their last good run, the
// quarantined ones first, then those with most crashes.
func (t *Table) Suspicions() []Suspicion {
	var out []Suspicion
	services := t.crashTimes(nil)
	for s, r := range t.records {
		open := r.open(nil)
		if len(open) == 0 {
			continue
		}
		q, quarantined := t.quarantines[s]
		p, onProbation := t.probations[s]
		if onProbation {
			q = p
		}
		out = append(out, Suspicion{
			Subject: s, Crashes: open, Needed: t.threshold(r.Record, open, services), SoundAt: r.soundAt, TrialAt: q.TrialAt, With: q.With, Quarantined: quarantined, OnProbation: onProbation,
		})
	}
	slices.SortFunc(out, func(a, b Suspicion) int {
		if a.Quarantined != b.Quarantined {
			if a.Quarantined {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Subject.ID, b.Subject.ID))
	})
	return out
}

// Verdicts returns what the table concludes for requests. The caller must not modify its maps,
// which the table doesn't modify either.
func (t *Table) Verdicts() *Verdicts {
	return &Verdicts{Quarantines: t.quarantines, Probations: t.probations, Confined: t.confined()}
}

// Quarantines returns the quarantined subjects. The caller must not modify the map.
func (t *Table) Quarantines() map[Subject]Quarantine { return t.quarantines }

// Len returns the number of subjects with crashes.
func (t *Table) Len() int { return len(t.records) }

// Version returns a number that rises with each change that other relays need to know.
func (t *Table) Version() int { return t.version }

// Changes returns the records that changed after a version, encoded for Merge, and the
// current version.
func (t *Table) Changes(now time.Time, after int) ([][]byte, int, error) {
	var out [][]byte
	for s, r := range t.records {
		if r.changed <= after {
			continue
		}
		raw, err := proto.Marshal(encode(now, s, r.Record))
		if err != nil {
			return nil, after, fmt.Errorf("encode subject: %w", err)
		}
		out = append(out, raw)
	}
	return out, t.version, nil
}

// Merge adds records of another relay. It skips those that can't be decoded and returns
// an error for the last of them.
func (t *Table) Merge(now time.Time, records [][]byte) error {
	var failed error
	changed := false
	for _, raw := range records {
		var w SubjectState
		if err := proto.Unmarshal(raw, &w); err != nil {
			failed = fmt.Errorf("decode subject: %w", err)
			continue
		}
		s, r := decode(now, &w)
		before := t.records[s].Record
		t.put(s, r)
		changed = changed || !before.equal(t.records[s].Record)
	}
	if changed {
		t.update(now)
	}
	return failed
}

// recentRuns remembers which subjects had a good run within knownPeriod, or longer, in
// two generations of bounded size.
type recentRuns struct {
	current, previous map[Subject]time.Time
	beganAt           time.Time // of the current generation
}

func (m *recentRuns) put(now time.Time, s Subject) {
	if m.current == nil || len(m.current) >= maxSoundSubjects || now.Sub(m.beganAt) > knownPeriod {
		m.current, m.previous, m.beganAt = make(map[Subject]time.Time), m.current, now
	}
	m.current[s] = now
}

func (m *recentRuns) get(s Subject) (time.Time, bool) {
	if at, ok := m.current[s]; ok {
		return at, true
	}
	at, ok := m.previous[s]
	return at, ok
}
