// Command gradetiller-standin simulates the platform and every endpoint of a configuration.
//
// Its --help and docs/OPERATIONS.md describe its use.
package main

import "gradetiller.example/cmd/gradetiller-standin/cmd"

func main() { cmd.Main() }
