package event

import (
	"io"
	"sync/atomic"
)

// Spool writes lines from its own goroutine, so that a slow reader of the log
// never holds up the program. Lines that do not fit are counted and left out.
type Spool struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// spoolLines bounds the lines that wait: about half a megabyte.
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
		// There is nowhere to report that the log cannot be written.
		_, _ = s.out.Write(line)
	}
}

// Write takes one line. It never blocks and never fails.
func (s *Spool) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were left out.
func (s *Spool) Dropped() int64 { return s.dropped.Load() }

// Close writes what waits and ends the spool; nothing may be written after.
func (s *Spool) Close() {
	close(s.lines)
	<-s.done
}
