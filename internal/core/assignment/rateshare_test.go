package assignment

import (
	"fmt"
	"testing"
	"time"

	"gradetiller.example/internal/core/limit"
)

// TestRateOvershoot lets a caller ask every node, not only those it is told,
// for ten seconds as fast as it can, at 7 and at 380 nodes, and with the
// nodes' view cut in two. What all nodes admit together stays within the
// stated bound of the account's rate.
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
			t.Logf("%d nodes, view in %d parts: %.2f of the rate", size, parts, float64(admitted)/(rate*seconds))
			// Every node's bucket also starts with one whole token.
			if bound := float64(parts)*(1+strayShare)*rate*seconds + float64(size); float64(admitted) > bound {
				t.Errorf("%d nodes, view in %d parts: %d admitted, bound %.0f", size, parts, admitted, bound)
			}
		}
	}
}

// admit counts what one node admits of a flood.
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

// TestFollowersGetTheirRate checks that a caller who spreads over the entries
// it is told gets its whole rate.
func TestFollowersGetTheirRate(t *testing.T) {
	table := NewTable(entries(40), accounts(50), 3)
	for i := range 50 {
		account := fmt.Sprint("account-", i)
		sum := 0.0
		for _, e := range table.Entries(account, "r1", "") {
			sum += table.RateShare(account, "r1", e.Node)
		}
		if sum < 0.999 || sum > 1.001 {
			t.Fatalf("%s gets %.3f of its rate", account, sum)
		}
	}
}
