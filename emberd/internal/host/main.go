package host

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"embertally.dev/core/bugs"
	"embertally.dev/core/event"
)

// Exit codes; the other commands use the same ones.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Parameters of the garbage collector.
const (
	// gcPercent is the heap growth that starts a garbage collection, as in GOGC. It is below Go's
	// default of 100 because peak memory is billed and a daemon's heap is small.
	gcPercent = 60
	// heapShare is the share of Settings.MemoryMB that is the soft memory limit of the Go runtime.
	// Thread stacks, libraries and sockets need the rest.
	heapShare = 0.6
)

// Main runs a hosted daemon with the settings file at path until SIGTERM or an interrupt, and returns
// the exit code.
func Main(path string) int {
	settings, err := ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "emberd:", err)
		return exitSettings
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapShare * float64(settings.MemoryMB<<20)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	h := New(settings)
	bugs.Handle(func(text string, stack []byte) {
		h.log.Emit(event.InvariantBroken, event.Ref{}, text+"\n"+string(stack))
	})
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go reloader{h, path, hup}.run(ctx)
	if err := h.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "emberd:", err)
		return exitFailed
	}
	return exitOK
}

// reloader reloads the settings file on SIGHUP.
type reloader struct {
	host *Host
	path string
	hup  <-chan os.Signal
}

// run reloads the settings at each signal until ctx is cancelled. Only logLevel and logRate take effect.
func (r reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hup:
		}
		settings, err := ReadSettings(r.path)
		if err != nil {
			r.host.log.Emit(event.SettingsRejected, event.Ref{}, err.Error())
			continue
		}
		r.host.log.Emit(event.SettingsReloaded, event.Ref{}, "applied: logLevel, logRate; other changes need a restart")
		r.host.log.SetLevel(event.Level(settings.LogLevel))
		r.host.log.SetLineRate(settings.LogRate)
	}
}
