package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"embertally.dev/core/event"
	"embertally.dev/emberd/internal/host"
)

// Exit codes of emberd.
const (
	exitOK       = 0
	exitSettings = 2
	exitFailed   = 1
)

// Main parses and runs the command line, and returns the exit code.
func Main(args []string) int {
	app := kingpin.New("emberd", "The daemon that runs on every entry box.\n\nExamples:\n  emberd check /etc/emberd.yaml\n  emberd run /etc/emberd.yaml\n\nExit codes: 0 stopped as planned, 1 failed, 2 faults in the settings or the command line.")
	app.Terminate(nil)
	run := app.Command("run", "Run the daemon until SIGTERM, which drains it.")
	runFile := run.Arg("settings", "The YAML file.").Required().String()
	hostRun := app.Command("host", "Run the daemon on a platform that keeps configuration and targets in its store, until SIGTERM.")
	hostFile := hostRun.Arg("settings", "The YAML file.").Required().String()
	check := app.Command("check", "Check a settings file and name all faults.")
	checkFile := check.Arg("settings", "The YAML file.").Required().String()
	reference := app.Command("reference", "Print the page of all settings.")
	events := app.Command("events", "Print the page of all events.")
	metrics := app.Command("metrics", "Print the list of all figures at /debug/vars.")
	cmd, err := app.Parse(args)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "emberd:", err)
		return exitSettings
	case cmd == run.FullCommand():
		return runDaemon(*runFile)
	case cmd == hostRun.FullCommand():
		return host.Main(*hostFile)
	case cmd == check.FullCommand():
		return checkSettings(*checkFile)
	case cmd == reference.FullCommand():
		io.WriteString(os.Stdout, Reference())
	case cmd == events.FullCommand():
		io.WriteString(os.Stdout, EventPage())
	case cmd == metrics.FullCommand():
		io.WriteString(os.Stdout, VariablePage())
	}
	return exitOK
}

// checkSettings reports the faults of a settings file, and returns the exit code.
func checkSettings(path string) int {
	if _, err := ReadSettings(path); err != nil {
		fmt.Fprintln(os.Stderr, "emberd:", err)
		return exitSettings
	}
	fmt.Println("settings are in order")
	return exitOK
}

// gcPercent is the heap growth that starts a garbage collection, as in GOGC. It is below Go's
// default of 100 because a daemon may use only 32 MB and its heap is small: memory matters more
// than the time for collections.
const gcPercent = 50

// runDaemon runs a daemon until SIGTERM or an interrupt, and returns the exit code.
func runDaemon(path string) int {
	debug.SetGCPercent(gcPercent)
	settings, err := ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "emberd:", err)
		return exitSettings
	}
	d, err := New(settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "emberd:", err)
		return exitSettings
	}
	publish(d)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := d.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "emberd:", err)
		return exitFailed
	}
	return exitOK
}

// EventPage returns the page docs/EVENTS.md.
func EventPage() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line and every entry of the timeline is one of these. The meaning of a number never changes. ")
	b.WriteString("This page is written by `emberd events`; a test keeps it true.\n\n| code | event | level | meaning |\n| --- | --- | --- | --- |\n")
	for _, e := range event.Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Code, e.Name, e.Level, e.Meaning)
	}
	return b.String()
}

// VariablePage returns the table of metrics in docs/OPERATIONS.md.
func VariablePage() string {
	var b strings.Builder
	b.WriteString("| figure | meaning |\n| --- | --- |\n")
	for _, v := range variables {
		fmt.Fprintf(&b, "| `%s` | %s |\n", v.name, v.meaning)
	}
	return b.String()
}
