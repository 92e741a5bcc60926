// Command gradetiller-load sends requests to a system and checks every response.
//
// Its --help and docs/OPERATIONS.md describe its use.
package main

import "gradetiller.example/cmd/gradetiller-load/cmd"

func main() { cmd.Main() }
