package notice_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeonplank.example/core/notice"
)

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

func response(rate float64, sent, received int) notice.Notice {
	r := notice.Response{SentAt: at(sent), ReceivedAt: at(received)}
	if rate >= 0 {
		r.RateLimit = &rate
	}
	return r.Notice()
}

// TestTable checks which of several responses is in force.
func TestTable(t *testing.T) {
	type resp struct {
		incarnation    int64
		rate           float64 // negative: the response names no limit
		sent, received int
	}
	for name, c := range map[string]struct {
		responses []resp
		want      float64 // negative: none
		changes   int
	}{
		"no limit":                       {[]resp{{1, -1, 0, 10}}, -1, 0},
		"limit":                          {[]resp{{1, 2, 0, 10}}, 2, 1},
		"limit of zero":                  {[]resp{{1, 0, 0, 10}}, 0, 1},
		"renewed":                        {[]resp{{1, 2, 0, 10}, {1, 2, 20, 30}}, 2, 1},
		"changed":                        {[]resp{{1, 2, 0, 10}, {1, 3, 20, 30}}, 3, 2},
		"ended":                          {[]resp{{1, 2, 0, 10}, {1, -1, 20, 30}}, -1, 2},
		"made before the limit":          {[]resp{{1, 2, 0, 10}, {1, -1, 5, 30}}, 2, 1},
		"limit named while one ended":    {[]resp{{1, 2, 0, 10}, {1, -1, 20, 30}, {1, 4, 15, 25}}, 4, 3},
		"next incarnation":               {[]resp{{1, 2, 0, 10}, {2, -1, 5, 30}}, -1, 1},
		"response of former incarnation": {[]resp{{2, 3, 0, 10}, {1, 2, 20, 30}}, 3, 1},
	} {
		t.Run(name, func(t *testing.T) {
			var table notice.Table
			changes, latest := 0, int64(0)
			for _, r := range c.responses {
				latest = max(latest, r.incarnation)
				before, after := table.Put(notice.Entry{Endpoint: "e", Incarnation: r.incarnation, Notice: response(r.rate, r.sent, r.received)})
				if !after.Says(before) {
					changes++
				}
			}
			rate, limited := table.Get("e", latest).RateLimit()
			if !limited {
				rate = -1
			}
			if rate != c.want || changes != c.changes {
				t.Errorf("limit %v after %d changes, want %v after %d", rate, changes, c.want, c.changes)
			}
		})
	}
}

// TestTablesConverge checks that relays which tell one another their news agree in
// the end, whatever the order of responses and messages.
func TestTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		tables := make([]notice.Table, len(names))
		leaving, told := false, make(map[int]bool)
		sent := make(map[[2]int]int) // version sent, by sender and receiver
		tell := func(from, to int) {
			entries, version := tables[from].News(sent[[2]int{from, to}])
			sent[[2]int{from, to}] = version
			for _, e := range entries {
				e.Notice = e.Notice.WithSource(names[from])
				if e.Notice.Leaving() != notice.LeavingNo {
					e.Notice = e.Notice.WithLeaving(notice.LeavingHeard)
				}
				tables[to].Put(e)
			}
		}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			relay := rapid.IntRange(0, len(names)-1).Draw(t, "relay")
			if rapid.Bool().Draw(t, "response") {
				rate := float64(rapid.IntRange(-1, 2).Draw(t, "rate"))
				sentAt := 10*i - rapid.IntRange(0, 50).Draw(t, "duration")
				n := response(rate, sentAt, 10*i)
				if rapid.IntRange(0, 9).Draw(t, "leaving") == 0 {
					n = n.WithLeaving(notice.LeavingTold)
					leaving = true
					told[relay] = true
				}
				tables[relay].Put(notice.Entry{Endpoint: "e", Incarnation: 1, Notice: n})
				continue
			}
			tell(relay, (relay+1)%len(names))
		}
		for range names {
			for i := range names {
				tell(i, (i+1)%len(names))
			}
		}
		for i := range names {
			a, b := tables[0].Get("e", 1), tables[i].Get("e", 1)
			if !a.Says(b) {
				t.Fatalf("relay %s: %+v, relay %s: %+v", names[0], a, names[i], b)
			}
			if (b.Leaving() != notice.LeavingNo) != leaving || (b.Leaving() == notice.LeavingTold) != told[i] {
				t.Fatalf("relay %s: leaving %q, want %v, told %v", names[i], b.Leaving(), leaving, told[i])
			}
		}
	})
}

// TestNews checks that news are reported once.
func TestNews(t *testing.T) {
	var table notice.Table
	table.Put(notice.Entry{Endpoint: "e", Incarnation: 1, Notice: response(2, 0, 10)})
	got, version := table.News(0)
	if len(got) != 1 {
		t.Errorf("news: %v", got)
	}
	if again, _ := table.News(version); len(again) != 0 {
		t.Errorf("news after all was reported: %v", again)
	}
}

// TestLeavingIsForGood checks that only the next incarnation of an endpoint doesn't
// leave.
func TestLeavingIsForGood(t *testing.T) {
	var table notice.Table
	put := func(incarnation int64, n notice.Notice) notice.Leaving {
		_, after := table.Put(notice.Entry{Endpoint: "e", Incarnation: incarnation, Notice: n})
		return after.Leaving()
	}
	if got := put(1, response(-1, 0, 10).WithLeaving(notice.LeavingHeard).WithSource("a")); got != notice.LeavingHeard {
		t.Errorf("heard: %q", got)
	}
	if got := put(1, notice.Response{Leaving: true, SentAt: at(5), ReceivedAt: at(15)}.Notice()); got != notice.LeavingTold {
		t.Errorf("told: %q", got)
	}
	if got := put(1, response(-1, 100, 110)); got != notice.LeavingTold {
		t.Errorf("a later response that doesn't say so: %q", got)
	}
	if got := put(1, response(-1, 200, 210).WithLeaving(notice.LeavingHeard).WithSource("a")); got != notice.LeavingTold {
		t.Errorf("heard after it was told: %q", got)
	}
	if got := put(2, response(-1, 300, 310)); got != notice.LeavingNo {
		t.Errorf("next incarnation: %q", got)
	}
}

// TestUnlistedEndpointIsRemembered guards against requests to an endpoint that has said
// that it leaves, and that the store lists again after it had removed its entry.
func TestUnlistedEndpointIsRemembered(t *testing.T) {
	var table notice.Table
	table.Put(notice.Entry{Endpoint: "e", Incarnation: 1, Notice: notice.Response{Leaving: true, SentAt: at(0), ReceivedAt: at(1)}.Notice()})
	for _, c := range []struct {
		seconds int
		listed  bool
		want    notice.Leaving
	}{
		{0, true, notice.LeavingTold},
		{10, false, notice.LeavingTold},
		{60, false, notice.LeavingTold},
		{65, true, notice.LeavingTold},
		{70, false, notice.LeavingTold},
		{129, false, notice.LeavingTold},
		{131, false, notice.LeavingNo},
	} {
		table.Prune(at(1000*c.seconds), func(string) bool { return c.listed })
		if got := table.Get("e", 1).Leaving(); got != c.want {
			t.Errorf("after %d s: %q, want %q", c.seconds, got, c.want)
		}
	}
}
