package workqueue

import (
	"time"

	"gradetiller.example/internal/policy"
)

// Item tells a policy what it needs to know of one waiting stage call.
type Item struct {
	// Deadline is the time at which the whole request must be finished.
	Deadline time.Time
	// Remaining is the expected time of this stage and all later ones.
	Remaining time.Duration
	// Account is the index of the client account.
	Account int
	// Weight is the account's weight for fair shares; at least 1.
	Weight int
}

// Key orders the queue: smaller First goes first, Second breaks ties, and the
// order of arrival breaks the rest.
type Key struct {
	First, Second int64
	// tag is the item's place in virtual time under a fair policy.
	tag int64
}

// Policy computes an item's key. fair holds the virtual time of each account.
type Policy func(it Item, fair *VirtualTime) Key

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

// weightedFair orders accounts by their virtual time, and the calls that
// share a step of virtual time by slack.
func weightedFair(it Item, fair *VirtualTime) Key {
	tag := fair.tag(it.Account, it.Weight)
	return Key{First: tag, Second: slackKey(it), tag: tag}
}

// fairCredit is how many calls an account of weight 1 may be ahead of the
// queue's virtual time and still count as within its share.
const fairCredit = 16

// fairSlack orders by slack alone while accounts keep to their shares; calls
// of an account that is ahead of its share go behind all others, in fair
// order.
func fairSlack(it Item, fair *VirtualTime) Key {
	tag := fair.tag(it.Account, it.Weight)
	key := Key{Second: slackKey(it), tag: tag}
	if tag-fair.now > fairCredit*fairUnit {
		key.First = tag
	}
	return key
}

func slackKey(it Item) int64 { return it.Deadline.Add(-it.Remaining).UnixNano() }
