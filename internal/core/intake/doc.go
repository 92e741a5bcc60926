// Package intake is about the requests that an endpoint takes from all nodes together,
// which no node sees by itself.
//
// An endpoint in need names, in its answers, how many requests a second it takes. Whoever
// passes such an answer on has heard it.
//
// # Usage
//
//	words := intake.NewWords()
//	rate, err := intake.RateOf(1.5)
//	before, changed := words.Hear(now, endpoint, rate)
package intake
