// Command embfake runs emulators of the systems that embertally works with.
package main

import (
	"os"

	"embertally.dev/embfake/fake"
)

func main() { os.Exit(fake.Main(os.Args[1:])) }
