// Command gradetiller-node is described by its --help and in docs/PLATFORM.md.
package main

import "gradetiller.example/cmd/gradetiller-node/cmd"

func main() { cmd.Main() }
