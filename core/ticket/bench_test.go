package ticket_test

import (
	"testing"

	"wigeonplank.example/core/ticket"
)

func BenchmarkTicket(b *testing.B) {
	serials := ticket.NewSerialTable(1, []byte("key"), 0, 0)
	digest := ticket.Digest("p", "t", []byte("body"))
	answer := ticket.Answer{Body: make([]byte, 200)}
	b.ReportAllocs()
	for b.Loop() {
		s := serials.Issue(1)[0]
		if serials.Begin(s, digest) != ticket.StateFresh {
			b.Fatal("Begin rejected a new serial")
		}
		serials.Finish(s, answer)
	}
}
