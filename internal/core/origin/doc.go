// Package origin keeps where streams began: at which service, and at which version of its software. What
// two versions write doesn't fit together, so a client that returns for the rest of a stream may get it
// only from endpoints of the version that began it, at whichever node it returns.
//
// The node at which a stream begins sends a record to a few others, its owners, which are found by
// rendezvous hashing of the stream's keys. A node that doesn't hold the record asks the owners. Records are
// copied to nodes that become owners or were restarted. Without a record a stream must not go on: that
// only one version is known doesn't show that the stream began there.
//
// A stream has two keys, of the client's attempt and of its content. A client that returns names the attempt.
// One that doesn't is known by the content, as long as all streams of this content began at one origin.
//
// # Usage
//
//	t := origin.NewTable(capacity)
//	r := origin.Record{Key: origin.KeyOf(account, requestID), Origin: o, TTL: ttl}
//	t.Put(now, r)
//	for _, node := range members.Owners(self, r.Key, contentKey) {
//		// send r to node, which calls Put
//	}
//
//	s := origin.NewSearch(members, self, key, contentKey)
//	for _, node := range s.Next() {
//		// ask node, which calls Get
//	}
//	s.Answer(node, answer)
//	o, result := s.Result()
package origin
