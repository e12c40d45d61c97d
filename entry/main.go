// Command entry takes callers' requests and carries them through pipelines.
package main

import (
	"os"

	"wigeonplank.example/entry/cmds"
)

func main() { os.Exit(cmds.Main(os.Args[1:])) }
