// Command gradetiller checks and applies configurations, and shows the state and the decisions of
// the system.
//
// Its --help and docs/OPERATIONS.md describe its use.
package main

import "gradetiller.example/cmd/gradetiller/cmd"

func main() { cmd.Main() }
