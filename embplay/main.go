// Command embplay plays callers: it shows the main job, writes and replays
// traces, and judges what came of them.
package main

import (
	"os"

	"embertally.dev/embplay/internal/play"
)

func main() { os.Exit(play.Main(os.Args[1:], os.Stdout, os.Stderr)) }
