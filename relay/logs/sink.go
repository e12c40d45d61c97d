package logs

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	queueLines = 2048     // of each urgency; more are dropped
	writeBytes = 32 << 10 // lines are gathered up to so much for one write
)

// sink writes lines from one goroutine, urgent ones first.
type sink struct {
	w       io.Writer
	plain   queue
	urgent  queue
	flushes chan chan struct{}
	dropped *atomic.Int64
}

// queue takes lines for a sink and drops them when it is full.
type queue struct {
	lines   chan []byte
	dropped *atomic.Int64
}

// Write queues a line. It doesn't block.
func (q queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

func newSink(w io.Writer) *sink {
	dropped := new(atomic.Int64)
	s := &sink{
		w: w, dropped: dropped, flushes: make(chan chan struct{}),
		plain:  queue{lines: make(chan []byte, queueLines), dropped: dropped},
		urgent: queue{lines: make(chan []byte, queueLines), dropped: dropped},
	}
	go s.run()
	return s
}

func (s *sink) run() {
	buf := make([]byte, 0, writeBytes)
	for {
		var flushed chan struct{}
		buf = buf[:0]
		select {
		case line := <-s.urgent.lines:
			buf = append(buf, line...)
		default:
			select {
			case line := <-s.urgent.lines:
				buf = append(buf, line...)
			case line := <-s.plain.lines:
				buf = append(buf, line...)
			case flushed = <-s.flushes:
			}
		}
		s.write(s.gather(buf, flushed != nil))
		if flushed != nil {
			close(flushed)
		}
	}
}

// gather adds the lines that wait, as many as go in one write; all if asked.
func (s *sink) gather(buf []byte, all bool) []byte {
	for all || len(buf) < writeBytes {
		select {
		case line := <-s.urgent.lines:
			buf = append(buf, line...)
			continue
		default:
		}
		select {
		case line := <-s.plain.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}

func (s *sink) write(buf []byte) {
	// Nobody can be told if standard output is gone; requests go on.
	_, _ = s.w.Write(buf)
}

func (s *sink) takeDropped() int64 { return s.dropped.Swap(0) }

func (s *sink) flush(limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	done := make(chan struct{})
	select {
	case s.flushes <- done:
	case <-t.C:
		return
	}
	select {
	case <-done:
	case <-t.C:
	}
}
