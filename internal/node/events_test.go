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

// logMethods are the logger methods that write an event.
var logMethods = map[string]bool{"Debug": true, "Info": true, "Warn": true, "Error": true}

// isLog reports whether an expression is a logger: a variable or field named log.
func isLog(x ast.Expr) bool {
	switch x := x.(type) {
	case *ast.Ident:
		return x.Name == "log"
	case *ast.SelectorExpr:
		return x.Sel.Name == "log"
	}
	return false
}

// TestLogEventsDeclaredAndDocumented guards against log events that operators cannot look up. It
// reads the package's sources: every logged event is a constant of events.go, every constant is
// logged, and the operations page names each.
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
					t.Errorf("%s: logs an event that is not a constant of events.go", file)
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
			t.Errorf("docs/OPERATIONS.md does not name event %q", text)
		}
	}
	for name := range logged {
		if _, ok := names[name]; !ok {
			t.Errorf("%s is not a constant of events.go", name)
		}
	}
}
