// Command embfake runs small stand-ins for the systems that embertally meets.
package main

import (
	"os"

	"embertally.dev/embfake/fake"
)

func main() { os.Exit(fake.Main(os.Args[1:])) }
