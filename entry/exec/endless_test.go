package exec

import (
	"fmt"
	"testing"
	"time"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/roster"
	"wigeonplank.example/core/route"
	"wigeonplank.example/core/stage"
	"wigeonplank.example/core/wire"
)

// startExecution returns a request whose only stage was dispatched, and counts what it emits.
func startExecution(x *Executor, instance string, idempotent bool, emitted *int) *execution {
	specs := []stage.Spec{{Name: "s", Idempotent: idempotent}}
	e := &execution{
		executor:  x,
		routes:    &route.PipelineRoutes{Stages: []*route.StageRoutes{{Stage: &conf.Stage{Name: "s", Idempotent: idempotent}}}},
		emit:      func(b []byte) { *emitted += len(b) },
		flow:      &stage.Flow{Stages: specs, Deadline: time.Now().Add(time.Hour)},
		assembler: &stage.Assembler{},
	}
	e.flow.Handle(time.Now(), stage.Event{Kind: stage.EventStart})
	e.beginAttempt(&route.Endpoint{Instance: roster.Instance{ID: instance}, Load: &route.Load{}})
	return e
}

// TestEndlessResult guards against a result without end that uses up the entry's memory, and
// against an outcome that isn't true of its request.
func TestEndlessResult(t *testing.T) {
	const maxChunks = 2 * stage.MaxResultBytes / wire.MaxChunkBytes
	for idempotent, want := range map[bool]stage.Outcome{true: stage.OutcomePartial, false: stage.OutcomeUnknown} {
		t.Run(fmt.Sprintf("idempotent %v", idempotent), func(t *testing.T) {
			x, emitted := &Executor{}, 0
			x.Results.Limit = func() int64 { return MaxResultsBytes }
			e := startExecution(x, "a", idempotent, &emitted)
			var ev stage.Event
			data := make([]byte, wire.MaxChunkBytes)
			for i := 0; ev.Kind == "" && i < maxChunks; i++ {
				ev = e.handleChunk(&wire.Chunk{Offset: uint64(i * len(data)), Data: data})
			}
			if a := e.flow.Handle(time.Now(), ev); emitted > stage.MaxResultBytes || a.Kind != stage.ActionFinish || a.End.Outcome != want || a.End.Cause != stage.CauseFailed {
				t.Errorf("%d bytes, then %+v; want at most %d, and %s", emitted, a, stage.MaxResultBytes, want)
			}
			if e.detachAttempt(); x.Results.Used() != 0 {
				t.Errorf("%d bytes are still reserved", x.Results.Used())
			}
		})
	}
}

// TestEndlessResultsTogether guards against many results that use up the entry's memory together,
// and against a sound one that is given up in their place.
func TestEndlessResultsTogether(t *testing.T) {
	const limit = 64 * wire.MaxChunkBytes
	x, emitted := &Executor{}, 0
	x.Results.Limit = func() int64 { return limit }
	sound := startExecution(x, "sound", true, &emitted)
	data := make([]byte, wire.MaxChunkBytes)
	sound.handleChunk(&wire.Chunk{Data: append(data, data...)})
	failed := 0
	endless := make([]*execution, 0, 2*limit/wire.MaxChunkBytes)
	for range cap(endless) {
		e := startExecution(x, "endless", true, &emitted)
		for i := range 4 {
			e.handleChunk(&wire.Chunk{Offset: uint64(i * len(data)), Data: data})
		}
		endless = append(endless, e)
	}
	for _, e := range endless {
		select {
		case <-e.current.evicted:
			if ev := e.nextEvent(&interrupts{deadlineNear: &time.Timer{}, deadline: &time.Timer{}}); ev.Kind == stage.EventFailed {
				failed++
			}
		default:
		}
	}
	if n := x.Results.Used(); n > limit || failed < len(endless)/2 {
		t.Errorf("%d bytes are held and %d results were given up; want at most %d bytes", n, failed, limit)
	}
	if ev := sound.handleChunk(&wire.Chunk{Offset: uint64(2 * len(data)), Data: data}); ev.Kind != "" {
		t.Errorf("the sound result ended with %q: %v", ev.Kind, sound.err)
	}
}
