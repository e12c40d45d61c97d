package engine

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/phuslu/log"

	"wigeonplank.example/agent/ctrl"
	"wigeonplank.example/core/place"
)

const (
	reportInterval = 200 * time.Millisecond
	progressUnits  = 8 // the control state hears of every so many tokens
	planInterval   = 200 * time.Millisecond
	orderFreshness = 500 * time.Millisecond // an older decision is not carried out
	ticketTimeout  = 30 * time.Second       // for work that is not idempotent
	budgetSlack    = 200 * time.Millisecond // the endpoint's answer may come so late
)

// Driver connects the control state with the endpoint: it runs jobs, passes on
// load reports, and carries out orders. Set the fields before use.
type Driver struct {
	Control *ctrl.Control
	Client  *Client
	Orders  bool // the endpoint is an engine that takes orders
	Log     *log.Logger
}

func requestID(j *ctrl.Job) string {
	return fmt.Sprintf("%016x-%d", j.ID.Entry, j.ID.Seq)
}

// Begin runs a job in a goroutine of its own.
func (d *Driver) Begin(j *ctrl.Job) { go d.run(j) }

func (d *Driver) run(j *ctrl.Job) {
	timeout := time.Duration(j.Dispatch.GetBudgetUs())*time.Microsecond + budgetSlack
	if j.Dispatch.GetSerial() != nil {
		timeout = ticketTimeout
	}
	job := Job{
		Request:  requestID(j),
		Stage:    j.Stage,
		Body:     j.Dispatch.GetBody(),
		Priority: int(j.Dispatch.GetPriority()),
		Timeout:  timeout,
	}
	units := 0
	out := d.Client.Run(job, func(p []byte) {
		units++
		if units == 1 || units%progressUnits == 0 {
			d.Control.Progress(j, units)
		}
		j.Output.Append(p)
	})
	d.Log.Debug().Str("request", j.Dispatch.GetRequest()).Str("stage", j.Stage.Name).
		Uint64("attempt", j.ID.Seq).Str("failure", out.Failure).Int("units", out.Units).Msg("job ended")
	d.Control.Finish(j, ctrl.End{
		Failure:    out.Failure,
		NotStarted: out.NotStarted,
		Rejected:   out.Rejected,
		Units:      out.Units,
	})
}

// Stop cancels a running job at the endpoint.
func (d *Driver) Stop(j *ctrl.Job) {
	if !d.Orders {
		return
	}
	go func() {
		if err := d.Client.Cancel(requestID(j)); err != nil {
			d.Log.Warn().Err(err).Str("request", j.Dispatch.GetRequest()).Msg("cancel at the engine")
		}
	}()
}

// Run reads the endpoint's reports, and plans for an engine, until ctx ends. It
// blocks.
func (d *Driver) Run(ctx context.Context) {
	if d.Orders {
		go d.every(ctx, planInterval, d.plan)
	}
	d.every(ctx, reportInterval, d.report)
}

func (d *Driver) every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (d *Driver) report() {
	asked := time.Now()
	l, err := d.Client.ReadLoad()
	if err != nil {
		d.Log.Warn().Err(err).Msg("load report")
		return
	}
	// Counting the age from before the question makes the report seem older
	// than it is, never younger.
	d.Control.ObserveLoad(l.Running+l.Waiting, l.Cold, asked.Add(-time.Duration(l.AgeMS)*time.Millisecond))
}

func (d *Driver) plan() {
	e, err := d.Client.ReadEngine()
	if err != nil {
		d.Log.Warn().Err(err).Msg("read engine")
		return
	}
	a, decided := d.Control.Plan(e)
	if a.Kind != place.ActionOrder {
		return
	}
	// A process that was paused here would send an order from an old view.
	if time.Since(decided) > orderFreshness {
		return
	}
	d.order(a)
}

func (d *Driver) order(a place.Action) {
	err := d.Client.SendOrder(Order{Fence: a.Fence, Model: a.Model.String()})
	var refused *OrderRefusedError
	if errors.As(err, &refused) {
		d.Control.OrderRefused(refused.RetryAfter)
	}
	if err != nil {
		d.Log.Warn().Err(err).Uint64("fence", a.Fence).Msg("order")
		return
	}
	d.Log.Debug().Uint64("fence", a.Fence).Str("model", a.Model.String()).Msg("order sent")
}
