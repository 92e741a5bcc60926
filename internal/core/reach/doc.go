// Package reach tracks to which endpoints a node can open connections, and decides whether to open
// the next one directly or by way of another node.
//
// A node may lose its paths to endpoints that other nodes still reach, so a connection that can't be
// opened does not show that its endpoint is down. Nodes learn which case it is by asking another
// node to connect (Relays): if that succeeds, the path is lost; if other nodes can't connect either,
// the endpoint is gone. No state is exchanged beforehand. What a node learns this way is its own
// and ends with its next direct connection, which it tries again and again.
//
// A silent path shows late. When several endpoints of a service stop answering and none answers in
// between, all paths to the service are suspected, and connections to it are opened both ways at
// once.
//
// # Usage
//
//	paths := reach.NewTable()
//	to := reach.Target{Endpoint: id, Service: service}
//	r := paths.Route(now, to)
//	// if r.Direct, dial the endpoint; if r.Relay, also ask other nodes after r.RelayAfter
//	paths.Record(now, to, reach.Silent)
//	paths.RecordRelay(now, to, true)
//
//	relays := reach.NewRelays(self)
//	for _, node := range relays.Candidates(now, service, entries) {
//		// ask node to connect
//	}
package reach
