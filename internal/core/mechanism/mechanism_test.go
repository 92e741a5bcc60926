package mechanism

import (
	"strings"
	"testing"
)

// TestParse checks that known names are accepted and that the error for an unknown
// name lists the known ones.
func TestParse(t *testing.T) {
	disabled, err := Parse([]string{"copies", " admission ", ""})
	if err != nil || len(disabled) != 2 || !disabled.Has(Copies) || !disabled.Has(Admission) || disabled.Has(Lists) {
		t.Errorf("%v, %v", disabled, err)
	}
	if _, err := Parse([]string{"copys"}); err == nil || !strings.Contains(err.Error(), `"copys"`) || !strings.Contains(err.Error(), string(Join)) {
		t.Errorf("error for an unknown name: %v", err)
	}
	if disabled, err := Parse(nil); err != nil || disabled.Has(Copies) {
		t.Errorf("no names: %v, %v", disabled, err)
	}
}
