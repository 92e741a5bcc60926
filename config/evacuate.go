package config

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrBlockList tells that a file lists its evacuated failure domains one a line, where only
// its author can tell what else stands there.
var ErrBlockList = errors.New("evacuated is written as a list of lines: change it in the file and apply that")

// evacuatedField begins the line of the file that lists the evacuated failure domains.
const evacuatedField = "evacuated:"

// Evacuate returns the file with a failure domain evacuated as well, or, with end, no more.
// All else stays as it was written.
func (c *Config) Evacuate(domain string, end bool) ([]byte, error) {
	evacuated := slices.Contains(c.f.Evacuated, domain)
	list := slices.DeleteFunc(slices.Clone(c.f.Evacuated), func(d string) bool { return d == domain })
	switch {
	case end && !evacuated:
		return nil, fmt.Errorf("failure domain %q is not evacuated", domain)
	case !end && evacuated:
		return nil, fmt.Errorf("failure domain %q is evacuated already", domain)
	case !end:
		list = append(list, domain)
	}
	var out []byte
	written := false
	for line := range bytes.Lines(c.data) {
		rest, found := bytes.CutPrefix(line, []byte(evacuatedField))
		if !found {
			out = append(out, line...)
			continue
		}
		if text := string(bytes.TrimSpace(rest)); !strings.HasPrefix(text, "[") || !strings.Contains(text, "]") {
			return nil, ErrBlockList
		}
		out = append(out, evacuatedLine(list)...)
		written = true
	}
	if !written {
		if len(out) > 0 && out[len(out)-1] != '\n' {
			out = append(out, '\n')
		}
		out = append(out, evacuatedLine(list)...)
	}
	return out, nil
}

// evacuatedLine is the line that lists failure domains, or nothing for none.
func evacuatedLine(list []string) string {
	if len(list) == 0 {
		return ""
	}
	quoted := make([]string, len(list))
	for i, d := range list {
		quoted[i] = fmt.Sprintf("%q", d)
	}
	return evacuatedField + " [" + strings.Join(quoted, ", ") + "]\n"
}
