// Package place chooses the endpoint for a stage call.
//
// A Pool tracks three kinds of state for each endpoint: the number of calls
// that this node has outstanding there, which is exact; the load that the
// endpoint reported with its last answer, whose weight decays with its age; and
// its health, by which an endpoint is ejected after consecutive failures and
// readmitted with a slow start. The sampling policies examine a bounded sample
// of the pool, so that the cost of a choice does not grow with the number of
// endpoints and nodes do not all converge on the same idle endpoint.
//
// # Usage
//
//	p, err := place.NewPool("predicted_finish", seed)
//	p.Update(specs)
//	req := place.Request{Exclude: place.None}
//	i, ok := p.Choose(now, req)
//	tokens := p.Start(now, i, req)
//	p.Finish(now, i, place.Result{Latency: d, OK: true, PendingTokens: tokens})
package place
