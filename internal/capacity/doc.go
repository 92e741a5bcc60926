// Package capacity computes the cost of each role for the size of a fleet from the results of
// benchmarks.
//
// The results of a benchmark at several sizes give a line y = a + b·x by least squares. A cost is the
// value of such a line at the size of the fleet, multiplied by the rate at which it occurs. The
// package only does the arithmetic. The program in report prints the tables for the output of the
// benchmarks.
//
// # Usage
//
//	m, err := capacity.ParseBenchmarks(output)
//	for _, row := range capacity.Rows(m, capacity.Target) { fmt.Println(row) }
package capacity
