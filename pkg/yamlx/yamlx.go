// Package yamlx decodes YAML strictly and reports all errors of a document at once,
// each with file, line and field.
package yamlx

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/tealvane/tealvane/pkg/finding"
)

// Limits on a document.
const (
	maxBytes = 4 << 20
	maxDepth = 32
)

// Document holds the findings of a decoded document and the line of each field, so
// that later checks can add findings with a position.
type Document struct {
	file     string
	lines    map[string]int
	findings finding.List
}

// Decode decodes data into out, a pointer to a struct. Unknown fields, values of the
// wrong type and duplicate keys are added to the findings of the document.
func Decode(file string, data []byte, out any) *Document {
	d := &Document{file: file, lines: map[string]int{}}
	if len(data) > maxBytes {
		d.add("", 0, "document has %d bytes, at most %d are allowed", len(data), maxBytes)
		return d
	}
	root, err := parser.ParseBytes(data, 0)
	if err != nil {
		d.add("", errorLine(err), "%s", errorMessage(err))
		return d
	}
	if len(root.Docs) != 1 || root.Docs[0].Body == nil {
		d.add("", 1, "exactly one YAML document is expected")
		return d
	}
	d.decodeValue(root.Docs[0].Body, "", reflect.ValueOf(out).Elem(), 0)
	return d
}

// Add adds a finding at the line of the field or of its nearest decoded parent.
func (d *Document) Add(field, format string, args ...any) {
	d.add(field, d.Line(field), format, args...)
}

// Findings returns all findings in the order in which they were added.
func (d *Document) Findings() finding.List { return d.findings }

func (d *Document) add(field string, line int, format string, args ...any) {
	f := finding.Finding{File: d.file, Line: line, Field: field, Message: fmt.Sprintf(format, args...)}
	d.findings = append(d.findings, f)
}

// Line returns the line of a field or of its nearest decoded parent.
func (d *Document) Line(field string) int {
	for field != "" {
		if line, ok := d.lines[field]; ok {
			return line
		}
		i := strings.LastIndexAny(field, ".[")
		if i < 0 {
			break
		}
		field = field[:i]
	}
	return d.lines[""]
}

func (d *Document) decodeValue(n ast.Node, field string, v reflect.Value, depth int) {
	if _, seen := d.lines[field]; !seen {
		d.lines[field] = n.GetToken().Position.Line
	}
	if depth > maxDepth {
		d.Add(field, "nested deeper than %d levels", maxDepth)
		return
	}
	if _, null := n.(*ast.NullNode); null {
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.visitMapping(n, field, depth, func(key string, line int, child ast.Node) {
			d.decodeField(key, line, child, field, v, depth)
		})
	case reflect.Map:
		d.decodeMap(n, field, v, depth)
	case reflect.Slice:
		d.decodeSlice(n, field, v, depth)
	default:
		d.decodeScalar(n, field, v)
	}
}

func (d *Document) decodeField(key string, line int, child ast.Node, parent string, v reflect.Value, depth int) {
	name := joinPath(parent, key)
	d.lines[name] = line
	for i := range v.NumField() {
		tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		if tag == key {
			d.decodeValue(child, name, v.Field(i), depth+1)
			return
		}
	}
	d.add(name, line, "unknown field")
}

func (d *Document) decodeMap(n ast.Node, field string, v reflect.Value, depth int) {
	v.Set(reflect.MakeMap(v.Type()))
	d.visitMapping(n, field, depth, func(key string, line int, child ast.Node) {
		item := reflect.New(v.Type().Elem()).Elem()
		name := joinPath(field, key)
		d.lines[name] = line
		d.decodeValue(child, name, item, depth+1)
		v.SetMapIndex(reflect.ValueOf(key).Convert(v.Type().Key()), item)
	})
}

func (d *Document) decodeSlice(n ast.Node, field string, v reflect.Value, depth int) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		d.Add(field, "a list is expected")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(seq.Values), len(seq.Values)))
	for i, child := range seq.Values {
		d.decodeValue(child, fmt.Sprintf("%s[%d]", field, i), v.Index(i), depth+1)
	}
}

func (d *Document) visitMapping(n ast.Node, field string, depth int, visit func(string, int, ast.Node)) {
	var pairs []*ast.MappingValueNode
	switch m := n.(type) {
	case *ast.MappingNode:
		pairs = m.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{m}
	default:
		d.Add(field, "a mapping is expected")
		return
	}
	seen := map[string]bool{}
	for _, p := range pairs {
		token := p.Key.GetToken()
		if seen[token.Value] {
			d.add(joinPath(field, token.Value), token.Position.Line, "duplicate field")
			continue
		}
		seen[token.Value] = true
		visit(token.Value, token.Position.Line, p.Value)
	}
}

func (d *Document) decodeScalar(n ast.Node, field string, v reflect.Value) {
	if number, ok := n.(*ast.IntegerNode); ok && v.Kind() == reflect.String {
		// Keep the literal text: an unquoted digest that consists of digits must
		// not lose its leading zeros.
		v.SetString(number.Token.Value)
		return
	}
	if err := yaml.NodeToValue(n, v.Addr().Interface()); err != nil {
		d.Add(field, "%s", errorMessage(err))
	}
}

func joinPath(parent, key string) string {
	if parent == "" {
		return key
	}
	return parent + "." + key
}

// errorMessage returns the message of a YAML library error without its position
// and source excerpt.
func errorMessage(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	if _, message, ok := strings.Cut(line, "] "); ok {
		return message
	}
	return line
}

// errorLine returns the line in a YAML library error, or 0.
func errorLine(err error) int {
	var line, col int
	if _, scanErr := fmt.Sscanf(err.Error(), "[%d:%d]", &line, &col); scanErr != nil {
		return 0
	}
	return line
}
