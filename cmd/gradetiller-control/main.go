// Command gradetiller-control is described by its --help and in docs/OPERATIONS.md.
package main

import "gradetiller.example/cmd/gradetiller-control/cmd"

func main() { cmd.Main() }
