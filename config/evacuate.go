package config

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrBlockList reports that a file lists its evacuated failure domains as a YAML block list.
// Evacuate does not rewrite such a list, because it may contain comments or other text.
var ErrBlockList = errors.New("evacuated is a block list with one failure domain per line: edit the file and apply it")

// evacuatedPrefix starts the line that lists the evacuated failure domains.
const evacuatedPrefix = "evacuated:"

// Evacuate returns the file's content with a failure domain added to the evacuated ones or,
// with end, removed from them. All other lines are unchanged.
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
		rest, found := bytes.CutPrefix(line, []byte(evacuatedPrefix))
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

// evacuatedLine returns the line that lists the failure domains, or "" if there are none.
func evacuatedLine(list []string) string {
	if len(list) == 0 {
		return ""
	}
	quoted := make([]string, len(list))
	for i, d := range list {
		quoted[i] = fmt.Sprintf("%q", d)
	}
	return evacuatedPrefix + " [" + strings.Join(quoted, ", ") + "]\n"
}
