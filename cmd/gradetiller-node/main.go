// Command gradetiller-node runs the node of one instance on the users' platform.
//
// Its --help and docs/PLATFORM.md describe its use.
package main

import "gradetiller.example/cmd/gradetiller-node/cmd"

func main() { cmd.Main() }
