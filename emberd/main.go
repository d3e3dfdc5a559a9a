// Command emberd is the daemon that runs on every entry box.
package main

import (
	"os"

	"embertally.dev/emberd/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:])) }
