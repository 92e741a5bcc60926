// Command gradetiller-load is described by its --help and in docs/OPERATIONS.md.
package main

import "gradetiller.example/cmd/gradetiller-load/cmd"

func main() { cmd.Main() }
