// Package scripted reads the scripts of tests that play courses of events in simulated time:
// lines of words, with comments from # on.
//
// # Usage
//
//	scripted.Read(t, "testdata/cut.txt", func(words []string) error {
//		// take one line in
//	})
package scripted

import (
	"bufio"
	"os"
	"strings"
	"testing"
)

// Read hands the words of each line that has any to a function, in order. An error of it, or of
// the file, ends the test and names file and line.
func Read(t testing.TB, path string, take func(words []string) error) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for number := 1; lines.Scan(); number++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		words := strings.Fields(text)
		if len(words) == 0 {
			continue
		}
		if err := take(words); err != nil {
			t.Fatalf("%s:%d: %v", path, number, err)
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
}
