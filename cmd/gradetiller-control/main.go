// Command gradetiller-control distributes the configuration in force and the membership of
// the system to the entry processes, and serves operators.
//
// Its --help and docs/OPERATIONS.md describe its use.
package main

import "gradetiller.example/cmd/gradetiller-control/cmd"

func main() { cmd.Main() }
