package ticket_test

import (
	"testing"

	"wigeonplank.example/core/ticket"
)

func BenchmarkTicket(b *testing.B) {
	book := ticket.NewBook(1, []byte("key"), 0, 0)
	digest := ticket.Digest("p", "t", []byte("body"))
	answer := ticket.Answer{Body: make([]byte, 200)}
	b.ReportAllocs()
	for b.Loop() {
		s := book.Issue(1)[0]
		if book.Begin(s, digest) != ticket.StateFresh {
			b.Fatal("a serial can't be used")
		}
		book.Finish(s, answer)
	}
}
