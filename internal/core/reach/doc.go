// Package reach tracks to which endpoints a node can open connections. A node may lose its paths
// to endpoints that other nodes still reach, so a connection that can't be opened does not show
// that its endpoint is down.
//
// # Usage
//
//	paths := reach.NewTable()
//	change := paths.Record(now, reach.Target{Endpoint: id, Service: service}, reach.Silent)
//	for _, s := range paths.Stats() {
//		// s.Lost of the service's endpoints can't be reached
//	}
package reach
