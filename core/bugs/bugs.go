// Package bugs reports violated invariants of the program.
//
// It owns the number of such reports and how they are written. It must not depend
// on any other package of the program, so that every package can use it.
package bugs

import (
	"expvar"
	"fmt"
	"os"
	"runtime/debug"
	"sync/atomic"
)

// reported counts the reports of this process.
var reported = expvar.NewInt("bugsReported")

// handler receives each report if set; tests set it.
var handler atomic.Pointer[func(text string, stack []byte)]

// Handle sets f as the handler of reports and returns a function that restores
// the previous one.
func Handle(f func(text string, stack []byte)) func() {
	previous := handler.Swap(&f)
	return func() { handler.Store(previous) }
}

// Report records that an invariant is violated, and writes it with the stack to
// standard error or passes it to the handler. It returns: the caller must continue
// in a safe state.
func Report(format string, args ...any) {
	reported.Add(1)
	text := fmt.Sprintf(format, args...)
	stack := debug.Stack()
	if f := handler.Load(); f != nil {
		(*f)(text, stack)
		return
	}
	fmt.Fprintf(os.Stderr, "broken invariant: %s\n%s", text, stack)
}

// Count returns the number of reports of this process.
func Count() int64 { return reported.Value() }
