// Package scripted reads test scripts, which list the events of a test in simulated time. Each line
// consists of words separated by spaces. A # starts a comment.
//
// # Usage
//
//	scripted.Read(t, "testdata/cut.txt", func(words []string) error {
//		// handle one line
//	})
package scripted

import (
	"bufio"
	"os"
	"strings"
	"testing"
)

// Read calls a function with the words of each non-empty line, in order. If the function returns an
// error, Read fails the test with the file and line number. It also fails the test if the file cannot
// be read.
func Read(t testing.TB, path string, handle func(words []string) error) {
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
		if err := handle(words); err != nil {
			t.Fatalf("%s:%d: %v", path, number, err)
		}
	}
	if err := lines.Err(); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
}
