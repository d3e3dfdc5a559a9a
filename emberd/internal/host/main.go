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

// Exit codes, as those of the other commands.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Bounds of memory.
const (
	// collectAt is how much the heap grows before it is collected, in percent:
	// memory at its peak is priced, and a daemon's heap is small.
	collectAt = 60
	// heapShare is the part of the process's memory from which the collector
	// works harder; stacks of threads, libraries and sockets need the rest.
	heapShare = 0.6
)

// Main runs a hosted daemon until SIGTERM and returns the exit code.
func Main(path string) int {
	set, err := ReadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "emberd:", err)
		return exitSettings
	}
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(int64(heapShare * float64(set.MemoryMB<<20)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	h := New(set)
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

// reloader reads the settings again on a signal.
type reloader struct {
	h    *Host
	path string
	hup  <-chan os.Signal
}

// run reads the settings at each signal until ctx ends.
func (r reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.hup:
		}
		set, err := ReadSettings(r.path)
		if err != nil {
			r.h.log.Emit(event.SettingsRejected, event.Ref{}, err.Error())
			continue
		}
		r.h.log.Emit(event.SettingsReloaded, event.Ref{}, "in force: logLevel, logRate; everything else from the next start")
		r.h.log.SetLevel(event.Level(set.LogLevel))
		r.h.log.SetRate(set.LogRate)
	}
}
