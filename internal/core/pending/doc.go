// Package pending decides about requests whose stages have run and that wait until the rate limit of
// an endpoint admits them: in which order they are placed, how long they may wait, and after which
// delay those that are refused may be submitted again.
//
// # Usage
//
//	if wait, ok := pending.Shortage(reserved, allowed, perSecond); !ok {
//		// refuse the request before its stages run, with wait as the retry delay
//	}
//	q.Add(now, request, priority, softDeadline)
//	for _, r := range q.Place(now, place) {
//		// fail r with pending.RetryAfter(timeToNextSend, known)
//	}
//
// Queues are not safe for concurrent use.
package pending
