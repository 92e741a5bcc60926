package entry

import (
	"fmt"
	"strings"

	"gradetiller.example/internal/core/run"
)

// decisionText formats the configuration version and a decision's non-empty
// fields as key=value pairs.
func decisionText(d run.Decision, version uint64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "config=%d", version)
	for _, p := range [...]struct{ key, value string }{
		{"request", d.RequestID},
		{"stage", d.Stage},
		{"endpoint", d.Endpoint},
		{"policy", d.Policy},
		{"reason", d.Reason},
	} {
		if p.value != "" {
			fmt.Fprintf(&b, " %s=%q", p.key, p.value)
		}
	}
	return b.String()
}
