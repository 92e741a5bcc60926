package assignment

import (
	"fmt"
	"testing"
	"time"

	"gradetiller.example/internal/core/limit"
)

// TestRateOvershoot guards against an account that exceeds its rate limit by
// sending to nodes that are not assigned to it: a caller floods every node for ten
// seconds, at 7 and at 380 nodes, and with the membership split into two views.
// All nodes together admit no more than 1+unassignedShare of the rate in each view.
func TestRateOvershoot(t *testing.T) {
	const rate, seconds = 1000.0, 10
	for _, size := range []int{7, 380} {
		all := entries(size)
		for i := range all {
			all[i].Region = "r"
		}
		for _, parts := range []int{1, 2} {
			admitted := 0
			for part := range parts {
				view := all[part*size/parts : (part+1)*size/parts]
				table := NewTable(view, accounts(50), 3)
				for _, e := range view {
					share := table.RateShare("account-1", "r", e.Node)
					admitted += admit(rate*share, seconds)
				}
			}
			t.Logf("%d nodes, %d membership views: %.2f of the rate admitted", size, parts, float64(admitted)/(rate*seconds))
			// The token bucket of each node also starts with one token.
			if bound := float64(parts)*(1+unassignedShare)*rate*seconds + float64(size); float64(admitted) > bound {
				t.Errorf("%d nodes, %d membership views: %d requests admitted, bound %.0f", size, parts, admitted, bound)
			}
		}
	}
}

// admit returns the number of requests that one node admits of a flood.
func admit(rate float64, seconds int) int {
	now := time.Unix(1000, 0)
	a := limit.NewAccount(now, limit.Settings{Rate: rate, Burst: 1})
	count := 0
	for range seconds * 5000 {
		now = now.Add(200 * time.Microsecond)
		if _, ok := a.Admit(now); ok {
			count++
			a.Release()
		}
	}
	return count
}

// TestAssignedEntriesAdmitFullRate guards against callers that spread over the
// entries assigned to their account and still get less than its rate limit.
func TestAssignedEntriesAdmitFullRate(t *testing.T) {
	table := NewTable(entries(40), accounts(50), 3)
	for i := range 50 {
		account := fmt.Sprint("account-", i)
		sum := 0.0
		for _, e := range table.Entries(account, "r1", "") {
			sum += table.RateShare(account, "r1", e.Node)
		}
		if sum < 0.999 || sum > 1.001 {
			t.Fatalf("the entries of %s admit %.3f of its rate", account, sum)
		}
	}
}
