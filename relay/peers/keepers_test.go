package peers

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"wigeonplank.example/core/origin"
)

// besideTest stands for keepers beside endpoints.
type besideTest struct {
	keepers []origin.Keeper
	// ask returns the answer of the n-th keeper to its times-th question, or nil if the link fails first.
	ask func(n, times int) *origin.Answer

	mu      sync.Mutex
	times   map[origin.Keeper]int
	waiting []func()
	down    int // looks for which no keeper is linked
}

func newBesideTest(n int, ask func(n, times int) *origin.Answer) *besideTest {
	b := &besideTest{ask: ask, times: make(map[origin.Keeper]int)}
	for i := range n {
		b.keepers = append(b.keepers, origin.Keeper{Instance: fmt.Sprint("k", i), Incarnation: 1})
	}
	return b
}

func (b *besideTest) Enabled() bool { return true }

func (b *besideTest) Record(string, origin.Origin) {}

func (b *besideTest) Keepers() []origin.Keeper {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down == 0 {
		return b.keepers
	}
	b.down--
	var out []origin.Keeper
	for _, k := range b.keepers {
		out = append(out, origin.Keeper{Instance: k.Instance})
	}
	return out
}

func (b *besideTest) Ask(k origin.Keeper, _ string, reply func(a origin.Answer)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k.Incarnation == 0 {
		return false
	}
	b.times[k]++
	a := b.ask(slices.Index(b.keepers, k), b.times[k])
	switch {
	case a == nil:
		b.down = 4
	case a.Known:
		b.waiting = append(b.waiting, func() { reply(*a) })
	default:
		reply(*a)
	}
	return true
}

// answer passes the answers of those that know the stream.
func (b *besideTest) answer() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, reply := range b.waiting {
		reply()
	}
	b.waiting = nil
}

var besideOrigin = origin.Origin{Service: "s", Version: "v1"}

// TestLateKeepersThatKnow guards against streams that are refused though keepers know them: the
// first ones in the order have run for long, but are hosts only since others left, and the
// machines of those that know are busy.
func TestLateKeepersThatKnow(t *testing.T) {
	b := newBesideTest(12, func(n, _ int) *origin.Answer {
		return &origin.Answer{Known: n >= wantedAnswers, Origin: besideOrigin, Since: time.Hour}
	})
	ot := newOriginTest(0)
	ot.mesh.Beside = b
	begun := ot.clk.Now()
	f := ot.find(t.Context(), func() {
		if ot.clk.Now().Sub(begun) > 400*time.Millisecond {
			b.answer()
		}
	})
	if f.Result != origin.Found {
		t.Errorf("%+v, want the record of those that answer after 400 ms", f)
	}
}

// TestRelinkedKeepersAreAskedAgain guards against streams that are refused though keepers know
// them and are linked again: their links had gone silent, and failed with the question.
func TestRelinkedKeepersAreAskedAgain(t *testing.T) {
	b := newBesideTest(12, func(_, times int) *origin.Answer {
		if times == 1 {
			return nil
		}
		return &origin.Answer{Known: true, Origin: besideOrigin, Since: time.Hour}
	})
	ot := newOriginTest(0)
	ot.mesh.Beside = b
	if f := ot.find(t.Context(), b.answer); f.Result != origin.Found {
		t.Errorf("%+v after %d questions to the first, want the record", f, b.times[b.keepers[0]])
	}
}

// TestAlone guards against streams that begin at a relay of which nobody else hears, and against a
// relay that refuses them although somebody does, or might not be there at all.
func TestAlone(t *testing.T) {
	for name, c := range map[string]struct {
		relays int
		beside Keepers
		since  time.Duration
		want   bool
	}{
		"no link":                          {0, &besideTest{keepers: make([]origin.Keeper, 3)}, 2 * aloneAfter, true},
		"no link for a short time":         {0, &besideTest{keepers: make([]origin.Keeper, 3)}, aloneAfter / 2, false},
		"linked to a keeper":               {0, newBesideTest(3, nil), 2 * aloneAfter, false},
		"linked to a relay":                {1, &besideTest{keepers: make([]origin.Keeper, 3)}, 2 * aloneAfter, false},
		"there are no keepers":             {0, nil, 2 * aloneAfter, false},
		"no machine may have a keeper yet": {0, newBesideTest(0, nil), 2 * aloneAfter, false},
	} {
		ot := newOriginTest(c.relays)
		ot.mesh.Beside = c.beside
		ot.mesh.updateUnlinked()
		ot.clk.Advance(c.since)
		ot.mesh.updateUnlinked()
		if got := ot.mesh.IsAlone(); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
