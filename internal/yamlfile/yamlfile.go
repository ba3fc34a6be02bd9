// Package yamlfile decodes YAML files strictly and records the line of every field, so that later
// checks can report findings with their line.
package yamlfile

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"goldcrestseam.dev/goldcrestseam/internal/finding"
)

// File holds the lines of a decoded file's fields, and the findings about the file.
type File struct {
	name     string
	lines    map[string]int
	findings finding.List
}

// Decode decodes data into out, a pointer to a struct with yaml tags on every field. Unknown fields,
// duplicate fields and values of the wrong type become findings of the returned File; out then holds
// the fields that could be decoded. Findings carry name as their file name.
func Decode(name string, data []byte, out any) *File {
	f := &File{name: name, lines: make(map[string]int)}
	var doc yaml.Node
	if err := yaml.Unmarshal(data, &doc); err != nil {
		f.Add("", "not YAML: %s", strings.TrimPrefix(err.Error(), "yaml: "))
		return f
	}
	if len(doc.Content) == 0 {
		f.Add("", "the file is empty")
		return f
	}
	f.decode(doc.Content[0], "", reflect.ValueOf(out).Elem())
	return f
}

// WithoutLines returns a File for checks of values that were built by code. Its findings have no
// lines.
func WithoutLines(name string) *File { return &File{name: name, lines: make(map[string]int)} }

// Add adds a finding about the field with that path. Its line is that of the field, or of the
// nearest parent that is in the file.
func (f *File) Add(path, format string, args ...any) {
	f.findings = append(f.findings, finding.Finding{
		File: f.name, Line: f.nearestLine(path), Field: path, Problem: fmt.Sprintf(format, args...),
	})
}

// Findings returns the findings so far, sorted by line and field.
func (f *File) Findings() finding.List {
	f.findings.Sort()
	return f.findings
}

func (f *File) nearestLine(path string) int {
	for path != "" {
		if line, ok := f.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

var durationType = reflect.TypeFor[time.Duration]()

func (f *File) decode(node *yaml.Node, path string, out reflect.Value) {
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	if path != "" {
		f.lines[path] = node.Line
	}
	switch {
	case out.Type() == durationType:
		f.decodeDuration(node, path, out)
	case out.Kind() == reflect.Struct:
		f.decodeStruct(node, path, out)
	case out.Kind() == reflect.Slice:
		f.decodeSlice(node, path, out)
	default:
		f.decodeScalar(node, path, out)
	}
}

func (f *File) decodeStruct(node *yaml.Node, path string, out reflect.Value) {
	if node.Kind != yaml.MappingNode {
		f.Add(path, "must be a mapping of fields")
		return
	}
	fields := fieldIndexes(out.Type())
	seen := make(map[string]bool)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		childPath := joinPath(path, key.Value)
		f.lines[childPath] = key.Line
		index, ok := fields[key.Value]
		switch {
		case !ok:
			f.Add(childPath, "unknown field; known are %s", strings.Join(fieldNames(out.Type()), ", "))
		case seen[key.Value]:
			f.Add(childPath, "the field stands twice; keep one")
		default:
			seen[key.Value] = true
			f.decode(value, childPath, out.Field(index))
		}
	}
}

func (f *File) decodeSlice(node *yaml.Node, path string, out reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		f.Add(path, "must be a list")
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(node.Content), len(node.Content)))
	for i, item := range node.Content {
		f.decode(item, fmt.Sprintf("%s[%d]", path, i), out.Index(i))
	}
}

func (f *File) decodeDuration(node *yaml.Node, path string, out reflect.Value) {
	d, err := time.ParseDuration(node.Value)
	if err != nil || node.Kind != yaml.ScalarNode {
		f.Add(path, "%q is not a duration; write a number with a unit, such as 500ms, 30s or 5m", node.Value)
		return
	}
	out.SetInt(int64(d))
}

func (f *File) decodeScalar(node *yaml.Node, path string, out reflect.Value) {
	if err := node.Decode(out.Addr().Interface()); err != nil {
		f.Add(path, "%q is not a %s", node.Value, kindName(out.Kind()))
	}
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "number"
	case reflect.String:
		return "text"
	default:
		return "whole number in range"
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldIndexes(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		fields[yamlName(t.Field(i))] = i
	}
	return fields
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, yamlName(t.Field(i)))
	}
	return names
}

func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}
