// Command gradetiller-entry serves clients and runs their requests through the stages of
// their pipelines.
//
// Its --help and docs/OPERATIONS.md describe its use.
package main

import "gradetiller.example/cmd/gradetiller-entry/cmd"

func main() { cmd.Main() }
