// Command embctl is the operators' command line.
package main

import (
	"os"

	"embertally.dev/embctl/internal/ctl"
)

func main() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
