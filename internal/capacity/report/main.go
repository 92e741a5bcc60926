// Command report reads the output of go test -bench from standard input and prints the capacity
// tables. It is run by make capacity.
package main

import (
	"fmt"
	"os"

	"gradetiller.example/internal/capacity"
)

func main() {
	m, err := capacity.ParseBenchmarks(os.Stdin)
	if err != nil {
		fmt.Fprintf(os.Stderr, "report: %v\n", err)
		os.Exit(1)
	}
	for _, f := range []capacity.Fleet{capacity.Target, capacity.Today} {
		fmt.Println(capacity.Table(m, f))
	}
	fmt.Println(capacity.StormTable(m))
	fmt.Println(capacity.SlopeTable(m))
}
