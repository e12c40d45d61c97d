package origin_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
)

const streamAge = 8 * time.Second

// streamOfAge returns a stream of the service "s" that began no longer than age ago.
func streamOfAge(now time.Time, id string, age time.Duration) origin.Stream {
	return origin.Stream{Service: "s", ID: id, Since: now.Add(-age)}
}

// conclude returns the version at which a stream began, and false if it isn't known.
func conclude(v *origin.Versions, now time.Time, s origin.Stream) (string, bool) {
	c := v.Began(now, s)
	return c.Version, c.Known()
}

// viewOf returns a view of the endpoints in a list of ID:VERSION:AGE or
// ID:VERSION:AGE:SEQ, in which a minus before the ID stands for a draining endpoint. Ages
// are at start.
func viewOf(t *testing.T, list string) *fleet.View {
	t.Helper()
	var change fleet.Change
	for f := range strings.FieldsSeq(list) {
		change.Put = append(change.Put, parseEndpoint(t, f))
	}
	v := fleet.View{}.WithChange(change)
	return &v
}

func parseEndpoint(t *testing.T, field string) *fleet.Endpoint {
	t.Helper()
	f := strings.Split(field, ":")
	age, err := time.ParseDuration(f[2])
	if err != nil {
		t.Fatal(err)
	}
	e := &fleet.Endpoint{Service: "s", Version: f[1], State: fleet.StateReady, StartUnixMs: start.Add(-age).UnixMilli()}
	if len(f) > 3 {
		if e.Seq, err = strconv.ParseInt(f[3], 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	id, draining := strings.CutPrefix(f[0], "-")
	if e.ID = id; draining {
		e.State = fleet.StateDraining
	}
	return e
}

// historyOf returns a history from a list of changes in the form that viewOf takes, and
// ID for a removal. Revisions of the changes are 101, 102, and so on. Listed endpoints were
// added at revision 1, except those with a change that begins with +.
func historyOf(t *testing.T, listed, changes string) origin.History {
	t.Helper()
	h := origin.History{Since: start.Add(-20 * time.Second), Added: origin.Additions{}}
	for i, f := range strings.Fields(changes) {
		c := origin.Change{Revision: int64(101 + i), Created: 1}
		f, added := strings.CutPrefix(f, "+")
		if c.ID, _, _ = strings.Cut(strings.TrimPrefix(f, "-"), ":"); strings.Contains(f, ":") {
			c.Endpoint = parseEndpoint(t, f)
		}
		if added {
			c.Created = c.Revision
			h.Added[c.Created] = time.UnixMilli(c.Endpoint.StartUnixMs)
		}
		h.Changes = append(h.Changes, c)
	}
	for _, e := range viewOf(t, listed).All() {
		if at := time.UnixMilli(e.StartUnixMs); at.Before(start.Add(-30 * time.Second)) {
			h.Added[1] = at
		}
	}
	return h
}

// TestBegan checks after a start which streams are known to have begun at the version "v2".
// all: any stream of the service. some: only those whose attempt is known, and not each.
func TestBegan(t *testing.T) {
	for name, c := range map[string]struct {
		listed  string // at the start, and since
		changes string // before the start; "-": the history can't be read
		want    string
	}{
		"no history":                  {"a:v2:1m b:v2:1m", "-", "none"},
		"nothing has changed":         {"a:v2:1m b:v2:1m", "", "all"},
		"two versions for long":       {"a:v1:1m b:v2:1m", "", "some"},
		"last of the former drained":  {"a:v2:1m b:v2:1m", "-c:v1:1m c", "some"},
		"last of the former removed":  {"a:v2:1m b:v2:1m", "c:v1:1m c", "some"},
		"all replaced at once":        {"a:v2:2s b:v2:2s", "+a:v2:2s +b:v2:2s -c:v1:1m -d:v1:1m", "none"},
		"replaced long ago":           {"a:v2:18s b:v2:16s", "-c:v1:1m c +a:v2:18s +b:v2:16s", "all"},
		"one more of the same":        {"a:v2:1m b:v2:2s", "+b:v2:2s", "all"},
		"one lost without a word":     {"a:v2:1m b:v2:1m", "c", "all"},
		"one lost, two versions":      {"a:v2:1m b:v2:1m d:v1:1m", "c", "some"},
		"restarted at another":        {"a:v2:1m b:v2:2s", "b:v1:1m b:v2:2s", "some"},
		"three versions":              {"a:v1:1m b:v2:1m c:v3:1m", "", "some"},
		"the same again":              {"a:v2:1m b:v2:1m", "a:v2:1m b:v2:1m", "all"},
		"before a restart unknown":    {"a:v1:1m b:v2:2s", "b:v2:2s", "none"},
		"restarted in an outage":      {"a:v1:1m b:v2:10s:7", "b:v2:10s:7", "none"},
		"writes long after its start": {"a:v1:1m b:v2:1m:50", "b:v2:1m:50", "some"},
	} {
		t.Run(name, func(t *testing.T) {
			var v origin.Versions
			v.Observe(start, viewOf(t, c.listed))
			if c.changes != "-" {
				v.Recall(historyOf(t, c.listed, c.changes))
			}
			now := start.Add(10 * time.Millisecond)
			known := 0
			for i := range 100 {
				if version, ok := conclude(&v, now, streamOfAge(now, fmt.Sprint(i), streamAge)); ok && version == "v2" {
					known++
				}
			}
			_, anonymous := conclude(&v, now, streamOfAge(now, "", streamAge))
			got := "some"
			switch {
			case known == 100 && anonymous:
				got = "all"
			case known == 0:
				got = "none"
			case anonymous:
				t.Error("a stream whose attempt isn't named is known")
			}
			if got != c.want {
				t.Errorf("%d of 100 streams are known to have begun at v2, want %s", known, c.want)
			}
		})
	}
}

// TestChangesAtOnce guards against streams that go on at another version because this relay
// received in one step what another one, at which they began, received in several.
func TestChangesAtOnce(t *testing.T) {
	var here, there origin.Versions
	here.Observe(start, viewOf(t, "a:v1:1m b:v1:1m c:v2:1m d:v2:1m"))
	now := start.Add(time.Minute)
	there.Observe(now, viewOf(t, "a:v1:1m c:v2:1m d:v2:1m"))
	here.Observe(now, viewOf(t, "a:v1:1m c:v2:1m"))
	known := 0
	for i := range 1000 {
		stream := fmt.Sprint(i)
		version, _ := there.Choose("s", stream)
		got, ok := conclude(&here, now.Add(time.Second), streamOfAge(now.Add(time.Second), stream, streamAge))
		if ok && got != version {
			t.Fatalf("stream %s began at %s and goes on at %s", stream, version, got)
		}
		if ok {
			known++
		}
	}
	if known < 600 {
		t.Errorf("%d of 1000 streams are known, want two thirds", known)
	}
}

// TestMissingEndpointsDontCount guards against streams that go on at another version after
// an outage of the store and a loss of all relays: its change log doesn't show for how long
// relays still counted endpoints that it had lost.
func TestMissingEndpointsDontCount(t *testing.T) {
	view := viewOf(t, "a:v1:1m b:v2:1m").WithChange(fleet.Change{Missing: map[string]time.Time{"b": start.Add(time.Second)}})
	var v origin.Versions
	v.Observe(start, &view)
	for i := range 100 {
		if version, ok := v.Choose("s", fmt.Sprint(i)); !ok || version != "v1" {
			t.Fatalf("a stream begins at %q while the store lists v1 alone", version)
		}
	}
}

// TestMissingBeforeThePeriod guards against streams that go on at another version after a
// loss of all relays, because an endpoint that an outage of the store removed before the
// period of the history counts as listed in it.
func TestMissingBeforeThePeriod(t *testing.T) {
	view := viewOf(t, "a:v1:1m f:v2:2s b:v2:1m d:v2:1m").WithChange(fleet.Change{Missing: map[string]time.Time{"b": start.Add(time.Second), "d": start.Add(time.Second)}})
	var before, after origin.Versions
	before.Observe(start.Add(-5*time.Second), viewOf(t, "a:v1:1m"))
	after.Observe(start, &view)
	after.Recall(historyOf(t, "a:v1:1m", "+f:v2:2s"))
	for i := range 100 {
		stream := fmt.Sprint(i)
		version, _ := before.Choose("s", stream)
		if got, ok := conclude(&after, start, streamOfAge(start, stream, streamAge)); ok && got != version {
			t.Fatalf("stream %s began at %s and goes on at %s", stream, version, got)
		}
	}
}

// TestChooseByWeight checks that streams begin at versions in proportion to the endpoints.
func TestChooseByWeight(t *testing.T) {
	var v origin.Versions
	v.Observe(start, viewOf(t, "a:v1:1m b:v2:1m c:v2:1m d:v2:1m -e:v1:1m"))
	n := 0
	for i := range 10_000 {
		if version, ok := v.Choose("s", fmt.Sprint(i)); ok && version == "v1" {
			n++
		}
	}
	if n < 2300 || n > 2700 {
		t.Errorf("%d of 10000 streams began at v1, want a quarter", n)
	}
	if version, ok := v.Choose("other", "1"); ok {
		t.Errorf("a service without endpoints has version %q", version)
	}
}
