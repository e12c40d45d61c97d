// Package serve handles the requests that entries send over their links. Each
// stream of a link carries one request. Package ctrl makes the decisions; this
// package reads requests from streams and writes the responses.
package serve

import (
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"wigeonplank.example/agent/ctrl"
	"wigeonplank.example/base/link"
	"wigeonplank.example/core/wire"
)

// Handler handles requests of entries. The fields must be set before use.
type Handler struct {
	Control *ctrl.Control
	// CancelJob cancels a running job at the endpoint.
	CancelJob func(*ctrl.Job)
	Log       *log.Logger
}

// Serve handles one request. It blocks until the response is complete or the
// stream ends.
func (h *Handler) Serve(st *link.Stream, req *wire.Request) {
	switch kind := req.GetKind().(type) {
	case *wire.Request_Dispatch:
		h.dispatch(st, kind.Dispatch)
	case *wire.Request_Resume:
		h.resume(st, kind.Resume)
	case *wire.Request_Void:
		h.reply(st, &wire.VoidReply{State: h.Control.Void(kind.Void)})
	case *wire.Request_Cancel:
		h.cancel(kind.Cancel)
	case *wire.Request_Serials:
		h.reply(st, &wire.SerialBlock{Serials: h.Control.IssueSerials(kind.Serials)})
	case *wire.Request_Outcome:
		h.settle(st, kind.Outcome)
	default:
		h.Log.Warn().Msg("ignoring a request of unknown kind")
	}
}

func (h *Handler) dispatch(st *link.Stream, d *wire.Dispatch) {
	r := h.Control.Dispatch(d)
	h.Log.Debug().Str("request", d.GetRequest()).Str("stage", d.GetStage()).
		Uint64("attempt", d.GetId().GetSeq()).Bool("admitted", r.Job != nil).Msg("dispatch received")
	if r.Job == nil {
		h.sendFinal(st, r)
		return
	}
	h.streamOutput(st, r.Job, 0)
}

// sendFinal sends the recorded answer of a used ticket, or a refusal.
func (h *Handler) sendFinal(st *link.Stream, r ctrl.DispatchReply) {
	for start := 0; start < len(r.Body); start += wire.MaxChunkBytes {
		end := min(start+wire.MaxChunkBytes, len(r.Body))
		if !h.send(st, chunk(start, r.Body[start:end])) {
			return
		}
	}
	h.send(st, r.Final)
}

func (h *Handler) resume(st *link.Stream, r *wire.Resume) {
	j := h.Control.Resume(r)
	if j == nil {
		h.send(st, &wire.Progress{Kind: &wire.Progress_Refused{Refused: &wire.Refused{Reason: wire.ReasonNotRetained}}})
		return
	}
	h.streamOutput(st, j, int(r.GetOffset()))
}

// streamOutput sends a job's output from a byte offset on. The end of the stream
// doesn't cancel the job: its entry may resume it on a new link.
func (h *Handler) streamOutput(st *link.Stream, j *ctrl.Job, offset int) {
	closed := make(chan struct{})
	go h.readCancels(st, closed)
	for {
		data, end, more := j.Output.Next(offset, wire.MaxChunkBytes)
		switch {
		case data != nil:
			out := []proto.Message{chunk(offset, data)}
			offset += len(data)
			// If these bytes are the last, the end goes out in the same write.
			if _, end, _ = j.Output.Next(offset, wire.MaxChunkBytes); end != nil {
				out = append(out, *end)
			}
			if !h.send(st, out...) {
				return
			}
			if end != nil {
				<-closed
				return
			}
		case end != nil:
			h.send(st, *end)
			<-closed
			return
		default:
			select {
			case <-closed:
				return
			case <-more:
			}
		}
	}
}

// readCancels handles the cancels and acknowledgements that follow a dispatch or
// a resume on its stream. It closes the channel when the stream ends.
func (h *Handler) readCancels(st *link.Stream, closed chan<- struct{}) {
	defer close(closed)
	for {
		req := &wire.Request{}
		if err := st.Receive(req); err != nil {
			return
		}
		if m := req.GetCancel(); m != nil {
			h.cancel(m)
		}
	}
}

func (h *Handler) cancel(m *wire.Cancel) {
	if j := h.Control.Cancel(m); j != nil {
		h.CancelJob(j)
	}
}

func (h *Handler) settle(st *link.Stream, q *wire.OutcomeQuery) {
	h.reply(st, h.Control.SettleSerial(q))
}

func chunk(offset int, data []byte) *wire.Progress {
	return &wire.Progress{Kind: &wire.Progress_Chunk{Chunk: &wire.Chunk{Offset: uint64(offset), Data: data}}}
}

// send writes messages in one write and reports whether that succeeded.
func (h *Handler) send(st *link.Stream, msgs ...proto.Message) bool {
	if err := st.Send(msgs...); err != nil {
		h.Log.Debug().Err(err).Msg("sending progress failed")
		return false
	}
	return true
}
