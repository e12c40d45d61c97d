package engine

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"

	"wigeonplank.example/agent/ctrl"
	"wigeonplank.example/core/place"
)

const (
	loadInterval     = 200 * time.Millisecond // between reads of the endpoint's load
	planInterval     = 200 * time.Millisecond // between placement decisions for an engine
	unitsPerProgress = 8                      // output units between two progress records of a job
	maxOrderAge      = 500 * time.Millisecond // an older decision isn't carried out
	ticketTimeout    = 30 * time.Second       // timeout of a job that isn't idempotent (has a serial), whatever its budget
	maxStackBytes    = 4 << 10                // of a logged stack trace
	budgetMargin     = 200 * time.Millisecond // added to a job's budget to get its timeout: the answer may be that late
)

// Driver connects the control state with the endpoint: it runs jobs, applies
// load reports, and sends placement orders. The fields must be set before use.
type Driver struct {
	Control     *ctrl.Control
	Client      *Client
	TakesOrders bool // the endpoint is a model engine
	Log         *log.Logger
}

// requestID returns the ID that a job has at the endpoint.
func requestID(j *ctrl.Job) string {
	return fmt.Sprintf("%016x-%d", j.ID.Entry, j.ID.Seq)
}

// StartJob runs a job in a new goroutine.
func (d *Driver) StartJob(j *ctrl.Job) { go d.runJob(j) }

func (d *Driver) runJob(j *ctrl.Job) {
	timeout := time.Duration(j.Dispatch.GetBudgetUs())*time.Microsecond + budgetMargin
	if j.Dispatch.GetSerial() != nil {
		timeout = ticketTimeout
	}
	call := Call{
		RequestID: requestID(j),
		Stage:     j.Stage,
		Body:      j.Dispatch.GetBody(),
		Priority:  int(j.Dispatch.GetPriority()),
		Timeout:   timeout,
	}
	out := d.do(call, j)
	d.Log.Debug().Str("request", j.Dispatch.GetRequest()).Str("stage", j.Stage.Name).
		Uint64("attempt", j.ID.Seq).Str("failure", out.Failure).Int("units", out.Units).Msg("job ended")
	d.Control.Finish(j, ctrl.JobOutcome{
		Failure:    out.Failure,
		NotStarted: out.NotStarted,
		Rejected:   out.Rejected,
		Units:      out.Units,
	})
}

// do makes the call of a job. A panic ends the job, which may have run, but not the process with
// all other jobs.
func (d *Driver) do(call Call, j *ctrl.Job) (out Outcome) {
	units := 0
	defer func() {
		if v := recover(); v != nil {
			stack := debug.Stack()
			d.Log.Error().Str("request", j.Dispatch.GetRequest()).Str("error", fmt.Sprint(v)).
				Str("stack", string(stack[:min(len(stack), maxStackBytes)])).Msg("panic: a job was ended")
			out = Outcome{Failure: "the agent failed during the call", Units: units}
		}
	}()
	return d.Client.Do(call, func(p []byte) {
		units++
		if units == 1 || units%unitsPerProgress == 0 {
			d.Control.RecordProgress(j, units)
		}
		j.Output.Append(p)
	})
}

// CancelJob cancels a running job at a model engine. It does nothing for other
// endpoints, whose protocol has no cancel request.
func (d *Driver) CancelJob(j *ctrl.Job) {
	if !d.TakesOrders {
		return
	}
	go func() {
		if err := d.Client.Cancel(requestID(j)); err != nil {
			d.Log.Warn().Err(err).Str("request", j.Dispatch.GetRequest()).Msg("cancelling the job at the engine failed")
		}
	}()
}

// Run reads the endpoint's load, and manages the placement of a model engine,
// until ctx is done. It blocks.
func (d *Driver) Run(ctx context.Context) {
	if d.TakesOrders {
		go d.runEvery(ctx, planInterval, d.updatePlacement)
	}
	d.runEvery(ctx, loadInterval, d.updateLoad)
}

// runEvery calls f at once and then at each interval, until ctx is done.
func (d *Driver) runEvery(ctx context.Context, interval time.Duration, f func()) {
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

func (d *Driver) updateLoad() {
	requested := time.Now()
	l, err := d.Client.ReadLoad()
	if err != nil {
		d.Log.Warn().Err(err).Msg("reading the endpoint's load failed")
		return
	}
	// The age is counted from before the request was sent, so that the report
	// may seem older than it is, but never newer.
	d.Control.ObserveLoad(l.Running+l.Waiting, l.Cold, requested.Add(-time.Duration(l.AgeMS)*time.Millisecond))
}

func (d *Driver) updatePlacement() {
	e, err := d.Client.ReadEngine()
	if err != nil {
		d.Log.Warn().Err(err).Msg("reading the engine's state failed")
		return
	}
	a, decided := d.Control.Plan(e)
	if a.Kind != place.ActionOrder {
		return
	}
	// After a pause of the process here, the order would come from a view that
	// may be out of date.
	if time.Since(decided) > maxOrderAge {
		return
	}
	d.sendOrder(a)
}

func (d *Driver) sendOrder(a place.Action) {
	err := d.Client.SendOrder(Order{Fence: a.Fence, Model: a.Model.String()})
	var refused *OrderRefusedError
	if errors.As(err, &refused) {
		d.Control.RecordOrderRefusal(refused.RetryAfter)
	}
	if err != nil {
		d.Log.Warn().Err(err).Uint64("fence", a.Fence).Msg("sending the order failed")
		return
	}
	d.Log.Debug().Uint64("fence", a.Fence).Str("model", a.Model.String()).Msg("order sent")
}
