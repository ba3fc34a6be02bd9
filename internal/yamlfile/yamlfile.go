// Package yamlfile decodes YAML files strictly and remembers the line of every
// field, so that later checks can name the place of what they find.
package yamlfile

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"goldcrestseam.dev/goldcrestseam/internal/finding"
)

// File is a decoded file with the places of its fields.
type File struct {
	name     string
	lines    map[string]int
	findings finding.List
}

// Decode reads data into out, a pointer to a struct with yaml tags on every
// field. Unknown and doubled fields and values of the wrong type are findings
// of the returned File; out then holds what could be read.
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

// WithoutLines gives a file that was not decoded, for checks of what code has made:
// its findings have no lines.
func WithoutLines(name string) *File { return &File{name: name, lines: make(map[string]int)} }

// Add notes a finding at the field with that path, or at its nearest parent
// that stands in the file.
func (f *File) Add(path, format string, args ...any) {
	f.findings = append(f.findings, finding.Finding{
		File: f.name, Line: f.line(path), Field: path, Problem: fmt.Sprintf(format, args...),
	})
}

// Findings gives what was found so far, in order of place.
func (f *File) Findings() finding.List {
	f.findings.Sort()
	return f.findings
}

func (f *File) line(path string) int {
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
	fields := fieldsByTag(out.Type())
	seen := make(map[string]bool)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		child := join(path, key.Value)
		f.lines[child] = key.Line
		index, ok := fields[key.Value]
		switch {
		case !ok:
			f.Add(child, "unknown field; known are %s", strings.Join(tags(out.Type()), ", "))
		case seen[key.Value]:
			f.Add(child, "the field stands twice; keep one")
		default:
			seen[key.Value] = true
			f.decode(value, child, out.Field(index))
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

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldsByTag(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		fields[tagOf(t.Field(i))] = i
	}
	return fields
}

func tags(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, tagOf(t.Field(i)))
	}
	return names
}

func tagOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}
