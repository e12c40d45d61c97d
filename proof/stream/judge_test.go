package stream_test

import (
	"slices"
	"strings"
	"testing"

	"wigeonplank.example/fakes/site"
	"wigeonplank.example/proof/stream"
)

const (
	uri       = "/study-coach/s"
	numEvents = 6
)

// events returns the events of one run from one to another, at a software version.
func events(from, to int, version string) []string {
	var out []string
	for id := from; id <= to; id++ {
		out = append(out, site.Event(uri, id, version))
	}
	return out
}

// TestJudge guards against a judge that misses what is wrong with a stream, or finds fault
// with a sound one.
func TestJudge(t *testing.T) {
	whole := func(list []string) stream.Try {
		return stream.Try{ID: "a", Relay: "r", Status: 200, Events: list, Complete: true}
	}
	part := func(list []string) stream.Try { return stream.Try{ID: "a", Relay: "r", Status: 200, Events: list} }
	all := events(0, 5, "v1")
	for name, c := range map[string]struct {
		tries []stream.Try
		want  []string
	}{
		"whole":                   {[]stream.Try{whole(all)}, nil},
		"whole in two":            {[]stream.Try{part(events(0, 2, "v1")), whole(events(3, 5, "v1"))}, nil},
		"refused between":         {[]stream.Try{part(events(0, 2, "v1")), {Status: 503, Complete: true}, whole(events(3, 5, "v1"))}, nil},
		"broken off":              {[]stream.Try{part(events(0, 2, "v1"))}, nil},
		"never begun":             {[]stream.Try{{Status: 503, Complete: true}}, nil},
		"gap":                     {[]stream.Try{whole(slices.Delete(slices.Clone(all), 2, 3))}, []string{"a at r: event 3 after event 1"}},
		"gap at the seam":         {[]stream.Try{part(events(0, 2, "v1")), whole(events(4, 5, "v1"))}, []string{"a at r: event 4 after event 2"}},
		"not from the first":      {[]stream.Try{whole(events(1, 5, "v1"))}, []string{"a at r: event 1 after event -1"}},
		"doubled":                 {[]stream.Try{whole(slices.Insert(slices.Clone(all), 3, all[2]))}, []string{"a at r: event 2 again after event 2"}},
		"doubled at the seam":     {[]stream.Try{part(events(0, 2, "v1")), whole(events(2, 5, "v1"))}, []string{"a at r: event 2 again after event 2"}},
		"mixed in one answer":     {[]stream.Try{whole(append(events(0, 2, "v1"), events(3, 5, "v2")...))}, []string{"a at r: event 3 at v2 after events at v1"}},
		"mixed over its tries":    {[]stream.Try{part(events(0, 2, "v1")), part(events(3, 4, "v1")), whole(events(5, 5, "v2"))}, []string{"a at r: event 5 at v2 after events at v1"}},
		"early end":               {[]stream.Try{whole(events(0, 4, "v1"))}, []string{"a at r: ended as complete after event 4 of 6"}},
		"early end at the seam":   {[]stream.Try{part(events(0, 2, "v1")), whole(nil)}, []string{"a at r: ended as complete after event 2 of 6"}},
		"beyond its end":          {[]stream.Try{whole(events(0, 6, "v1"))}, []string{"a at r: event 6 of a stream of 6"}},
		"joined":                  {[]stream.Try{whole(append(events(0, 4, "v1"), "id: 5\nid: 6\ndata: /study-coach/s-5 at v1\n\n"))}, []string{`a at r: event "id: 5\nid: 6\ndata: /study-coach/s-5 at v1\n\n" after event 4`, "a at r: ended as complete after event 4 of 6"}},
		"of another stream":       {[]stream.Try{whole(append(events(0, 4, "v1"), site.Event("/study-coach/t", 5, "v1")))}, []string{`a at r: event "id: 5\ndata: /study-coach/t-5 at v1\n\n" after event 4`, "a at r: ended as complete after event 4 of 6"}},
		"cut within the last one": {[]stream.Try{whole(append(events(0, 4, "v1"), "id: 5\nda"))}, []string{`a at r: event "id: 5\nda" after event 4`, "a at r: ended as complete after event 4 of 6"}},
	} {
		t.Run(name, func(t *testing.T) {
			if got := stream.Judge(&stream.Stream{URI: uri, NumEvents: numEvents, Tries: c.tries}); !slices.Equal(got, c.want) {
				t.Errorf("found %q, want %q", got, c.want)
			}
		})
	}
}

// TestTooFewWentOn guards against runs that pass though hardly a stream went on, so that they
// can't find anything.
func TestTooFewWentOn(t *testing.T) {
	for wentOn, ok := range map[int]bool{9: false, 10: true} {
		res := stream.Result{Begun: 100, WentOn: wentOn, Least: 10}
		if res.OK() != ok || strings.Contains(res.String(), "FAILED, too few streams went on: 9 of at least 10") == ok {
			t.Errorf("%d of at least 10 went on: %s", wentOn, &res)
		}
	}
	if res := (stream.Result{WentOn: 10, Least: 10, Wrong: []string{"event 3 after event 1"}}); res.OK() {
		t.Error("a run with a wrong stream is ok")
	}
}
