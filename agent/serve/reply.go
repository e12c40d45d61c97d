package serve

import (
	"google.golang.org/protobuf/proto"

	"wigeonplank.example/base/link"
)

// reply sends the only message of a response.
func (h *Handler) reply(st *link.Stream, m proto.Message) {
	if err := st.Send(m); err != nil {
		h.Log.Debug().Err(err).Msg("sending the reply failed")
	}
}
