// Command gradetiller-entry is described by its --help and in docs/OPERATIONS.md.
package main

import "gradetiller.example/cmd/gradetiller-entry/cmd"

func main() { cmd.Main() }
