package ticket_test

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"wigeonplank.example/core/ticket"
	"wigeonplank.example/core/wire"
)

// TestSerialRunsAtMostOnce uses serials in random order while the window
// advances and answers are evicted. A serial must not begin twice, and a voided
// serial must never begin.
func TestSerialRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := ticket.NewSerialTable(1, []byte("key"), 64, 8)
		var serials []*wire.Serial
		begun := map[uint64]int{}
		voided := map[uint64]bool{}
		serials = append(serials, table.Issue(1)...)
		pick := func(t *rapid.T) *wire.Serial { return rapid.SampledFrom(serials).Draw(t, "serial") }
		t.Repeat(map[string]func(*rapid.T){
			"issue": func(t *rapid.T) { serials = append(serials, table.Issue(rapid.IntRange(1, 40).Draw(t, "n"))...) },
			"begin": func(t *rapid.T) {
				s := pick(t)
				if table.Begin(s, []byte("d")) != ticket.StateFresh {
					return
				}
				begun[s.GetNumber()]++
				if begun[s.GetNumber()] > 1 || voided[s.GetNumber()] {
					t.Fatalf("serial %d began %d times, voided: %v", s.GetNumber(), begun[s.GetNumber()], voided[s.GetNumber()])
				}
			},
			"finish": func(t *rapid.T) { table.Finish(pick(t), ticket.Answer{Body: []byte("answer")}) },
			"void": func(t *rapid.T) {
				s := pick(t)
				if table.Void(s) != ticket.StateVoided {
					return
				}
				voided[s.GetNumber()] = true
				if begun[s.GetNumber()] > 0 {
					t.Fatalf("serial %d is reported as voided, but it ran", s.GetNumber())
				}
			},
		})
	})
}

func TestTextOfTicket(t *testing.T) {
	table := ticket.NewSerialTable(1, []byte("key"), 64, 0)
	text, err := ticket.Encode(&wire.TicketBody{
		Pipeline: "p",
		Stages:   []*wire.TicketStage{{Stage: "s", Instance: "i", Serial: table.Issue(1)[0]}},
	})
	if err != nil {
		t.Fatal(err)
	}
	got, err := ticket.Decode(text)
	if err != nil || got.GetStages()[0].GetSerial().GetNumber() != 1 {
		t.Fatalf("Decode: %v, %v", got, err)
	}
	for _, bad := range []string{"", "!", "AAAA", text[:len(text)/2]} {
		if _, err := ticket.Decode(bad); !errors.Is(err, ticket.ErrMalformed) {
			t.Errorf("Decode(%q): got error %v, want ErrMalformed", bad, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add("CgFwEgoKAXMSAWkaAggB")
	f.Fuzz(func(t *testing.T, text string) {
		b, err := ticket.Decode(text)
		if err == nil && len(b.GetStages()) == 0 {
			t.Fatalf("Decode accepted a ticket without stages")
		}
	})
}
