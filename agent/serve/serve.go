// Package serve answers the calls that entries make over their links. Each call
// has one typed request; the decisions are the control state's.
package serve

import (
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"wigeonplank.example/agent/ctrl"
	"wigeonplank.example/base/link"
	"wigeonplank.example/core/wire"
)

// Calls answers calls. Set the fields before use.
type Calls struct {
	Control *ctrl.Control
	// Stop ends a running job at the endpoint.
	Stop func(*ctrl.Job)
	Log  *log.Logger
}

// Serve answers one call.
func (c *Calls) Serve(st *link.Stream, req *wire.Request) {
	switch k := req.GetKind().(type) {
	case *wire.Request_Dispatch:
		c.dispatch(st, k.Dispatch)
	case *wire.Request_Resume:
		c.resume(st, k.Resume)
	case *wire.Request_Void:
		c.answer(st, &wire.VoidReply{State: c.Control.Void(k.Void)})
	case *wire.Request_Cancel:
		c.cancel(k.Cancel)
	case *wire.Request_Serials:
		c.answer(st, &wire.SerialBlock{Serials: c.Control.Serials(k.Serials)})
	case *wire.Request_Outcome:
		c.outcome(st, k.Outcome)
	default:
		c.Log.Warn().Msg("call of unknown kind")
	}
}

func (c *Calls) dispatch(st *link.Stream, d *wire.Dispatch) {
	a := c.Control.Dispatch(d)
	c.Log.Debug().Str("request", d.GetRequest()).Str("stage", d.GetStage()).
		Uint64("attempt", d.GetId().GetSeq()).Bool("admitted", a.Job != nil).Msg("dispatch")
	if a.Job == nil {
		c.replay(st, a)
		return
	}
	c.follow(st, a.Job, 0)
}

// replay sends the recorded answer of a used ticket, or a refusal.
func (c *Calls) replay(st *link.Stream, a ctrl.Answer) {
	for at := 0; at < len(a.Body); at += wire.MaxChunkBytes {
		to := min(at+wire.MaxChunkBytes, len(a.Body))
		if !c.send(st, chunk(at, a.Body[at:to])) {
			return
		}
	}
	c.send(st, a.End)
}

func (c *Calls) resume(st *link.Stream, r *wire.Resume) {
	j := c.Control.Resume(r)
	if j == nil {
		c.send(st, &wire.Progress{Kind: &wire.Progress_Refused{Refused: &wire.Refused{Reason: wire.ReasonNotRetained}}})
		return
	}
	c.follow(st, j, int(r.GetOffset()))
}

// follow sends a job's output from an offset on. A reader that is gone doesn't
// end the job: its entry may come back for it on a new link.
func (c *Calls) follow(st *link.Stream, j *ctrl.Job, offset int) {
	gone := make(chan struct{})
	go c.listen(st, gone)
	for {
		data, end, more := j.Output.Next(offset, wire.MaxChunkBytes)
		switch {
		case data != nil:
			out := []proto.Message{chunk(offset, data)}
			offset += len(data)
			// A short answer and its end leave in one write.
			if _, end, _ = j.Output.Next(offset, wire.MaxChunkBytes); end != nil {
				out = append(out, *end)
			}
			if !c.send(st, out...) {
				return
			}
			if end != nil {
				<-gone
				return
			}
		case end != nil:
			c.send(st, *end)
			<-gone
			return
		default:
			select {
			case <-gone:
				return
			case <-more:
			}
		}
	}
}

// listen takes the cancels and acknowledgements that follow a dispatch, until
// the stream ends.
func (c *Calls) listen(st *link.Stream, gone chan<- struct{}) {
	defer close(gone)
	for {
		req := &wire.Request{}
		if err := st.Receive(req); err != nil {
			return
		}
		if m := req.GetCancel(); m != nil {
			c.cancel(m)
		}
	}
}

func (c *Calls) cancel(m *wire.Cancel) {
	if j := c.Control.Cancel(m); j != nil {
		c.Stop(j)
	}
}

func (c *Calls) outcome(st *link.Stream, q *wire.OutcomeQuery) {
	c.answer(st, c.Control.Outcome(q))
}

func chunk(offset int, data []byte) *wire.Progress {
	return &wire.Progress{Kind: &wire.Progress_Chunk{Chunk: &wire.Chunk{Offset: uint64(offset), Data: data}}}
}

func (c *Calls) send(st *link.Stream, list ...proto.Message) bool {
	if err := st.Send(list...); err != nil {
		c.Log.Debug().Err(err).Msg("send progress")
		return false
	}
	return true
}
