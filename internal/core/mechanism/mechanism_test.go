package mechanism

import (
	"strings"
	"testing"
)

// TestParse checks that known names are taken and that an unknown one is told
// with those that are known.
func TestParse(t *testing.T) {
	off, err := Parse([]string{"copies", " admission ", ""})
	if err != nil || len(off) != 2 || !off.Has(Copies) || !off.Has(Admission) || off.Has(Lists) {
		t.Errorf("%v, %v", off, err)
	}
	if _, err := Parse([]string{"copys"}); err == nil || !strings.Contains(err.Error(), `"copys"`) || !strings.Contains(err.Error(), string(Join)) {
		t.Errorf("an unknown name: %v", err)
	}
	if off, err := Parse(nil); err != nil || off.Has(Copies) {
		t.Errorf("nothing off: %v, %v", off, err)
	}
}
