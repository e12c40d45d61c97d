package event_test

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"wigeonplank.example/core/event"
)

// TestGrow checks that memory is asked for before an event is held, once for the largest
// one, and that a refusal ends the stream.
func TestGrow(t *testing.T) {
	held, limit := 0, 40
	errFull := errors.New("full")
	r := event.Reader{
		R: bufio.NewReaderSize(strings.NewReader("data: 0123456789\n\n"+"data: 01\n\n"+"data: "+strings.Repeat("x", 1000)), 16), LastID: -1,
		Grow: func(n int) error {
			if held+n > limit {
				return errFull
			}
			held += n
			return nil
		},
	}
	for range 2 {
		if _, _, err := r.Next(); err != nil {
			t.Fatal(err)
		}
	}
	if held != len("data: 0123456789\n\n") {
		t.Errorf("%d bytes were asked for", held)
	}
	if _, _, err := r.Next(); !errors.Is(err, errFull) {
		t.Errorf("got error %v", err)
	}
}

// TestEnds checks which ends of a stream without framing are complete.
func TestEnds(t *testing.T) {
	for text, want := range map[string]error{
		"id: 0\ndata: a\n\n":          io.EOF,
		"":                            io.EOF,
		"id: 0\ndata: a\n":            io.ErrUnexpectedEOF,
		"id: 0\ndata: a\n\nid: 1\nda": io.ErrUnexpectedEOF,
		"id: 0\nretry\nweight-versions: 3\n: c\n\n":  io.EOF,
		"id: 0\ndata: a\n\nHTTP/1.1 500 x: y\n\n":    event.ErrMalformed,
		"id: 0\ndata: a\n\nfailed\n\n":               event.ErrMalformed,
		strings.Repeat(":", event.MaxBytes+1) + "\n": event.ErrTooLarge,
	} {
		r := event.Reader{R: bufio.NewReader(strings.NewReader(text)), LastID: -1}
		var err error
		for err == nil {
			_, _, err = r.Next()
		}
		if !errors.Is(err, want) {
			t.Errorf("%.20q: got %v, want %v", text, err, want)
		}
	}
}

// TestIsComment checks which events are progress of a stream.
func TestIsComment(t *testing.T) {
	for raw, want := range map[string]bool{
		": ping\n\n": true, "\n": true, ": a\r\n:b\r\n\r\n": true, "data: a\n\n": false, ": a\nid: 3\n\n": false,
	} {
		if got := event.IsComment([]byte(raw)); got != want {
			t.Errorf("%q: got %v", raw, got)
		}
	}
}

// TestLegalLines guards against the rejection of lines that the format of event streams allows:
// a byte order mark before the first line, and fields of unknown names, which readers ignore.
func TestLegalLines(t *testing.T) {
	for _, text := range []string{
		"\ufeffdata: a\nid: 0\n\n",
		"id: 0\nx.y: 1\ndata: a\n\n",
		"weight-versions: 3\nid: 0\ndata: a\n\n",
		"id: 0\r\ndata: a\r\n\r\n",
		"id: 0\ndata\n\n",
	} {
		r := event.Reader{R: bufio.NewReader(strings.NewReader(text)), LastID: -1}
		if _, id, err := r.Next(); err != nil || id != 0 {
			t.Errorf("%q: got event %d, error %v", text, id, err)
		}
	}
}

// TestErrorText guards against the text or the header of an error that becomes a part of a stream,
// as its lines look like fields.
func TestErrorText(t *testing.T) {
	for _, text := range []string{
		"error: out of memory\n\n",
		"Content-Type: text/plain\r\nContent-Length: 5\r\n\r\n",
		"id: 1\ndata: bHTTP/1.1 500 Oops\r\nContent-Length: 5\r\n\r\n", // begins within an event
	} {
		r := event.Reader{R: bufio.NewReader(strings.NewReader("id: 0\ndata: a\n\n" + text)), LastID: -1}
		if _, _, err := r.Next(); err != nil {
			t.Fatal(err)
		}
		if raw, _, err := r.Next(); err == nil {
			t.Errorf("accepted %q", raw)
		}
	}
}

// TestStrangeIDs guards against events that pass although their place in the stream isn't known: pieces that were
// joined to one event, numbers below zero, and numbers that jump, repeat or aren't whole.
func TestStrangeIDs(t *testing.T) {
	for _, text := range []string{
		"id: 4\ndata: a\nid: 5\ndata: b\n\n",
		"id: 5\ndata: a\nid: 5\ndata: b\n\n",
		"id: -3\ndata: a\n\n",
		"id: 7\ndata: a\n\n",
		"id: 4\ndata: a\n\n",
		"id: 0\ndata: a\n\n",
		"id: 5.5\ndata: a\n\n",
		"id:\ndata: a\n\n",
		"id: x\ndata: a\n\n",
		"id: 99999999999999999999\ndata: a\n\n",
	} {
		r := event.Reader{R: bufio.NewReader(strings.NewReader(text)), LastID: 4}
		if raw, id, err := r.Next(); err == nil {
			t.Errorf("%q: accepted %q as event %d after event 4", text, raw, id)
		}
		r = event.Reader{R: bufio.NewReader(strings.NewReader("id: 4\ndata: z\n\n" + text)), LastID: -1}
		if _, _, err := r.Next(); err != nil {
			t.Fatal(err)
		}
		if raw, id, err := r.Next(); err == nil {
			t.Errorf("%q: accepted %q as event %d after an event 4", text, raw, id)
		}
	}
	r := event.Reader{R: bufio.NewReader(strings.NewReader("id: 4\ndata: a\nid: 5\ndata: b\n\n")), LastID: -1}
	if raw, id, err := r.Next(); err == nil {
		t.Errorf("accepted %q as the first event, %d", raw, id)
	}
}
