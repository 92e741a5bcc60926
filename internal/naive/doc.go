// Package naive holds simple reference implementations for differential tests,
// which use lists and scans without regard to speed. It is used by tests only.
//
// # Usage
//
//	q := naive.Queue{Policy: "least_slack"}
//	q.Push(naive.Item{...}); id := q.Pop()
package naive
