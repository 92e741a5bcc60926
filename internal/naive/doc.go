// Package naive holds plain references for differential tests: lists and
// scans, without regard to speed. It is used by tests only.
//
// # Usage
//
//	q := naive.Queue{Policy: "least_slack"}
//	q.Push(naive.Waiting{...}); id := q.Pop()
package naive
