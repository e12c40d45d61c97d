package engine

import (
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"

	"wigeonplank.example/agent/ctrl"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/gate"
	"wigeonplank.example/core/wire"
)

const jobDocument = `
revision: 1
zones: [{name: z, state: serving}]
teams: [{name: t, weight: 1}]
classes: [{name: c, priority: 0}]
pipelines:
  - {name: p, deadline: 1s, stages: [{name: s, kind: encoding, idempotent: true, selectors: [{match: {a: b}}]}]}
`

// TestPanicEndsOneJob guards against a panic during a call to the endpoint that ends the agent, and with it
// all other jobs. The driver has no client.
func TestPanicEndsOneJob(t *testing.T) {
	d := &Driver{Log: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}}
	clk := clock.NewFake(time.Unix(1000, 0))
	d.Control = ctrl.New(ctrl.Config{
		Instance:    "i",
		Zone:        "z",
		Incarnation: 1,
		Key:         []byte("key"),
		Gate:        gate.Settings{WarmLimit: 8},
		Clock:       clk,
		StartJob:    d.StartJob,
		Jitter:      func() float64 { return 0.5 },
	})
	defer d.Control.Close()
	d.Control.EntryConnected(&wire.Hello{Entry: 1})
	if v, err := d.Control.OfferDocument([]byte(jobDocument)); v != "accepted" {
		t.Fatalf("verdict %q: %v", v, err)
	}
	ping := &wire.Ping{Revision: 1, Fresh: true, Listed: true, Labels: map[string]string{"a": "b"}}
	ping.Echo = d.Control.HandlePing(ping).GetNumber()
	d.Control.HandlePing(ping)
	d.Control.ObserveLoad(0, false, clk.Now())

	r := d.Control.Dispatch(&wire.Dispatch{
		Id:          &wire.AttemptID{Entry: 1, Seq: 1},
		Incarnation: 1,
		Pipeline:    "p",
		Stage:       "s",
		Team:        "t",
		BudgetUs:    time.Second.Microseconds(),
		Body:        []byte("{}"),
	})
	if r.Job == nil {
		t.Fatalf("the job was refused: %v", r.Final)
	}
	for {
		_, end, changed := r.Job.Output.Next(0, 1)
		if changed != nil {
			<-changed
			continue
		}
		if res := (*end).GetResult(); res.GetFailure() == "" || res.GetNotStarted() {
			t.Fatalf("got %v, want a failure of a job that may have run", *end)
		}
		return
	}
}
