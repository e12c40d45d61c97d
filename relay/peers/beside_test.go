package peers

import (
	"testing"
	"time"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/origin"
)

// fakeKeepers are keepers beside endpoints. Those without an answer don't answer.
type fakeKeepers struct {
	clk     clock.Clock
	usedAt  time.Time // before, none is in use
	names   []string
	answers map[string]origin.Answer
}

func (*fakeKeepers) Enabled() bool { return true }

func (*fakeKeepers) Record(string, origin.Origin) {}

func (k *fakeKeepers) Keepers() []origin.Keeper {
	if k.clk.Now().Before(k.usedAt) {
		return nil
	}
	out := make([]origin.Keeper, 0, len(k.names))
	for _, name := range k.names {
		out = append(out, origin.Keeper{Instance: name, Incarnation: 1})
	}
	return out
}

func (k *fakeKeepers) Ask(to origin.Keeper, _ string, reply func(origin.Answer)) bool {
	if a, ok := k.answers[to.Instance]; ok {
		reply(a)
	}
	return true
}

// TestKeepersAnswer guards against streams that are refused for good after a loss of all relays
// though a keeper remembers them, or may: the relay has just started and doesn't know the
// keepers yet, other relays have answered already, or keepers are lost.
func TestKeepersAnswer(t *testing.T) {
	knows := origin.Answer{Known: true, Origin: origin.Origin{Service: "s", Version: "v1"}, Since: time.Minute}
	none := origin.Answer{Since: time.Minute}
	for name, c := range map[string]struct {
		relays  int // which know nothing
		keepers []string
		linked  time.Duration // from the beginning of the search until the keepers are in use; an hour: never
		answers map[string]origin.Answer
		want    origin.Result
	}{
		"one of three knows":           {2, []string{"a", "b", "c"}, 0, map[string]origin.Answer{"a": none, "b": none, "c": knows}, origin.Found},
		"known, another one is lost":   {2, []string{"a", "b"}, 0, map[string]origin.Answer{"b": knows}, origin.Found},
		"no other relay":               {0, []string{"a"}, 0, map[string]origin.Answer{"a": knows}, origin.Found},
		"in use late":                  {2, []string{"a"}, 200 * time.Millisecond, map[string]origin.Answer{"a": knows}, origin.Found},
		"in use late, no other relay":  {0, []string{"a"}, 200 * time.Millisecond, map[string]origin.Answer{"a": knows}, origin.Found},
		"never in use":                 {2, []string{"a"}, time.Hour, nil, origin.Unanswered},
		"never in use, no other relay": {0, []string{"a"}, time.Hour, nil, origin.Unanswered},
		"one is lost":                  {2, []string{"a", "b"}, 0, map[string]origin.Answer{"b": none}, origin.Unanswered},
		"none knows":                   {2, []string{"a", "b"}, 0, map[string]origin.Answer{"a": none, "b": none}, origin.Unrecorded},
	} {
		t.Run(name, func(t *testing.T) {
			ot := newOriginTest(c.relays)
			ot.mesh.Beside = &fakeKeepers{clk: ot.clk, usedAt: ot.clk.Now().Add(c.linked), names: c.keepers, answers: c.answers}
			f := ot.find(t.Context(), func() {
				for id := range ot.links {
					ot.answer(nil, id)
				}
			})
			if f.Result != c.want || f.Result == origin.Found && f.Origin != knows.Origin {
				t.Errorf("%+v, want %s", f, c.want)
			}
		})
	}
}
