// Command gradetiller-standin is described by its --help and in docs/OPERATIONS.md.
package main

import "gradetiller.example/cmd/gradetiller-standin/cmd"

func main() { cmd.Main() }
