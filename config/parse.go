package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxFileSize is the maximum size of a configuration file in bytes.
const maxFileSize = 4 << 20

// Parse parses and checks the content of a configuration file; name is used in
// problems only. The error is of type Problems.
func Parse(name string, data []byte) (*Config, error) {
	cfg, _, err := ParseWithWarnings(name, data)
	return cfg, err
}

// ParseWithWarnings is like Parse but also returns warnings, which do not cause
// the file to be rejected.
func ParseWithWarnings(name string, data []byte) (*Config, Problems, error) {
	if len(data) > maxFileSize {
		return nil, nil, Problems{{file: name, line: 1, col: 1, code: CodeRange, message: fmt.Sprintf("file has %d bytes", len(data)), fix: fmt.Sprintf("keep it under %d bytes", maxFileSize)}}
	}
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, nil, Problems{syntaxProblem(name, err)}
	}
	body, err := documentBody(name, file)
	if err != nil {
		return nil, nil, err
	}
	c := &checker{file: name, body: body}
	c.checkNode(body, reflect.TypeFor[fileConfig](), "$")
	var f fileConfig
	if err := yaml.NodeToValue(body, &f); err != nil {
		// checkNode has reported values of the wrong type.
		if len(c.problems) == 0 {
			c.problems = Problems{syntaxProblem(name, err)}
		}
		c.problems.sort()
		return nil, nil, c.problems
	}
	fillDefaults(&f)
	c.check(&f)
	c.problems.sort()
	rejecting, warnings := c.problems.split()
	if len(rejecting) > 0 {
		return nil, warnings, rejecting
	}
	return build(f, data), warnings, nil
}

func documentBody(name string, file *ast.File) (ast.Node, error) {
	if len(file.Docs) == 1 && file.Docs[0].Body != nil {
		return file.Docs[0].Body, nil
	}
	return nil, Problems{{file: name, line: 1, col: 1, code: CodeSyntax, message: fmt.Sprintf("expected one YAML document, found %d", len(file.Docs)), fix: "write one mapping that starts with format: 1"}}
}

func syntaxProblem(name string, err error) Problem {
	p := Problem{file: name, line: 1, col: 1, code: CodeSyntax, message: "expected YAML", fix: "correct the YAML at this place"}
	var ye yaml.Error
	if errors.As(err, &ye) {
		p.message = ye.GetMessage()
		if t := ye.GetToken(); t != nil {
			p.line, p.col = t.Position.Line, t.Position.Column
		}
	}
	return p
}

// checkNode compares a node with the Go type that it is decoded into and reports
// every unknown field and every value of the wrong type. The decoder would report
// only the first.
func (c *checker) checkNode(n ast.Node, t reflect.Type, path string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if _, ok := n.(*ast.NullNode); ok {
		return
	}
	if a, ok := n.(*ast.AnchorNode); ok {
		n = a.Value
	}
	if _, ok := n.(*ast.AliasNode); ok {
		c.reportNode(n, CodeSyntax, path+" is an alias", "write the value out; aliases are not read")
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		c.checkMapping(n, t, path)
	case reflect.Slice:
		c.checkSequence(n, t, path)
	default:
		c.checkScalar(n, t, path)
	}
}

func (c *checker) checkMapping(n ast.Node, t reflect.Type, path string) {
	m, ok := n.(ast.MapNode)
	if !ok {
		c.reportNode(n, CodeType, path+" is not a mapping", "write it as name: value lines")
		return
	}
	for it := m.MapRange(); it.Next(); {
		key := strings.Trim(it.Key().String(), `"'`)
		field, ok := fieldByKey(t, key)
		if !ok {
			c.reportNode(it.Key(), CodeUnknownField, fmt.Sprintf("%s has no field %q", path, key), "use one of "+strings.Join(fieldKeys(t), ", "))
			continue
		}
		c.checkNode(it.Value(), field.Type, path+"."+key)
	}
}

func (c *checker) checkSequence(n ast.Node, t reflect.Type, path string) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		c.reportNode(n, CodeType, path+" is not a list", "write it as lines that start with - ")
		return
	}
	for i, v := range s.Values {
		c.checkNode(v, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (c *checker) checkScalar(n ast.Node, t reflect.Type, path string) {
	v := reflect.New(t)
	if err := yaml.NodeToValue(n, v.Interface()); err == nil && scalarFits(n, t) {
		return
	}
	c.reportNode(n, CodeType, fmt.Sprintf("%s: %q is not %s", path, n.String(), typeName(t)), "write "+typeName(t))
}

func scalarFits(n ast.Node, t reflect.Type) bool {
	switch n.(type) {
	case *ast.SequenceNode, *ast.MappingNode, *ast.MappingValueNode:
		return false
	case *ast.BoolNode:
		return t.Kind() == reflect.Bool
	}
	return true
}

func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Duration]():
		return "a duration such as 250ms or 2s"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Int:
		return "a whole number"
	case t.Kind() == reflect.Float64:
		return "a number"
	}
	return "a string"
}

func fieldByKey(t reflect.Type, key string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("yaml") == key {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func fieldKeys(t reflect.Type) []string {
	keys := make([]string, t.NumField())
	for i := range keys {
		keys[i] = t.Field(i).Tag.Get("yaml")
	}
	return keys
}

func build(f fileConfig, data []byte) *Config {
	sum := sha256.Sum256(data)
	c := &Config{f: f, data: data, digest: hex.EncodeToString(sum[:]), accountByKeyHash: make(map[string]int)}
	for i, a := range f.Accounts {
		c.accounts = append(c.accounts, Account{f: a})
		c.accountByKeyHash[a.KeySHA256] = i
	}
	poolIndex := make(map[string]int)
	for i, p := range f.Pools {
		poolIndex[p.Name] = i
		c.pools = append(c.pools, buildPool(p, f.Policies))
	}
	for _, p := range f.Pipelines {
		c.pipelines = append(c.pipelines, buildPipeline(p, f, poolIndex))
	}
	return c
}

func buildPool(f filePool, policies filePolicies) Pool {
	p := Pool{f: f, order: f.Order, place: f.Place}
	if p.order == "" {
		p.order = policies.Order
	}
	if p.place == "" {
		p.place = policies.Place
	}
	for _, e := range f.Endpoints {
		p.endpoints = append(p.endpoints, Endpoint{f: e})
	}
	return p
}

func buildPipeline(f filePipeline, file fileConfig, poolIndex map[string]int) Pipeline {
	p := Pipeline{f: f}
	for _, s := range f.Stages {
		i := poolIndex[s.Pool]
		p.stages = append(p.stages, Stage{f: s, kind: file.Pools[i].Kind})
	}
	for i := range file.Experiments {
		if file.Experiments[i].Pipeline == f.Name {
			p.experiment = &Experiment{f: file.Experiments[i]}
		}
	}
	return p
}
