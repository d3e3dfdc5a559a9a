// Command embplay simulates callers: it demonstrates a running site, generates
// and replays traces, and evaluates the results.
package main

import (
	"os"

	"embertally.dev/embplay/internal/play"
)

func main() { os.Exit(play.Main(os.Args[1:], os.Stdout, os.Stderr)) }
