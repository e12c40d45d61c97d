package poison

import (
	"encoding/binary"
	"slices"
	"time"
)

const (
	idBytes = 8
	// maxCommon bounds the subjects of a run by which it is compared with others.
	maxCommon = 8
	// maxUnambiguous is the number of crashes without another suspect up to which a verdict is ambiguous:
	// the suspect of one of them may have had no other crash yet.
	maxUnambiguous = 1
)

// idSet is an immutable set of IDs of subjects, in ascending order. It can be compared.
type idSet string

func newIDSet(ids []uint64) idSet {
	ids = slices.Compact(slices.Sorted(slices.Values(ids)))
	raw := make([]byte, 0, idBytes*len(ids))
	for _, id := range ids {
		raw = binary.BigEndian.AppendUint64(raw, id)
	}
	return idSet(raw)
}

// idsOf returns the IDs of a run's first maxCommon subjects.
func idsOf(suspects []Suspect) idSet {
	ids := make([]uint64, 0, maxCommon)
	for _, s := range suspects[:min(len(suspects), maxCommon)] {
		ids = append(ids, s.ID)
	}
	return newIDSet(ids)
}

func (s idSet) ids() []uint64 {
	out := make([]uint64, 0, len(s)/idBytes)
	for i := 0; i+idBytes <= len(s); i += idBytes {
		out = append(out, binary.BigEndian.Uint64([]byte(s[i:i+idBytes])))
	}
	return out
}

// intersect returns the IDs that are in both sets.
func (s idSet) intersect(other idSet) idSet {
	if s == other {
		return s
	}
	theirs := other.ids()
	return newIDSet(slices.DeleteFunc(s.ids(), func(id uint64) bool { return !slices.Contains(theirs, id) }))
}

// mergeCommon returns a copy whose common subjects are also those of another record's crash.
func (c Crash) mergeCommon(other Crash) Crash {
	switch {
	case !other.commonTold:
	case !c.commonTold:
		c.common, c.commonTold = other.common, true
	default:
		c.common = c.common.intersect(other.common)
	}
	return c
}

// inseparable returns the IDs of other subjects that nothing has told apart from a subject yet:
// each run of the subject at its open crashes had them, too, and no run with them has come to a
// good end since the first of these crashes.
func (t *Table) inseparable(s Subject, open []Crash) []uint64 {
	var all Crash
	for _, c := range open {
		all = all.mergeCommon(c)
	}
	return slices.DeleteFunc(all.common.ids(), func(id uint64) bool { return id == s.ID || t.hasGoodRunSince(id, open[0].At) })
}

// besides returns the number of crashes, of those in open, at which another prompt part ran that is
// not known to be sound and ran at several crashes. Those in except don't count. A request that was
// sent again is no other cause than its parts.
func (t *Table) besides(open []Crash, except []uint64) int {
	beside := make(map[crashKey]bool)
	for s, r := range t.records {
		if list := r.open(nil); s.Kind == KindPromptPart && !slices.Contains(except, s.ID) && !r.isKnown(list) && independent(list) > 1 {
			for _, c := range list {
				beside[c.key()] = true
			}
		}
	}
	n := 0
	for _, c := range open {
		if beside[c.key()] {
			n++
		}
	}
	return n
}

// isAmbiguous reports whether other subjects may be to blame for the open crashes of a subject,
// although not the same one for all of them. with are those that are inseparable from it.
func (t *Table) isAmbiguous(s Subject, with []uint64, open []Crash) bool {
	return t.besides(open, append([]uint64{s.ID}, with...)) >= len(open)-maxUnambiguous
}

// hasGoodRunSince reports whether a run with a subject came to a good end after a time.
func (t *Table) hasGoodRunSince(id uint64, at time.Time) bool {
	for _, kind := range []Kind{KindPromptPart, KindRequest} {
		if t.records[Subject{Kind: kind, ID: id}].soundAt.After(at) {
			return true
		}
	}
	return false
}
