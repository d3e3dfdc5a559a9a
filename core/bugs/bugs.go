// Package bugs reports states that the program's own invariants rule out.
//
// It owns the count of such reports and the way they are written. It knows
// nothing of what the rest of the program does, so every package may use it.
package bugs

import (
	"expvar"
	"fmt"
	"os"
	"runtime/debug"
	"sync/atomic"
)

// reported counts the broken invariants of this process.
var reported = expvar.NewInt("bugsReported")

// handler receives each report; tests replace it.
var handler atomic.Pointer[func(text string, stack []byte)]

// Handle makes f the receiver of reports and returns a function that restores
// the former one.
func Handle(f func(text string, stack []byte)) func() {
	old := handler.Swap(&f)
	return func() { handler.Store(old) }
}

// Report records that an invariant is broken. The caller goes on: it must
// itself take the safe way out.
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

// Count returns how many broken invariants this process has reported.
func Count() int64 { return reported.Value() }
