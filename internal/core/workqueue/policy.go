package workqueue

import (
	"time"

	"gradetiller.example/internal/policy"
)

// Item describes a waiting stage call to a policy.
type Item struct {
	// Deadline is the time by which the whole request must be finished.
	Deadline time.Time
	// Remaining is the expected duration of this stage and all later ones.
	Remaining time.Duration
	// Account is the index of the client account.
	Account int
	// Weight is the account's weight in fair queueing; it is at least 1.
	Weight int
}

// Key is the sort key of an item: items are served in ascending order of First,
// then of Second, then in order of arrival.
type Key struct {
	First, Second int64
	// startTag is the item's start tag in virtual time under a fair policy.
	startTag int64
}

// Policy computes the key of an item. The clock provides start tags by account.
type Policy func(it Item, clock *VirtualTime) Key

var policies = policy.NewRegistry[Policy]()

func init() {
	policies.Register("fifo", fifo)
	policies.Register("earliest_deadline", earliestDeadline)
	policies.Register("least_slack", leastSlack)
	policies.Register("weighted_fair", weightedFair)
	policies.Register("fair_slack", fairSlack)
}

// Names lists the registered policies.
func Names() []string { return policies.Names() }

func fifo(Item, *VirtualTime) Key { return Key{} }

func earliestDeadline(it Item, _ *VirtualTime) Key {
	return Key{First: it.Deadline.UnixNano()}
}

func leastSlack(it Item, _ *VirtualTime) Key {
	return Key{First: slackKey(it)}
}

// weightedFair orders calls by their start tag, and calls with the same start tag
// by slack.
func weightedFair(it Item, clock *VirtualTime) Key {
	tag := clock.startTag(it.Account, it.Weight)
	return Key{First: tag, Second: slackKey(it), startTag: tag}
}

// fairBurst is the number of calls by which an account of weight 1 may run ahead
// of the queue's virtual time while still being within its share.
const fairBurst = 16

// fairSlack orders by slack while accounts stay within their shares. Calls of
// accounts that exceed their shares go behind all other calls, in order of their
// start tags.
func fairSlack(it Item, clock *VirtualTime) Key {
	tag := clock.startTag(it.Account, it.Weight)
	key := Key{Second: slackKey(it), startTag: tag}
	if tag-clock.now > fairBurst*costUnit {
		key.First = tag
	}
	return key
}

func slackKey(it Item) int64 { return it.Deadline.Add(-it.Remaining).UnixNano() }
