// Command rig runs the scripts of the second review: it starts emberd processes before stand-ins of the platform, and
// checks a rule by what clients, workers and the platform see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name.
var cases = map[string]func(r *recorder, trouble bool) int{
	"parts":    runParts,
	"withheld": runWithheld,
	"blocked":  runBlocked,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(exitCannotRun)
	}
	var err error
	temp, err = os.MkdirTemp("", "review")
	check(err)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() { <-stop; cleanUp(); os.Exit(exitCannotRun) }()
	r := newRecorder(os.Args[2])
	code := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	r.close()
	cleanUp()
	os.Exit(code)
}
