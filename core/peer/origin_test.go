package peer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonplank.example/core/origin"
	"wigeonplank.example/core/peer"
)

const (
	takeUpDelay = 3 * time.Second // from a change until callers go on; the users count none at a relay before
)

// streamFleet is a fleet whose relays remember where streams began.
type streamFleet struct {
	*fleet
	rng     *rand.Rand
	origins map[string]*origin.Table // by instance
	sent    map[*relay]*origin.Copies

	chosen   map[*relay][]peer.Member // keepers, as of chosenAt
	chosenAt time.Time
}

// begin begins a stream at a relay, which tells the keepers that it knows.
func (f *streamFleet) begin(r *relay, stream string) {
	f.table(r.Self.Instance).Put(f.now, stream, origin.Origin{Version: "v1"})
	f.copies(r).Put(f.now, stream, origin.Origin{Version: "v1"})
	f.send(r, stream)
}

// send sends the record of a stream to the keepers that are to have it.
func (f *streamFleet) send(r *relay, stream string) {
	var list []origin.Keeper
	for _, m := range peer.OrderKeepers(f.keepers(r), stream) {
		if k := f.byID[m.Instance]; k != r && !k.dead {
			list = append(list, origin.Keeper{Instance: m.Instance, Incarnation: m.Incarnation})
		}
	}
	o, to := f.copies(r).Next(f.now, stream, list, peer.KeepersPerStream)
	for _, k := range to {
		f.table(k.Instance).Put(f.now, stream, o)
		f.copies(r).Sent(f.now, stream, k)
		f.copies(r).Stored(f.now, stream, k, o)
	}
}

// handOn lets all relays send the records of their streams to new keepers.
func (f *streamFleet) handOn() {
	for _, r := range f.relays {
		if r.dead {
			continue
		}
		f.copies(r).Reconsider(f.now)
		for _, stream := range f.copies(r).Due(f.now) {
			f.send(r, stream)
		}
	}
}

// knows reports whether a relay at which a stream is taken up can find out where it
// began.
func (f *streamFleet) knows(r *relay, stream string) bool {
	if _, ok := f.table(r.Self.Instance).Get(f.now, stream); ok {
		return true
	}
	for _, m := range f.keepers(r) {
		if k := f.byID[m.Instance]; !k.dead {
			if _, ok := f.table(m.Instance).Get(f.now, stream); ok {
				return true
			}
		}
	}
	return false
}

// keepers returns the keepers that a relay knows.
func (f *streamFleet) keepers(r *relay) []peer.Member {
	if f.chosenAt != f.now || f.chosen == nil {
		f.chosen, f.chosenAt = make(map[*relay][]peer.Member), f.now
	}
	if f.chosen[r] == nil {
		f.chosen[r] = r.Keepers(f.now)
	}
	return f.chosen[r]
}

// copies returns what a relay knows of the copies of its records.
func (f *streamFleet) copies(r *relay) *origin.Copies {
	if f.sent == nil {
		f.sent = make(map[*relay]*origin.Copies)
	}
	if f.sent[r] == nil {
		f.sent[r] = &origin.Copies{}
	}
	return f.sent[r]
}

func (f *streamFleet) table(instance string) *origin.Table {
	if f.origins[instance] == nil {
		f.origins[instance] = &origin.Table{}
	}
	return f.origins[instance]
}

// fraction returns the part of n parts of all streams to which a stream belongs.
func fraction(stream string, n uint64) int { return int(xxhash.Sum64String(stream) % n) }

// kill ends the relays for which dies is true; what they remember is lost.
func (f *streamFleet) kill(dies func(i int) bool) {
	for _, id := range f.fleet.kill(dies) {
		delete(f.origins, id)
	}
}

// randomRelay returns a relay that is not dead.
func (f *streamFleet) randomRelay() *relay {
	for {
		if r := f.relays[f.rng.IntN(len(f.relays))]; !r.dead {
			return r
		}
	}
}

// TestStreamsOutliveTheirRelays guards against streams that their callers can't take up
// because all relays that remember where they began were lost or are no longer asked, also
// against losses that take whole groups of streams along.
func TestStreamsOutliveTheirRelays(t *testing.T) {
	const (
		streams   = 1200
		fractions = 4 // parts of the streams that are looked at on their own
		seeds     = 3
	)
	killed := func(dies func(f *streamFleet, i int) bool) func(f *streamFleet) {
		return func(f *streamFleet) {
			f.kill(func(i int) bool { return dies(f, i) })
			f.run(takeUpDelay)
		}
	}
	for name, c := range map[string]struct {
		change   func(f *streamFleet) // between the beginning of the streams and their take-up
		want     float64              // share of the streams whose beginning is known, of each fraction
		handedOn bool                 // their own relays have handed records on meanwhile
	}{
		"no change": {func(*streamFleet) {}, 1, false},
		"a relay restarts": {func(f *streamFleet) {
			f.kill(func(i int) bool { return i == 1 })
			f.run(time.Second)
			f.restart(2)
			f.run(takeUpDelay)
		}, 1, false},
		"two relays restart in turn": {func(f *streamFleet) {
			for n := range 2 {
				f.kill(func(i int) bool { return i == n })
				f.run(time.Second)
				f.restart(uint64(2 + n))
				f.run(takeUpDelay)
			}
		}, 1, false},
		"a zone is lost":            {killed(func(_ *streamFleet, i int) bool { return i%zoneCount == 1 }), 1, false},
		"every second is killed":    {killed(func(_ *streamFleet, i int) bool { return i%2 == 0 }), 0.95, true},
		"the others are killed":     {killed(func(_ *streamFleet, i int) bool { return i%2 == 1 }), 0.95, true},
		"the first half is killed":  {killed(func(f *streamFleet, i int) bool { return i < len(f.relays)/2 }), 0.95, true},
		"the second half is killed": {killed(func(f *streamFleet, i int) bool { return i >= len(f.relays)/2 }), 0.95, true},
		"the strongest half is killed": {killed(func(f *streamFleet, i int) bool {
			w := f.relays[i].Self.Weight
			return w == 3 || w == 2 && i%2 == 0
		}), 0.95, true},
		"half of them are killed": {func(f *streamFleet) {
			order := f.rng.Perm(len(f.relays))
			f.kill(func(i int) bool { return order[i] < len(f.relays)/2 })
			f.run(takeUpDelay)
		}, 0.95, true},
		"most are killed at once": {func(f *streamFleet) {
			f.kill(func(i int) bool { return i%5 < 3 })
			f.run(time.Second)
			f.restart(2)
			f.run(takeUpDelay)
		}, 0.5, false},
		"relays are added": {func(f *streamFleet) {
			for range max(1, len(f.relays)/4) {
				f.add(len(f.relays), 1)
			}
			f.run(takeUpDelay)
		}, 0.95, true},
	} {
		for _, n := range []int{4, 24, 40, 68, 146} {
			for seed := range uint64(seeds) {
				t.Run(fmt.Sprint(name, "/", n, " relays/seed ", seed), func(t *testing.T) {
					t.Parallel()
					f := &streamFleet{fleet: newNamedFleet(n, fmt.Sprint("e", seed, "-")), rng: rand.New(rand.NewPCG(seed, uint64(n))), origins: make(map[string]*origin.Table)}
					f.run(8 * time.Second)
					for i := range streams {
						f.begin(f.randomRelay(), fmt.Sprint("stream-", i))
					}
					c.change(f)
					if c.handedOn {
						f.handOn()
					}
					var known, all [fractions]int
					for i := range streams {
						stream := fmt.Sprint("stream-", i)
						part := fraction(stream, fractions)
						all[part]++
						if f.knows(f.randomRelay(), stream) {
							known[part]++
						}
					}
					least := 1.0
					for part := range fractions {
						least = min(least, float64(known[part])/float64(all[part]))
					}
					if least < c.want {
						t.Errorf("of a fraction of the streams, the beginning of %.1f%% is known, want %.0f%% (%v of %v)", 100*least, 100*c.want, known, all)
					} else {
						t.Logf("known: %.1f%% at least", 100*least)
					}
				})
			}
		}
	}
}

// TestStreamOutlivesItsRelayAndAKeeper guards against a stream whose beginning is known
// to its own relay and one more only, which are restarted one after the other.
func TestStreamOutlivesItsRelayAndAKeeper(t *testing.T) {
	f := &streamFleet{fleet: newFleet(24), origins: make(map[string]*origin.Table)}
	f.run(8 * time.Second)
	r := f.relays[5]
	f.begin(r, "stream")
	for restarts, id := range []string{r.Self.Instance, peer.OrderKeepers(r.Keepers(f.now), "stream")[0].Instance} {
		f.kill(func(i int) bool { return f.relays[i].Self.Instance == id })
		f.run(time.Second)
		f.restart(uint64(2 + restarts))
		f.run(takeUpDelay)
	}
	for _, other := range f.relays {
		if !f.knows(other, "stream") {
			t.Errorf("relay %s can't find out where the stream began", other.Self.Instance)
		}
	}
}

// TestSmallGroupRemembersAllStreams guards against streams that the only relay of four
// that is left knows nothing of.
func TestSmallGroupRemembersAllStreams(t *testing.T) {
	for left := range 4 {
		f := &streamFleet{fleet: newFleet(4), origins: make(map[string]*origin.Table)}
		f.run(8 * time.Second)
		for i := range 40 {
			f.begin(f.relays[i%4], fmt.Sprint("stream-", i))
		}
		f.kill(func(i int) bool { return i != left })
		for i := range 40 {
			if stream := fmt.Sprint("stream-", i); !f.knows(f.relays[left], stream) {
				t.Errorf("relay %d alone doesn't know where %s began", left, stream)
			}
		}
	}
}
