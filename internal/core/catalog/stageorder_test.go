package catalog

import (
	"slices"
	"strings"
	"testing"
)

// TestStageOrder guards against stages that run before those that they depend on, and against routes whose stages can never run.
func TestStageOrder(t *testing.T) {
	for _, c := range []struct {
		after [][]int
		want  []int
		err   string
	}{
		{nil, []int{}, ""},
		{[][]int{{}, {0}, {0, 1}}, []int{0, 1, 2}, ""},
		{[][]int{{1}, {}}, []int{1, 0}, ""},
		{[][]int{{2}, {0}, {}}, []int{2, 0, 1}, ""},
		{[][]int{{}, {}, {}}, []int{0, 1, 2}, ""},
		{[][]int{{1, 1}, {}}, []int{1, 0}, ""},
		{[][]int{{0}}, nil, "stage 0 depends on itself"},
		{[][]int{{}, {2}, {1}}, nil, "stage 1 depends on itself"},
		{[][]int{{1}}, nil, "stage 1, which is not there"},
		{[][]int{{-1}}, nil, "stage -1, which is not there"},
	} {
		got, err := StageOrder(c.after)
		if c.err == "" && (err != nil || !slices.Equal(got, c.want)) || c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)) {
			t.Errorf("%v: %v, %v; want %v, %q", c.after, got, err, c.want, c.err)
		}
	}
}
