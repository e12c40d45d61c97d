package serve

import (
	"google.golang.org/protobuf/proto"

	"wigeonplank.example/base/link"
)

func (c *Calls) answer(st *link.Stream, m proto.Message) {
	if err := st.Send(m); err != nil {
		c.Log.Debug().Err(err).Msg("send answer")
	}
}
