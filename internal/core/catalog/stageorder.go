package catalog

import (
	"fmt"
	"slices"
)

// StageOrder returns the numbers of a route's stages in an order in which each follows those that it depends on; of
// several that may follow, the lowest. after[i] lists the stages that stage i depends on. The error names a stage that depends on
// one that is not there, or on itself, directly or through others.
func StageOrder(after [][]int) ([]int, error) {
	for i, list := range after {
		for _, of := range list {
			if of < 0 || of >= len(after) {
				return nil, fmt.Errorf("stage %d depends on stage %d, which is not there", i, of)
			}
		}
	}
	order := make([]int, 0, len(after))
	missing := func(i int) bool { return !slices.Contains(order, i) }
	for len(order) < len(after) {
		next, stuck := -1, -1
		for i := len(after) - 1; i >= 0; i-- {
			switch {
			case !missing(i):
			case slices.ContainsFunc(after[i], missing):
				stuck = i
			default:
				next = i
			}
		}
		if next < 0 {
			return nil, fmt.Errorf("stage %d depends on itself, directly or through other stages", stuck)
		}
		order = append(order, next)
	}
	return order, nil
}
