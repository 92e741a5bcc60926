package config

import (
	"errors"
	"strings"
	"testing"
)

const evacuateFile = `format: 1
name: small # the desk
accounts:
  - {name: a, key_sha256: "0000000000000000000000000000000000000000000000000000000000000001"}
pools:
  - {name: p, kind: service, endpoints: [{name: e1, address: "10.0.0.1:80", failure_domain: d1}, {name: e2, address: "10.0.0.2:80", failure_domain: d2}]}
pipelines:
  - {name: x, deadline: 1s, stages: [{name: one, pool: p}]}`

func mustParse(t *testing.T, text string) *Config {
	t.Helper()
	c, err := Parse("small.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestEvacuate starts and ends the evacuation of two failure domains. The rest of the file,
// including comments, must not change.
func TestEvacuate(t *testing.T) {
	steps := []struct {
		domain string
		end    bool
		want   string
	}{
		{"d1", false, `evacuated: ["d1"]`},
		{"d2", false, `evacuated: ["d1", "d2"]`},
		{"d1", true, `evacuated: ["d2"]`},
		{"d2", true, ""},
	}
	text := evacuateFile
	for _, s := range steps {
		data, err := mustParse(t, text).Evacuate(s.domain, s.end)
		if err != nil {
			t.Fatalf("%+v: %v", s, err)
		}
		text = string(data)
		want := evacuateFile + "\n"
		if s.want != "" {
			want += s.want + "\n"
		}
		if text != want {
			t.Fatalf("%+v: the file is\n%s", s, text)
		}
	}
	c := mustParse(t, evacuateFile+"\nevacuated: [d1]\n")
	for i := range c.Pools()[0].Endpoints() {
		e := &c.Pools()[0].Endpoints()[i]
		if c.InService(e) != (e.Domain() == "d2") {
			t.Errorf("%s in service: %v", e.Name(), c.InService(e))
		}
	}
}

// TestEvacuateErrors checks that Evacuate rejects a change without effect and a block list,
// and that Parse rejects invalid lists of evacuated failure domains.
func TestEvacuateErrors(t *testing.T) {
	c := mustParse(t, evacuateFile+"\nevacuated: [d1]\n")
	if _, err := c.Evacuate("d1", false); err == nil {
		t.Error("starting an evacuation twice: got no error")
	}
	if _, err := c.Evacuate("d2", true); err == nil {
		t.Error("ending an evacuation that was not started: got no error")
	}
	if _, err := mustParse(t, evacuateFile+"\nevacuated:\n  - d1\n").Evacuate("d2", false); !errors.Is(err, ErrBlockList) {
		t.Errorf("block list: %v", err)
	}
	_, err := Parse("small.yaml", []byte(evacuateFile+"\nevacuated: [d3, d1, d1]\n"))
	for _, want := range []string{`small.yaml:9:`, `no endpoint is in failure domain "d3"`, "use one of d1, d2", `failure domain "d1" is listed twice`} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}
