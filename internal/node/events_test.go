package node

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// logMethods are the methods of a log that write an event.
var logMethods = map[string]bool{"Debug": true, "Info": true, "Warn": true, "Error": true}

// isLog reports whether an expression is a log: a variable or field of that
// name.
func isLog(x ast.Expr) bool {
	switch x := x.(type) {
	case *ast.Ident:
		return x.Name == "log"
	case *ast.SelectorExpr:
		return x.Sel.Name == "log"
	}
	return false
}

// TestEventsAreAClosedList reads the package's sources: every event that is
// logged is a constant of events.go, every constant is logged, and the page for
// operators names each.
func TestLogEventsDeclaredAndDocumented(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	names, logged := make(map[string]string), make(map[string]bool)
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.ValueSpec:
				if file == "events.go" {
					text, err := strconv.Unquote(n.Values[0].(*ast.BasicLit).Value)
					if err != nil {
						t.Fatal(err)
					}
					names[n.Names[0].Name] = text
				}
			case *ast.CallExpr:
				method, ok := n.Fun.(*ast.SelectorExpr)
				if !ok || !logMethods[method.Sel.Name] || !isLog(method.X) {
					return true
				}
				event, ok := n.Args[0].(*ast.Ident)
				if !ok {
					t.Errorf("%s: an event that is no constant of events.go", file)
					return true
				}
				logged[event.Name] = true
			}
			return true
		})
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range names {
		if !logged[name] {
			t.Errorf("%s is never logged", name)
		}
		if !strings.Contains(string(page), "`"+text+"`") {
			t.Errorf("docs/OPERATIONS.md does not tell what %q means", text)
		}
	}
	for name := range logged {
		if _, ok := names[name]; !ok {
			t.Errorf("%s is no constant of events.go", name)
		}
	}
}
