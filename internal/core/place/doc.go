// Package place chooses the endpoint for a stage call.
//
// A Pool knows three things of each endpoint: the calls that this node has
// outstanding there, which is exact; the load that the endpoint reported with
// its last answer, which is late and therefore counts less as it ages; and its
// health, which sets an endpoint aside after failures and lets it back by
// degrees. A choice looks at a bounded sample of the pool, so its cost does
// not grow with the number of endpoints, and nodes that sample differently do
// not all run to the same idle endpoint.
//
// # Usage
//
//	p, err := place.NewPool("predicted_finish", seed)
//	p.Update(now, specs)
//	i, ok := p.Choose(now, place.Request{Exclude: place.None})
//	p.Start(now, i, req); p.Finish(now, i, place.Result{Took: d, OK: true})
package place
