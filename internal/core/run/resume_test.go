package run

import (
	"fmt"
	"testing"
	"time"

	"gradetiller.example/config"
	"gradetiller.example/internal/core/attempt"
)

// versionedConfig has a pool whose endpoints serve different versions, and a stage that names none.
func versionedConfig(t *testing.T, endpoints string) *config.Config {
	text := fmt.Sprintf(`
format: 1
name: test
accounts:
  - {name: a, key_sha256: "%064d", concurrency: 1000}
pools:
  - name: g
    kind: engine
    queue: 8
    endpoints:
%s
pipelines:
  - name: chat
    deadline: 1s
    stages: [{name: generate, pool: g, max_tokens: 8}]
`, 1, endpoints)
	cfg, err := config.Parse("versions.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// breakAfterTokens submits a run and ends its first call after two tokens. It returns the endpoint of
// that call and the actions that follow.
func breakAfterTokens(t *testing.T, e *Engine, now time.Time) (string, []Action) {
	_, actions := e.Submit(now, Request{Account: "a", Pipeline: "chat", RequestID: "r", Repeatable: true})
	c, ok := callIn(actions)
	if !ok {
		t.Fatalf("no call in %v", actions)
	}
	if used, _ := e.FirstToken(now, c.Attempt); !used {
		t.Fatal("the tokens of the only call are not used")
	}
	return c.Endpoint, e.CallEnded(now, c.Attempt, CallResult{Event: attempt.NoResponse, Tokens: 2})
}

func callIn(actions []Action) (Call, bool) {
	for _, a := range actions {
		if c, ok := a.(Call); ok {
			return c, true
		}
	}
	return Call{}, false
}

// TestResumedRunKeepsItsVersion guards against a run whose tokens come from endpoints of two versions:
// its stage names no version, its endpoint breaks off after some tokens, and another version is idle.
func TestResumedRunKeepsItsVersion(t *testing.T) {
	cfg := versionedConfig(t, `
      - {name: g1, address: "127.0.0.1:1", failure_domain: d1, slots: 2, versions: [m1]}
      - {name: g2, address: "127.0.0.1:2", failure_domain: d1, slots: 2, versions: [m2]}
      - {name: g3, address: "127.0.0.1:3", failure_domain: d1, slots: 2, versions: [m1]}
      - {name: g4, address: "127.0.0.1:4", failure_domain: d1, slots: 2, versions: [m2]}`)
	versionOf := map[string]string{"g1": "m1", "g2": "m2", "g3": "m1", "g4": "m2"}
	for seed := range uint64(40) {
		e, now := New(seed), time.Unix(1000, 0)
		if err := e.Configure(now, cfg, 1); err != nil {
			t.Fatal(err)
		}
		first, actions := breakAfterTokens(t, e, now)
		second, ok := callIn(actions)
		if !ok {
			t.Fatalf("seed %d: the run does not go on after %s", seed, first)
		}
		if second.ResumeFrom != 2 || versionOf[second.Endpoint] != versionOf[first] {
			t.Errorf("seed %d: a run of %s (%s) goes on at %s (%s) from token %d", seed, first, versionOf[first], second.Endpoint, versionOf[second.Endpoint], second.ResumeFrom)
		}
	}
}

// TestRunWithoutItsVersionFailsAtOnce guards against a run that waits for its deadline, although no
// endpoint of the version that began it is left.
func TestRunWithoutItsVersionFailsAtOnce(t *testing.T) {
	both := versionedConfig(t, `
      - {name: g1, address: "127.0.0.1:1", failure_domain: d1, slots: 2, versions: [m1]}`)
	e, now := New(1), time.Unix(1000, 0)
	if err := e.Configure(now, both, 1); err != nil {
		t.Fatal(err)
	}
	_, actions := e.Submit(now, Request{Account: "a", Pipeline: "chat", RequestID: "r", Repeatable: true})
	c, ok := callIn(actions)
	if !ok {
		t.Fatalf("no call in %v", actions)
	}
	e.FirstToken(now, c.Attempt)
	next := versionedConfig(t, `
      - {name: g2, address: "127.0.0.1:2", failure_domain: d1, slots: 2, versions: [m2]}`)
	if err := e.Configure(now, next, 1); err != nil {
		t.Fatal(err)
	}
	actions = e.CallEnded(now, c.Attempt, CallResult{Event: attempt.NoResponse, Tokens: 2})
	if call, ok := callIn(actions); ok {
		t.Fatalf("the run goes on at %s", call.Endpoint)
	}
	for _, a := range actions {
		if f, ok := a.(Finish); ok && f.Err != nil {
			return
		}
	}
	t.Errorf("the run does not end: %v", actions)
}
