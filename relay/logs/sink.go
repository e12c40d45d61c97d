package logs

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines  = 2048     // capacity of each queue, in lines; further lines are dropped
	writeBatchBytes = 32 << 10 // lines are collected for one write until they reach this size
)

// sink writes queued lines from one goroutine, urgent ones first.
type sink struct {
	w       io.Writer
	normal  queue
	urgent  queue
	flushes chan chan struct{} // requests to write all lines; each channel is closed when that is done
	dropped *atomic.Int64      // lines dropped because a queue was full; shared with the queues
}

// queue is an io.Writer that queues lines for a sink. It drops lines while it is
// full.
type queue struct {
	lines   chan []byte
	dropped *atomic.Int64
}

// Write queues a copy of a line. It never blocks and never fails.
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
		normal: queue{lines: make(chan []byte, maxQueuedLines), dropped: dropped},
		urgent: queue{lines: make(chan []byte, maxQueuedLines), dropped: dropped},
	}
	go s.run()
	return s
}

// run writes lines until the process exits.
func (s *sink) run() {
	buf := make([]byte, 0, writeBatchBytes)
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
			case line := <-s.normal.lines:
				buf = append(buf, line...)
			case flushed = <-s.flushes:
			}
		}
		s.write(s.appendQueued(buf, flushed != nil))
		if flushed != nil {
			close(flushed)
		}
	}
}

// appendQueued appends queued lines to buf until it reaches writeBatchBytes, or
// all queued lines if all is set.
func (s *sink) appendQueued(buf []byte, all bool) []byte {
	for all || len(buf) < writeBatchBytes {
		select {
		case line := <-s.urgent.lines:
			buf = append(buf, line...)
			continue
		default:
		}
		select {
		case line := <-s.normal.lines:
			buf = append(buf, line...)
		default:
			return buf
		}
	}
	return buf
}

func (s *sink) write(buf []byte) {
	// There is nowhere to report that standard output is closed, and requests are
	// served all the same.
	_, _ = s.w.Write(buf)
}

// takeDropped returns and resets the number of dropped lines.
func (s *sink) takeDropped() int64 { return s.dropped.Swap(0) }

// flush waits up to timeout until all queued lines are written.
func (s *sink) flush(timeout time.Duration) {
	t := time.NewTimer(timeout)
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
