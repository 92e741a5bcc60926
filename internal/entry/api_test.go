package entry

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"

	"gradetiller.example/failure"
)

const apiPage = "../../docs/API.md"

// TestAPIPage runs every shell example of the API documentation against a node
// and checks that the output contains the text after "# => ".
func TestAPIPage(t *testing.T) {
	page, err := os.ReadFile(apiPage)
	if err != nil {
		t.Fatal(err)
	}
	s := newSystem(t, 1)
	examples := 0
	for _, block := range strings.Split(string(page), "```sh\n")[1:] {
		block, _, _ = strings.Cut(block, "```")
		script, want, ok := strings.Cut(block, "# => ")
		if !ok {
			t.Fatalf("example without an expected text:\n%s", block)
		}
		examples++
		c := exec.Command("bash", "-c", script)
		c.Env = append(os.Environ(), "ENTRY="+s.urls[0], "KEY="+testKey)
		out, err := c.CombinedOutput()
		if err != nil || !strings.Contains(string(out), strings.TrimSpace(want)) {
			t.Errorf("%v\n%s\ngave: %s\nwant: %s", err, script, out, want)
		}
	}
	if examples < 5 {
		t.Fatalf("only %d examples were found", examples)
	}
}

// TestAPITable checks that the API documentation lists every failure kind with
// the code, status, ran and again values of package failure.
func TestAPITable(t *testing.T) {
	page, err := os.ReadFile(apiPage)
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range failure.Kinds() {
		a := k.Answer()
		again := "no"
		if a.Again() {
			again = "yes"
		}
		row := fmt.Sprintf("| `%s` | %d | %s | %s |\n", a.Code(), a.Status(), a.Ran(), again)
		if !strings.Contains(string(page), row) {
			t.Errorf("the page lacks the row %q", row)
		}
	}
}
