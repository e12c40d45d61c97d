package origin_test

import (
	"fmt"
	"testing"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
)

// TestLapsedAndBackAtOnce guards against streams that go on at another version because this
// relay received in one step that entries lapsed and were written again, and another one,
// at which they began, saw the list without them.
func TestLapsedAndBackAtOnce(t *testing.T) {
	list := viewOf(t, "a:v1:1h b:v1:1h c:v2:1h d:v2:1h")
	for _, e := range list.All() {
		e.Revision, e.Seq = 10, 5
	}
	var here, there origin.Versions
	here.Observe(start, list)
	now := start.Add(time.Minute)
	without := list.WithChange(fleet.Change{Remove: []string{"a", "b"}})
	there.Observe(now, &without)
	var back fleet.Change
	for _, id := range []string{"a", "b"} {
		e := *list.Endpoint(id)
		e.Revision, e.Seq = 20, 50
		back.Put = append(back.Put, &e)
	}
	again := list.WithChange(back)
	now = now.Add(4 * time.Second)
	here.Observe(now, &again)
	known := 0
	for i := range 1000 {
		stream := fmt.Sprint(i)
		version, _ := there.Choose("s", stream)
		got, ok := conclude(&here, now, streamOfAge(now, stream, streamAge))
		if ok && got != version {
			t.Fatalf("stream %s began at %s and goes on at %s", stream, version, got)
		}
		if ok {
			known++
		}
	}
	if known < 400 {
		t.Errorf("%d of 1000 streams are known, want half", known)
	}
}

// TestReplacedAtOnce guards against streams that go on at another version because this relay
// received in one step that endpoints left and others came, of which other relays saw the
// states between.
func TestReplacedAtOnce(t *testing.T) {
	list := viewOf(t, "a:v1:1h b:v1:1h c:v2:1h d:v2:1h")
	var here, there origin.Versions
	here.Observe(start, list)
	now := start.Add(time.Minute)
	there.Observe(now, viewOf(t, "c:v2:1h d:v2:1h"))
	here.Observe(now, viewOf(t, "e:v1:1s f:v1:1s c:v2:1h d:v2:1h"))
	for i := range 1000 {
		stream := fmt.Sprint(i)
		version, _ := there.Choose("s", stream)
		if got, ok := conclude(&here, now, streamOfAge(now, stream, streamAge)); ok && got != version {
			t.Fatalf("stream %s began at %s and goes on at %s", stream, version, got)
		}
	}
}

// TestHeartbeatsChangeNothing guards against streams that are refused because cold endpoints
// write with each heartbeat.
func TestHeartbeatsChangeNothing(t *testing.T) {
	list := viewOf(t, "a:v1:1h b:v2:1h")
	var here origin.Versions
	here.Observe(start, list)
	for i := range 10 {
		e := *list.Endpoint("a")
		e.Revision, e.Seq = int64(i+2), int64(i+1)
		next := list.WithChange(fleet.Change{Put: []*fleet.Endpoint{&e}})
		list = &next
		here.Observe(start.Add(50*time.Second+time.Duration(i)*time.Second), list)
	}
	now := start.Add(time.Minute)
	for i := range 100 {
		if _, ok := conclude(&here, now, streamOfAge(now, fmt.Sprint(i), streamAge)); !ok {
			t.Fatalf("the version of stream %d is unknown", i)
		}
	}
}
