package exec

import (
	"testing"
	"time"

	"wigeonplank.example/base/stall"
	"wigeonplank.example/core/stage"
	"wigeonplank.example/core/wire"
)

// TestDeadlineDuringStall guards against a deadline that passed while the process stood still and
// is taken for an agent that hasn't answered.
func TestDeadlineDuringStall(t *testing.T) {
	for name, tc := range map[string]struct {
		late    time.Duration // of the deadline, when it is noticed
		arrives bool
		want    stage.EventKind
	}{
		"standstill, on its way":         {time.Second, true, stage.EventRefused},
		"standstill, nothing":            {time.Second, false, stage.EventDeadlineNear},
		"no standstill, arrived as well": {-time.Hour, true, stage.EventRefused},
		"no standstill, nothing":         {-time.Hour, false, stage.EventDeadline},
	} {
		t.Run(name, func(t *testing.T) {
			for range 10 { // a select would choose at random
				emitted := 0
				e := startExecution(&Executor{}, "a", true, &emitted)
				e.deadline = time.Now().Add(-tc.late)
				e.events, e.done = make(chan event, 1), make(chan struct{})
				answer := event{seq: e.current.seq, progress: &wire.Progress{Kind: &wire.Progress_Refused{Refused: &wire.Refused{}}}}
				timers := &interrupts{deadlineNear: time.NewTimer(time.Hour), deadline: time.NewTimer(0)}
				if tc.arrives && tc.late < 0 {
					e.post(answer)
				} else if tc.arrives {
					time.AfterFunc(10*time.Millisecond, func() { e.post(answer) })
				}
				begun := time.Now()
				if ev := e.nextEvent(timers); ev.Kind != tc.want || time.Since(begun) > 10*stall.Grace {
					t.Fatalf("got %q after %v, want %q", ev.Kind, time.Since(begun), tc.want)
				}
			}
		})
	}
}
