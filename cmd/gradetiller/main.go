// Command gradetiller is described by its --help and in docs/OPERATIONS.md.
package main

import "gradetiller.example/cmd/gradetiller/cmd"

func main() { cmd.Main() }
