// Command relay takes callers' requests on the users' platform, runs the stages
// that go before them, and passes them on to an endpoint.
package main

import (
	"os"

	"wigeonplank.example/relay/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:])) }
