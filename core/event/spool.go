package event

import (
	"io"
	"sync/atomic"
)

// Spool writes lines from its own goroutine, so that a slow reader of the log
// never blocks the program. Lines that exceed its buffer are counted and dropped.
type Spool struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// spoolLines is the number of buffered lines, about half a megabyte.
const spoolLines = 2048

// NewSpool returns a spool that writes to out until Close.
func NewSpool(out io.Writer) *Spool {
	s := &Spool{out: out, lines: make(chan []byte, spoolLines), done: make(chan struct{})}
	go s.run()
	return s
}

// run writes the lines until Close.
func (s *Spool) run() {
	defer close(s.done)
	for line := range s.lines {
		// A failure to write the log cannot be reported anywhere.
		_, _ = s.out.Write(line)
	}
}

// Write buffers one line, or drops it if the buffer is full. It never blocks or
// fails.
func (s *Spool) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (s *Spool) Dropped() int64 { return s.dropped.Load() }

// Close writes the buffered lines and stops the goroutine; Write must not be called
// afterwards.
func (s *Spool) Close() {
	close(s.lines)
	<-s.done
}
