// Package capacity works out what each role costs at a fleet's size from
// slopes that benchmarks measured.
//
// A benchmark that runs at several sizes gives a line y = a + b·x by least
// squares; a cost is such a line taken at the fleet's size, times how often it
// occurs. The package does arithmetic only; the program in report reads the
// benchmarks' output.
//
// # Usage
//
//	m := capacity.ParseBenchmarks(output)
//	for _, row := range capacity.Rows(m, capacity.Target) { fmt.Println(row) }
package capacity
